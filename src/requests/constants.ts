/** Time limits and size limits for requests. */

/** Longest request window that a caller can specify. */
export const MAX_WINDOW_MS = 600_000;

/** Maximum assumed deviation of any process's wall clock from true time. */
export const MAX_CLOCK_ERROR_MS = 200;

/** How far the issue time of an id may lie ahead of the wall clock of its home scheduler. */
export const MAX_FUTURE_SKEW_MS = 600;

/**
 * Ids issued later than this after a takeover cannot have been started by a previous home
 * scheduler: it accepted issue times up to `MAX_FUTURE_SKEW_MS` ahead of its own clock, and two
 * clocks differ by at most twice `MAX_CLOCK_ERROR_MS`.
 */
export const TAKEOVER_MARGIN_MS = MAX_FUTURE_SKEW_MS + 2 * MAX_CLOCK_ERROR_MS;

/** How long the outcome of a non-idempotent request is retained after the request has ended. */
export const OUTCOME_RETENTION_MS = MAX_WINDOW_MS + 60_000;

/**
 * Maximum number of retained outcomes; evicting one raises the issue time below which ids are
 * refused.
 */
export const MAX_RETAINED_OUTCOMES = 20_000;

/** Responses with a longer body are retained without the body. */
export const MAX_RETAINED_BODY_BYTES = 16_384;

/** Maximum total size of all retained bodies. */
export const MAX_TOTAL_BODY_BYTES = 4_194_304;

/** Maximum number of attempts for one request. */
export const MAX_ATTEMPTS = 3;

/**
 * How long after its time-out an abandoned attempt still waits for a response, to release its slot.
 */
export const LATE_RESPONSE_GRACE_MS = 5_000;

/** Maximum number of queued requests per scheduler. */
export const MAX_WAITING_REQUESTS = 2_000;
