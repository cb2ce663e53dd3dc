/** What an owner has not read since its takeover, in simulations of the owner. */

import type { LoadedSubmission } from '../../src/owner/types';
import type { SubmissionId } from '../../src/types/ids';

/** Number of simulated parts. */
export const PART_COUNT = 4;

/** Parts of each table that do not answer. */
export interface SilentParts {
  readonly submissions: Set<number>;
  readonly cancels: Set<number>;
}

/** Gets the part of a submission and of its cancellation. */
export function getPartNumber(id: SubmissionId): number {
  return parseInt(id.slice(-1), 16) % PART_COUNT;
}

function getReportedIncarnations({ progress }: LoadedSubmission): readonly string[] {
  return Object.values(progress?.steps ?? {}).flatMap(({ crashes = {} }) =>
    Object.values(crashes).flatMap((reports) => reports.map(({ incarnation }) => incarnation)),
  );
}

/** The rows of one owner, and the events that its host would report. */
export class UnreadRows {
  #silent: SilentParts;

  /** Submissions that are not known, with their progress at the takeover. */
  #unknown = new Map<SubmissionId, LoadedSubmission>();

  /** All submissions that the owner has been told of. */
  #ids = new Set<SubmissionId>();

  /** What the owner has read at its takeover. */
  readonly known: readonly LoadedSubmission[];

  constructor({ submissions, cancels }: SilentParts, stored: readonly LoadedSubmission[]) {
    this.#silent = { submissions: new Set(submissions), cancels: new Set(cancels) };
    stored.forEach((loaded) => this.#unknown.set(loaded.submission.id, loaded));
    this.known = this.#take((id) => !submissions.has(getPartNumber(id)));
  }

  /** Whether all parts have been read. */
  get isEmpty(): boolean {
    return this.#silent.submissions.size === 0 && this.#silent.cancels.size === 0;
  }

  /** Gets what the host adds to a submission that a gate announces. */
  getAdditions(id: SubmissionId): object {
    const stored = this.#unknown.get(id);
    this.#unknown.delete(id);
    return {
      ...(stored?.progress === undefined ? {} : { stored }),
      ...(this.#mayBeCancelled(id) ? { isCancellationUnread: true } : {}),
    };
  }

  /** Tells the owner what has not been read. */
  describe(): object {
    return {
      kind: 'partsUnread',
      areSubmissionsUnread: this.#silent.submissions.size > 0,
      areCancellationsUnread: this.#silent.cancels.size > 0,
      reportedIncarnations: [...this.#unknown.values()].flatMap(getReportedIncarnations),
    };
  }

  /** A part of `submissions` is read. */
  readSubmissions(part: number): readonly object[] {
    if (!this.#silent.submissions.delete(part)) return [];
    const read = this.#take((id) => getPartNumber(id) === part);
    const submitted = read.map(({ submission, progress, progressVersion, ...rest }) => ({
      ...{ kind: 'submitted', submission },
      ...(progress === undefined ? {} : { stored: { progress, progressVersion } }),
      ...('isCancellationUnread' in rest ? { isCancellationUnread: true } : {}),
    }));
    return [...submitted, this.describe()];
  }

  /** A part of `cancels` is read. */
  readCancels(part: number, cancelledIds: readonly SubmissionId[]): readonly object[] {
    if (!this.#silent.cancels.delete(part)) return [];
    const ids = cancelledIds.filter((id) => getPartNumber(id) === part);
    const submissionIds = [...this.#ids].filter((id) => getPartNumber(id) === part);
    return [
      ...ids.map((submissionId) => ({ kind: 'cancelled', submissionId })),
      { kind: 'cancellationsRead', submissionIds },
      this.describe(),
    ];
  }

  #mayBeCancelled(id: SubmissionId): boolean {
    this.#ids.add(id);
    return this.#silent.cancels.has(getPartNumber(id));
  }

  #take(isRead: (id: SubmissionId) => boolean): readonly LoadedSubmission[] {
    const read = [...this.#unknown.values()].filter(({ submission }) => isRead(submission.id));
    return read.map((loaded) => {
      const { id } = loaded.submission;
      this.#unknown.delete(id);
      const isUnread = this.#mayBeCancelled(id);
      return isUnread ? { ...loaded, isCancelled: false, isCancellationUnread: true } : loaded;
    });
  }
}
