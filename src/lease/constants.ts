/** Timing and size constants of shard leases. */

/** A session ends this long after the last successful renewal was sent. */
export const SESSION_TIMEOUT_MS = 4_000;

/** Margin for clocks of different processes that run at different rates. */
export const CLOCK_DRIFT_MARGIN_MS = 300;

/**
 * A member counts as live until its row has not changed for this long. It exceeds every session
 * that a renewal grants.
 */
export const MEMBER_EXPIRY_MS = SESSION_TIMEOUT_MS + CLOCK_DRIFT_MARGIN_MS;

/**
 * Duration of a standby's promise not to evict an owner. A duration above the session's would delay
 * failover.
 */
export const PROMISE_DURATION_MS = SESSION_TIMEOUT_MS;

/**
 * Standbys per owner. Few, because in a platform outage the owner has to stay in contact with each
 * of them.
 */
export const STANDBY_COUNT = 3;

/** Interval between session renewals. */
export const RENEWAL_INTERVAL_MS = 1_000;

/** Interval between scans of the shard and member rows. */
export const SCAN_INTERVAL_MS = 1_000;

/** Calls of a former owner reach targets at most this long after its authority has ended. */
export const SETTLING_MS = 500;

/** A shard moves to its preferred owner only after that member has been known for this long. */
export const MIN_UPTIME_MS = 10_000;

/**
 * A Vm that the platform's list, which lags behind, has not contained for this long no longer
 * exists.
 */
export const VM_ABSENCE_TIMEOUT_MS = 60_000;
