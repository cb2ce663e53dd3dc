/** Durations and bounds of requests. */

/** The longest window that a caller can ask for. */
export const MAX_WINDOW_MS = 600_000;

/** How far any process's wall clock may be from true time. */
export const CLOCK_ERROR_MS = 200;

/** How far ahead of the home's wall clock an id may have been issued. */
export const FUTURE_ALLOWANCE_MS = 600;

/**
 * No earlier home can have started an id that was issued later than this after the takeover: it
 * accepted at most `FUTURE_ALLOWANCE_MS` ahead of its own clock, and the two clocks differ by at
 * most twice `CLOCK_ERROR_MS`.
 */
export const TAKEOVER_BARRIER_MS = FUTURE_ALLOWANCE_MS + 2 * CLOCK_ERROR_MS;

/** How long the outcome of a non-idempotent request is kept after its end. */
export const OUTCOME_KEPT_MS = MAX_WINDOW_MS + 60_000;

/** Outcomes kept at most; forgetting one raises the issue time below which ids are refused. */
export const MAX_KEPT_OUTCOMES = 20_000;

/** An answer with a longer body is kept without its body. */
export const MAX_KEPT_BODY_BYTES = 16_384;

/** All kept bodies together. */
export const MAX_KEPT_BODIES_BYTES = 4_194_304;

/** Attempts at targets for one request. */
export const MAX_ATTEMPTS = 3;

/** How long the answer to an attempt that was given up is still awaited, for its slot alone. */
export const LATE_ANSWER_MS = 5_000;

/** Requests that wait in one scheduler at most. */
export const MAX_WAITING_REQUESTS = 2_000;
