/** Fake advice service: one call at a time for each calling node, tickets of limited life. */

import { createHash } from 'node:crypto';
import type { AddressInfo } from 'node:net';
import { AdviceLane } from './adviceLane';
import type { AdviceCall } from './adviceLane';

const HASH_RANGE = 4_294_967_296;

/** Duration of a call, validity of its tickets and fraction of the targets that it approves. */
export interface AdvicePolicy {
  readonly callMs: number;
  readonly perTargetMs: number;
  readonly ticketValidMs: number;
  readonly approvedFraction: number;
}

/** What the service asks the test. */
export interface AdviceSource {
  getPolicy(stepKey: string): AdvicePolicy;
  /** Start time of the present incarnation of a target; undefined for an unknown one. */
  getIncarnation(targetId: string): number | undefined;
}

/** Decides by a hash of the step and the target, so that the decision never changes. */
function getFraction(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0) / HASH_RANGE;
}

/** Serves `POST /api/advise`. */
export class FakeAdviceService {
  #source: AdviceSource;

  #lanes: AdviceLane[] = [];

  /** How many times as long as usual a call takes. */
  slowness = 1;

  /**
   * @param source - policies and targets
   */
  constructor(source: AdviceSource) {
    this.#source = source;
  }

  /** Adds a caller and returns the `ip:port` that it calls. */
  async addLane(): Promise<string> {
    const lane = new AdviceLane((call) => this.#advise(call));
    this.#lanes.push(lane);
    await new Promise<void>((resolve) => {
      lane.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(lane.server.address() as AddressInfo).port}`;
  }

  /** Makes the present connections of all callers half-open. */
  deafen(): void {
    this.#lanes.forEach(({ sockets }) => sockets.deafen());
  }

  /** Closes all connections. */
  resetConnections(): void {
    this.#lanes.forEach(({ server }) => server.closeAllConnections());
  }

  /** Stops listening. */
  close(): void {
    this.#lanes.forEach(({ server }) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** Checks whether a target may run a step. */
  isApproved(stepKey: string, targetId: string): boolean {
    const bornMs = this.#source.getIncarnation(targetId);
    if (bornMs === undefined) return false;
    const { approvedFraction } = this.#source.getPolicy(stepKey);
    return getFraction(`${stepKey}|${targetId}`) < approvedFraction;
  }

  /** Checks whether a ticket permits a start now. */
  isValid(ticket: string | undefined, taskKey: string, targetId: string): boolean {
    const [step, id, bornMs, expiryMs] = (ticket ?? '').split('|');
    const isForTask = step === taskKey.slice(0, taskKey.lastIndexOf('.')) && id === targetId;
    const isForLife = Number(bornMs) === this.#source.getIncarnation(targetId);
    return isForTask && isForLife && performance.now() < Number(expiryMs);
  }

  async #advise({ step, workers, response }: AdviceCall): Promise<void> {
    const { callMs, perTargetMs, ticketValidMs } = this.#source.getPolicy(step);
    await new Promise((resolve) => {
      setTimeout(resolve, (callMs + perTargetMs * workers.length) * this.slowness);
    });
    const expiryMs = performance.now() + ticketValidMs;
    const good = workers
      .filter((id) => this.isApproved(step, id))
      .map((id) => [id, [step, id, this.#source.getIncarnation(id), expiryMs].join('|')]);
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ good, 'valid-ms': ticketValidMs }));
  }
}
