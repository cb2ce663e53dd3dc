/** The product's own tables in the store. */

import type { SubmissionId } from '../types/ids';

/**
 * Parts of the rows written by gates. A part performs its transactions one after another, so they are
 * spread by the first digit of the submission's id; a slow store still takes several at a time.
 */
export const ACCEPTED_PARTS: readonly string[] = [...'0123456789abcdef'].map(
  (digit) => `s${digit}`,
);

/**
 * Finds the part of a submission's row and of its cancellation.
 * @param submissionId - 16 hexadecimal digits
 * @returns the part
 */
export function getAcceptedPart(submissionId: SubmissionId): string {
  return `s${submissionId.charAt(0)}`;
}

/** Rows written by the owner, in one part so that each write can check the owner row. */
export const OWNER_PART = 'p';

/** Rows of nodes. */
export const MEMBER_PART = 'm';

export const SUBMISSIONS_TABLE = 'submissions';
export const CANCELS_TABLE = 'cancels';
export const PROGRESS_TABLE = 'progress';
export const OWNERSHIP_TABLE = 'ownership';
export const MEMBERS_TABLE = 'members';

/** Key of the row that names the owner. */
export const OWNER_KEY = 'fleet';

/** Key of the row that the owner renews while it lives. */
export const ALIVE_KEY = 'alive';
