/** Durations of sessions, promises and scans. */

/** How long a session lasts after the renewal that was sent last. */
export const SESSION_MS = 4_000;

/** Allowance for clock rate differences between processes. */
export const CLOCK_MARGIN_MS = 300;

/** An unchanged row counts as live for this long; longer than any session that a renewal gives. */
export const SILENT_MS = SESSION_MS + CLOCK_MARGIN_MS;

/** How long a standby promises not to evict an owner; no longer than a session, so that it delays no failover. */
export const PROMISE_MS = SESSION_MS;

/** Members whose promises an owner counts on: few, as each one must be heard in an outage. */
export const STANDBY_COUNT = 3;

/** Interval between renewals of the session. */
export const RENEW_INTERVAL_MS = 1_000;

/** Interval between scans of members and shards. */
export const SCAN_INTERVAL_MS = 1_000;

/** No effect of a former owner arrives at a target later than this after its authority ended. */
export const SETTLE_MS = 500;

/** A shard moves to a preferred member only after that member has been known for this long. */
export const STABLE_MS = 10_000;

/** A Vm missing from the platform's lagging list for this long has gone. */
export const VM_GONE_MS = 60_000;
