/** Durations of sessions and scans. */

/** How long a session lasts after the renewal that was sent last. */
export const SESSION_MS = 4_000;

/** Allowance for clock rate differences between processes. */
export const CLOCK_MARGIN_MS = 300;

/** An unchanged row counts as live for this long; longer than any session that a renewal gives. */
export const SILENT_MS = SESSION_MS + CLOCK_MARGIN_MS;

/** Interval between renewals of the session. */
export const RENEW_INTERVAL_MS = 1_000;

/** Interval between scans of members and shards. */
export const SCAN_INTERVAL_MS = 1_000;

/** No effect of a former owner arrives at a target later than this after its authority ended. */
export const SETTLE_MS = 500;
