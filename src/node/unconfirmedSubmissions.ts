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
  nowMs(): number;
  /** How long ago the call was sent by which the store has confirmed the owner last, in milliseconds. */
  getUnconfirmedForMs(): number;
}

/** Holds submissions back until the store confirms the owner. */
export class UnconfirmedSubmissions {
  #ports: UnconfirmedPorts;

  #waiting: (() => void)[] = [];

  /** When the first of those that wait was learned of. */
  #waitsSinceMs = 0;

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
    if (this.#waiting.length === 0) {
      this.#waitsSinceMs = this.#ports.nowMs();
      logger.info({ submissionId, epoch }, 'submissions wait until the store confirms this owner');
    }
    this.#waiting.push(take);
  }

  /** Takes those that wait once the store confirms the owner. */
  check(): void {
    if (this.#waiting.length === 0 || !this.#isConfirmed) return;
    const waiting = this.#waiting;
    this.#waiting = [];
    const { epoch, logger, metrics } = this.#ports;
    const durationMs = this.#ports.nowMs() - this.#waitsSinceMs;
    metrics.record('submission_confirmation_wait', durationMs);
    logger.info(
      { epoch, submissionCount: waiting.length, durationMs: Math.round(durationMs) },
      'the store confirms this owner; submissions that have waited are taken',
    );
    waiting.forEach((take) => take());
  }

  get #isConfirmed(): boolean {
    return this.#ports.getUnconfirmedForMs() < STORE_CONFIRMED_MS;
  }
}
