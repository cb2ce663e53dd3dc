/** The product's own tables in the store. */

/** Rows written by gates. */
export const ACCEPTED_PART = 's';

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
