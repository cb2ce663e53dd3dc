/** Counts clients that meet limits of the listeners, and logs one line a second for each limit. */

import type { Logger } from './logger';
import type { Metrics } from './metrics';

const INTERVAL_MS = 1_000;

const MESSAGE = 'client met a limit';

/** What was counted since the last line of a limit. */
interface Unlogged {
  count: number;
  loggedAtMs: number;
}

/** Logs the address of a client that met a limit, and how many did so since the last line. */
export class ClientLimitLog {
  #logger: Logger;

  #metrics: Metrics;

  #unloggedByLimit = new Map<string, Unlogged>();

  /**
   * @param logger - receives the lines
   * @param metrics - counts by limit
   */
  constructor(logger: Logger, metrics: Metrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /**
   * Records that a client met a limit.
   * @param limit - name of the limit, one of a few
   * @param address - address of the client
   * @param nowMs - the time
   */
  add(limit: string, address: string, nowMs: number): void {
    this.#metrics.count(`client_limit_${limit}`);
    const unlogged = this.#unloggedByLimit.get(limit) ?? { count: 0, loggedAtMs: -INTERVAL_MS };
    this.#unloggedByLimit.set(limit, unlogged);
    unlogged.count += 1;
    if (nowMs - unlogged.loggedAtMs < INTERVAL_MS) return;
    this.#logger.warn({ limit, address, count: unlogged.count }, MESSAGE);
    Object.assign(unlogged, { count: 0, loggedAtMs: nowMs });
  }
}
