/**
 * Cancellations of submissions that the owner has not read yet.
 *
 * Submissions and cancellations are read from different tables, so that the cancellation may arrive first: from a
 * gate, from its own feed, or with the rows that a takeover reads.
 */

import type { SubmissionId } from '../types/ids';
import { OUTCOME_RETENTION_MS } from './constants';

/** Remembers cancellations until their submissions are read. */
export class EarlyCancellations {
  #receivedAtMs = new Map<SubmissionId, number>();

  /**
   * Records a cancellation.
   * @param submissionId - a submission that is not known
   * @param nowMs - elapsed time of this process
   */
  add(submissionId: SubmissionId, nowMs: number): void {
    this.#receivedAtMs.set(submissionId, nowMs);
  }

  /**
   * Removes the cancellation of a submission that has been read.
   * @param submissionId - the submission
   * @returns whether it has been cancelled
   */
  take(submissionId: SubmissionId): boolean {
    return this.#receivedAtMs.delete(submissionId);
  }

  /**
   * Forgets cancellations whose rows have been kept as long as those of finished submissions.
   * @param nowMs - elapsed time of this process
   */
  removeExpired(nowMs: number): void {
    this.#receivedAtMs.forEach((receivedAtMs, submissionId) => {
      if (nowMs > receivedAtMs + OUTCOME_RETENTION_MS) this.#receivedAtMs.delete(submissionId);
    });
  }
}
