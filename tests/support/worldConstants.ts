/** Times and sizes of simulations of the owner. */

import type { TaskDemand } from '../../src/work/types';

export const TICK_INTERVAL_MS = 10;
export const STORE_LATENCY_MS = 4;

export const TARGET_CAPACITY: TaskDemand = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 };

/** Time in which a former owner starts a new submission. */
export const FORMER_OWNER_START_MS = 20;

/** Time after a resignation until the successor has claimed the ownership and read the rows. */
export const CLAIM_MS = 10;

/** Time after a claim until the former owner is told of it. */
export const ANNOUNCEMENT_MS = 10;

/** Time until the successor has the answer of the former owner. */
export const CONFIRMATION_MS = 2;

/** Time after a takeover by which all submissions of former owners have been read. */
export const SUBMISSIONS_READ_DELAY_MS = 4_000;

/** Time between the start of a crashing task and the end of its target's process. */
export const CRASH_DELAY_MS = 10;

/** Time after which a crashed target is back. */
export const CRASH_DOWN_MS = 3_200;

/** Time until a lasting task is at work on a target of the usual speed. */
export const STARTUP_MS = 500;

/** Longest lease that targets grant (`hold-max-ms`). */
export const MAX_LEASE_MS = 10_000;

/** Number of ends that targets list at a time. */
export const MAX_LISTED_ENDS = 500;

/** Keeps the faults of the record's transactions apart from the other draws. */
export const RECORD_SEED_OFFSET = 2_000_003;

/** With this many crashes a further start is the third one after three targets have crashed under the task. */
export const MAX_CRASHES_PER_TASK = 5;
