/**
 * Submissions that an owner learns of while the store does not confirm it. A successor may start them, as it takes them
 * for unknown to this owner; see voterSet.ts.
 */

import type { Logger } from '../observe/logger';
import type { Metrics } from '../observe/metrics';
import { STORE_CONFIRMED_MS } from '../owner/constants';
import type { Epoch, SubmissionId } from '../types/ids';

/** What the wait depends on. */
export interface UnconfirmedPorts {
  readonly epoch: Epoch;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** How long ago the call was sent by which the store has confirmed the owner last, in milliseconds. */
  getUnconfirmedForMs(): number;
}

/** Holds submissions back until the store confirms the owner. */
export class UnconfirmedSubmissions {
  #ports: UnconfirmedPorts;

  #waiting: (() => void)[] = [];

  /**
   * @param ports - the owner
   */
  constructor(ports: UnconfirmedPorts) {
    this.#ports = ports;
  }

  /**
   * Takes a submission, at once if the store confirms the owner.
   * @param submissionId - the submission
   * @param take - makes the owner schedule it
   */
  add(submissionId: SubmissionId, take: () => void): void {
    if (this.#isConfirmed) {
      take();
      return;
    }
    const { epoch, logger, metrics } = this.#ports;
    metrics.count('submissions_unconfirmed');
    if (this.#waiting.length === 0)
      logger.info({ submissionId, epoch }, 'submissions wait until the store confirms this owner');
    this.#waiting.push(take);
  }

  /** Takes those that wait once the store confirms the owner. */
  check(): void {
    if (this.#waiting.length === 0 || !this.#isConfirmed) return;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((take) => take());
  }

  get #isConfirmed(): boolean {
    return this.#ports.getUnconfirmedForMs() < STORE_CONFIRMED_MS;
  }
}
