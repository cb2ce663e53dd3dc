/** Tables, parts and keys of the scheduler's rows in the store. */

import type { SubmissionId } from '../types/ids';

/**
 * Parts (partitions) of the rows that gates write. The store runs the transactions of one part
 * sequentially, so rows are partitioned by the first digit of the submission id to let a slow store
 * process several at a time.
 */
export const SUBMISSION_PARTS: readonly string[] = [...'0123456789abcdef'].map(
  (digit) => `s${digit}`,
);

/** Number of parts in which the rows of a submission may be. */
const PARTS_PER_SUBMISSION = 3;

/**
 * Gets the parts that may hold a submission's row and its cancellation. They are in the first one unless the store
 * did not answer for it when they were written.
 * @param submissionId - 16 hexadecimal digits
 * @returns distinct parts, the preferred one first
 */
export function getSubmissionParts(submissionId: SubmissionId): readonly string[] {
  const first = parseInt(submissionId.charAt(0), 16);
  const stride = 1 + (parseInt(submissionId.charAt(1), 16) % (SUBMISSION_PARTS.length / 2 - 1));
  return Array.from({ length: PARTS_PER_SUBMISSION }, (_, number) => {
    const position = (first + number * stride) % SUBMISSION_PARTS.length;
    return SUBMISSION_PARTS[position] ?? '';
  });
}

/**
 * Gets the preferred part of a submission's row and its cancellation.
 * @param submissionId - 16 hexadecimal digits
 * @returns the part
 */
export function getSubmissionPart(submissionId: SubmissionId): string {
  return `s${submissionId.charAt(0)}`;
}

/** Part of the rows that the owner writes: a single one, so that each write can check the owner row. */
export const OWNER_PART = 'p';

/** Part of the rows in which nodes register. */
export const MEMBER_PART = 'm';

export const SUBMISSIONS_TABLE = 'submissions';
export const CANCELS_TABLE = 'cancels';
export const PROGRESS_TABLE = 'progress';
export const OWNERSHIP_TABLE = 'ownership';
export const MEMBERS_TABLE = 'members';

/** Targets that owners use, by id; in {@link OWNER_PART}. */
export const USED_TARGETS_TABLE = 'usedTargets';

/** What owners learn, a row for each kind of it; in {@link OWNER_PART}. */
export const DURATIONS_TABLE = 'durations';

/** Key of the row that names the owner. */
export const OWNER_KEY = 'fleet';

/** Key of the alive row, which the owner rewrites periodically. */
export const ALIVE_KEY = 'alive';

/** Key of the row in the ownership table that names the last epoch for which the used targets are all recorded. */
export const RECORDED_KEY = 'recorded';

/** Key of the row in the ownership table that names the voters of the owner. */
export const VOTERS_KEY = 'voters';

/** Key of the row in the ownership table that tells until when former owners may act after a claim without votes. */
export const FORMER_OWNERS_KEY = 'formerOwners';
