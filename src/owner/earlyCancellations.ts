/**
 * Cancellations of submissions that the owner has not read yet, and stored ones of submissions that may still arrive.
 *
 * Submissions and cancellations are read from different tables, so that the cancellation may arrive first: from a
 * gate, from its own feed, or with the rows that a takeover reads. A request to cancel may also overtake the submission
 * itself, which is on its way through another gate.
 */

import type { SubmissionId } from '../types/ids';
import { assertNever } from '../types/debug';
import type { Submission } from '../work/types';
import { OUTCOME_RETENTION_MS } from './constants';
import type { OwnerState } from './ownerState';
import type { CancellationSource, StoredCancellation } from './types';

/** Maximum rows per deletion; as many as all gates may store between two checks. */
const MAX_DELETE_BATCH = 1_000;

/** A cancellation that is kept for its submission. */
interface EarlyCancellation {
  readonly source: CancellationSource;
  /** Its row, if it was stored ahead of the submission; undefined when the row is that of a known submission. */
  readonly stored: StoredCancellation | undefined;
  /** Wall clock in Unix milliseconds. */
  readonly cancelledAtMs: number;
}

/**
 * Checks whether a cancellation is for a submission.
 * @param source - who has cancelled it
 * @param submission - the submission
 * @returns false when another team has chosen the same id
 */
export function isCancelledBy(
  source: CancellationSource,
  { teamId, queue }: Pick<Submission, 'teamId' | 'queue'>,
): boolean {
  switch (source.kind) {
    case 'checked':
      return true;
    case 'team':
      return source.teamId === teamId;
    case 'queue':
      return queue.isPublic && source.queueId === queue.id;
    default:
      return assertNever(source);
  }
}

/** Remembers cancellations until their submissions are read, and stored ones as long as their rows are kept. */
export class EarlyCancellations {
  #bySubmission = new Map<SubmissionId, Map<string, EarlyCancellation>>();

  #storedCount = 0;

  #state: Pick<OwnerState, 'records' | 'wallMs' | 'emit'>;

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: Pick<OwnerState, 'records' | 'wallMs' | 'emit'>) {
    this.#state = state;
  }

  /**
   * Records a cancellation.
   * @param submissionId - a submission, which need not be known
   * @param source - who has cancelled it
   * @param stored - its row, if it was stored ahead of the submission
   */
  add(submissionId: SubmissionId, source: CancellationSource, stored?: StoredCancellation): void {
    const { wallMs } = this.#state;
    const known = this.#bySubmission.get(submissionId) ?? new Map<string, EarlyCancellation>();
    const key = stored?.key ?? submissionId;
    if (stored !== undefined && !known.has(key)) this.#storedCount += 1;
    // A gate's clock that is ahead must not keep the row for longer.
    const cancelledAtMs = Math.min(wallMs, stored?.cancelledAtMs ?? wallMs);
    known.set(key, { source, stored, cancelledAtMs });
    this.#bySubmission.set(submissionId, known);
  }

  /**
   * Finds the cancellations of a submission that has been read. Those whose rows are kept for it alone are forgotten.
   * @param submission - the submission
   * @returns whether it has been cancelled
   */
  take(submission: Submission): boolean {
    const known = this.#bySubmission.get(submission.id);
    if (known === undefined) return false;
    const isCancelled = [...known.values()].some(({ source }) => isCancelledBy(source, submission));
    known.forEach(({ stored }, key) => {
      if (stored === undefined) this.#remove(submission.id, key);
    });
    return isCancelled;
  }

  /** Deletes rows that have been kept as long as those of finished submissions, and forgets others of that age. */
  deleteExpired(): void {
    const { wallMs } = this.#state;
    const rows: StoredCancellation[] = [];
    this.#bySubmission.forEach((known, submissionId) => {
      known.forEach(({ stored, cancelledAtMs }, key) => {
        if (wallMs <= cancelledAtMs + OUTCOME_RETENTION_MS) return;
        if (stored === undefined) this.#remove(submissionId, key);
        else if (rows.length < MAX_DELETE_BATCH && !this.#isNeeded(submissionId)) rows.push(stored);
      });
    });
    this.#state.emit({ kind: 'set', name: 'early_cancellations', value: this.#storedCount });
    if (rows.length > 0) this.#state.emit({ kind: 'deleteCancellations', rows });
  }

  /** A successor would run a cancelled submission whose outcome is not stored. */
  #isNeeded(submissionId: SubmissionId): boolean {
    const record = this.#state.records.get(submissionId);
    return record !== undefined && record.durableOutcome === undefined;
  }

  /**
   * Forgets rows that have been deleted.
   * @param rows - the rows
   */
  onDeleted(rows: readonly StoredCancellation[]): void {
    rows.forEach(({ submissionId, key }) => this.#remove(submissionId, key));
  }

  #remove(submissionId: SubmissionId, key: string): void {
    const known = this.#bySubmission.get(submissionId);
    const removed = known?.get(key);
    if (known === undefined || removed === undefined) return;
    if (removed.stored !== undefined) this.#storedCount -= 1;
    known.delete(key);
    if (known.size === 0) this.#bySubmission.delete(submissionId);
  }
}
