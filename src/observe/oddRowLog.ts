/** Counts and logs rows that cannot be used, without a limit on how often they are written. */

import type { Logger } from './logger';
import type { Metrics } from './metrics';

/** Rows of which the last reason is kept; a line about any further one is not written. */
const MAX_KNOWN_ROWS = 1_000;

/** Logs each odd row once, and again when the reason changes or the row was sound in between. */
export class OddRowLog {
  #logger: Logger;

  #metrics: Metrics;

  #reasons = new Map<string, string>();

  /**
   * @param logger - receives the lines
   * @param metrics - counts the rows
   */
  constructor(logger: Logger, metrics: Metrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /**
   * Records an odd row.
   * @param counter - name of the counter
   * @param key - identifies the row
   * @param reason - what was expected and what came
   * @param message - the log message, which names what follows
   */
  add(counter: string, key: string, reason: string, message: string): void {
    this.#metrics.count(counter);
    if (this.#reasons.get(key) === reason) return;
    if (!this.#reasons.has(key) && this.#reasons.size >= MAX_KNOWN_ROWS) return;
    this.#reasons.set(key, reason);
    this.#logger.warn({ key, reason }, message);
  }

  /**
   * Records that a row is sound.
   * @param key - identifies the row
   */
  clear(key: string): void {
    this.#reasons.delete(key);
  }
}
