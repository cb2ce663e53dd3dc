/** Parts of the store that do not answer when an owner takes over, in simulations of the owner. */

import type { LoadedSubmission } from '../../src/owner/types';
import type { SubmissionId } from '../../src/types/ids';
import type { Submission } from '../../src/work/types';
import type { ProgressStore } from './progressStore';
import { getPartNumber, UnreadRows } from './unreadRows';
import type { SilentParts } from './unreadRows';

/** The parts of the store and what the present owner has not read of them. */
export class PartsModel {
  /** Parts that do not answer a takeover. */
  readonly silent: SilentParts = { submissions: new Set(), cancels: new Set() };

  #unread = new UnreadRows(this.silent, []);

  #cancelledAtMs: ReadonlyMap<SubmissionId, number>;

  #tellOwner: (event: object) => void;

  constructor(
    cancelledAtMs: ReadonlyMap<SubmissionId, number>,
    tellOwner: (event: object) => void,
  ) {
    this.#cancelledAtMs = cancelledAtMs;
    this.#tellOwner = tellOwner;
  }

  /** Gets what a new owner reads. */
  load(submissions: Iterable<Submission>, store: ProgressStore): readonly LoadedSubmission[] {
    const stored = [...submissions].map((submission) => ({
      submission,
      isCancelled: this.#cancelledAtMs.has(submission.id),
      progress: store.get(submission.id)?.value,
      progressVersion: store.get(submission.id)?.version ?? 0,
    }));
    this.#unread = new UnreadRows(this.silent, stored);
    return this.#unread.known;
  }

  /** Tells a new owner what it has not read, and the cancellations that it has. */
  begin(): void {
    if (this.#unread.isEmpty) return;
    this.#tellOwner(this.#unread.describe());
    [...this.#cancelledAtMs.keys()]
      .filter((id) => !this.silent.cancels.has(getPartNumber(id)))
      .forEach((submissionId) => this.#tellOwner({ kind: 'cancelled', submissionId }));
  }

  /** Whether the present owner has read all parts. */
  get areAllRead(): boolean {
    return this.#unread.isEmpty;
  }

  /** Gets what the host adds to a submission that a gate announces. */
  getAdditions(id: SubmissionId): object {
    return this.#unread.getAdditions(id);
  }

  /** A part answers again, so that the owner reads its submissions and cancellations. */
  answer(part: number): void {
    this.answerCancels(part);
    this.silent.submissions.delete(part);
    this.#unread.readSubmissions(part).forEach((event) => this.#tellOwner(event));
  }

  /** A part tells its cancellations. */
  answerCancels(part: number): void {
    this.silent.cancels.delete(part);
    const cancelledIds = [...this.#cancelledAtMs.keys()];
    const events = this.#unread.readCancels(part, cancelledIds);
    events.forEach((event) => this.#tellOwner(event));
  }
}
