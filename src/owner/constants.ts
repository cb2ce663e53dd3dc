/** Timeouts, limits and thresholds of the owner. */

/**
 * Duration of the lease that covers all runs of a target; each poll renews it. Long enough for a
 * takeover after a power loss of all nodes (about 3 s), short enough that the work of a lost target is
 * restarted soon.
 */
export const LEASE_MS = 5_000;

/** Start time of an incarnation whose registration does not name it; its first answer does. */
export const UNKNOWN_INCARNATION_MS = 0;

/**
 * How long after a takeover the own entry of a target is waited for when the one that was read is that of another
 * writer: two beats of a target and the time to read the second one.
 */
export const OWN_ENTRY_WAIT_MS = 4_000;

/** Longest lease that a target grants where the settings name none. */
export const DEFAULT_MAX_LEASE_MS = 10_000;

/** Time of silence after which the registry drops a target at the earliest, where nothing else is set: three beats. */
export const DEFAULT_REGISTRY_LAPSE_MS = 4_500;

/**
 * How long a poll may wait at the target for a run to end. A lost poll delays the discovery of ends by
 * this plus {@link POLL_TIMEOUT_MARGIN_MS}.
 */
export const POLL_WAIT_MS = 600;

/** Wait of a poll of a target that is stopping a run; a stop takes up to 200 ms there. */
export const STOPPING_POLL_WAIT_MS = 250;

/** Interval between probes of a target with unconfirmed runs. */
export const PROBE_INTERVAL_MS = 60;

/** Added to the wait of a poll to get its timeout. */
export const POLL_TIMEOUT_MARGIN_MS = 250;

/** Delay before a target that did not respond is polled again. */
export const POLL_RETRY_DELAY_MS = 150;

/** Interval between polls while ends cannot be acknowledged, because such a poll returns at once. */
export const UNACKNOWLEDGED_POLL_INTERVAL_MS = 100;

/** Delay of a poll that only acknowledges ends on an idle target. */
export const IDLE_ACKNOWLEDGE_DELAY_MS = 800;

/** A target refuses a start that arrives later than this after it was sent. */
export const START_DEADLINE_MS = 1_500;

/** Upper bound of the timeout of a start. */
export const MAX_START_TIMEOUT_MS = 700;

/**
 * Lower bound of the timeout of requests that targets answer at once; such a response takes about 2 ms
 * on an unloaded network.
 */
export const MIN_RESPONSE_TIMEOUT_MS = 150;

/** Decay per response of the slowest response time; it is forgotten over about 50 responses. */
export const RESPONSE_TIME_DECAY_FACTOR = 0.97;

/** A call without an answer may still be carried out this much later. */
export const MAX_CALL_DELAY_MS = 12_000;

/** A target's entry may be read this long after it was sent: its write may be 6 s late, and the read 1 s. */
export const MAX_REGISTRY_DELAY_MS = 7_000;

/** Timeout of a stop. */
export const STOP_TIMEOUT_MS = 700;

/** Delay before a stop is repeated while the target still reports the run. */
export const STOP_RETRY_DELAY_MS = 400;

/** Maximum fraction by which a target's monotonic clock may run slower than the owner's. */
export const MAX_CLOCK_DRIFT = 0.02;

/** Interval between polls of a target that reports submissions which have not been read yet. */
export const UNREAD_SUBMISSION_POLL_INTERVAL_MS = 80;

/** The same while a part of the store is not read, which may last. */
export const UNREAD_PART_POLL_INTERVAL_MS = 250;

/** Added to the computed expiry of a lease to allow for clock-reading and timer delays. */
export const LEASE_EXPIRY_MARGIN_MS = 150;

/** A former owner stops by itself when its ownership has not been confirmed for this long. */
export const OWNER_AUTHORITY_MS = 2_000;

/** An owner stops by itself when the store has not confirmed it for this long, whoever else does. */
export const STORELESS_LIMIT_MS = 60_000;

/** An owner that may go on after a claim is waited for this long; the difference is for clocks of different speed. */
export const STORELESS_END_DELAY_MS = STORELESS_LIMIT_MS + 3_000;

/**
 * An owner that the store has not confirmed for this long takes nothing for certain that a successor may change. It
 * renews its row twice in that time.
 */
export const STORE_CONFIRMED_MS = 1_200;

/**
 * A claim without votes is sent only when the store has not confirmed the owner for this long: longer than
 * {@link STORE_CONFIRMED_MS} even on a clock that is 2% fast.
 */
export const VOTELESS_CLAIM_DELAY_MS = 1_400;

/**
 * How long an owner that hands over prepares that at most, apart from departures: much less than the time in which a
 * node has to stop. What is not stored by then the successor waits for as after any other takeover.
 */
export const HANDOVER_PREPARATION_MS = 300;

/**
 * Upper bound of the time that targets have to answer whether they still do; the rest is for the store. An answer takes
 * about 2 ms on an unloaded network.
 */
export const HANDOVER_PROBE_TIMEOUT_MS = 180;

/** Targets that have not been found silent by then are not waited for any longer. */
export const HANDOVER_PROBE_MS = 200;

/**
 * Upper bound of the wait for the registry to drop targets that drained and are silent; it is read each 300 ms. Nothing
 * is waited for unless such a target holds runs.
 */
export const HANDOVER_DEPARTURE_MS = 700;

/** Upper bound of the tickets and refusals that are handed over; each takes about 100 bytes of the message. */
export const MAX_HANDED_ADVICE = 1_000;

/** Advice that is handed over may have been under way for this long; a ticket that is used too late is refused. */
export const HANDOVER_TRANSIT_MS = 250;

/** A successor that has not claimed the ownership within this time after the preparation may not come. */
export const HANDOVER_CLAIM_MS = 1_000;

/** Delay before a write, so that one transaction carries several changes. */
export const WRITE_BATCH_DELAY_MS = 20;

/** Maximum rows per transaction: each row takes a condition and a put, and the store allows 100 entries. */
export const MAX_WRITE_ROWS = 45;

/** Maximum size of the rows of a transaction before their encoding, which adds a third; the store allows 1 MB. */
export const MAX_WRITE_BYTES = 600_000;

/** A progress takes a further row for each so many bytes. */
export const MAX_WRITE_BYTES_PER_ROW = 60_000;

/** Concurrent transactions: the answer of one is on its way while the store performs the next. */
export const MAX_WRITES_IN_FLIGHT = 2;

/** Delay before a failed write is retried. */
export const WRITE_RETRY_DELAY_MS = 200;

/** Delay before a progress row that the store rejected by itself is written again. */
export const REJECTED_WRITE_DELAY_MS = 5_000;

/** The run numbers of an epoch start at the epoch multiplied by this. */
export const RUN_NUMBERS_PER_EPOCH = 1_000;

/** A ticket is not used within this time before its expiry, to allow for the latency of the start. */
export const TICKET_MARGIN_MS = 150;

/**
 * A run is not stopped for a task whose ticket is valid for less than this: the stop, and the answer of the poll that
 * tells its end, come before the start.
 */
export const MIN_TICKET_LIFE_AFTER_STOP_MS = 500;

/** Maximum targets per call for advice; the limit of the service is 100. */
export const ADVICE_MAX_TARGETS = 100;

/** Targets per call when each one adds more than {@link ADVICE_CHEAP_MS} to it. */
export const ADVICE_COSTLY_TARGETS = 30;

/** Targets per call when {@link ADVICE_COSTLY_TARGETS} have too little capacity for the waiting tasks. */
export const ADVICE_WIDE_TARGETS = 60;

/**
 * Expected fraction of the targets in a call that get a ticket. This is the fraction for steps with many
 * tasks, the same at both sites; for urgent steps it is 0.7.
 */
export const ADVICE_APPROVAL_FRACTION = 0.35;

/** Delay before a step whose tickets are all for full targets requests advice again. */
export const ADVICE_REFRESH_DELAY_MS = 250;

/** When each target adds less than this to a call, the call covers all targets. */
export const ADVICE_CHEAP_MS = 1;

/** Fraction of the nodes whose channel (lane) to the advice service is reserved for short calls. */
export const SHORT_LANE_FRACTION = 0.25;

/** A call for advice with up to this expected duration is short. */
export const SHORT_ADVICE_MS = 150;

/** Added to the expected duration of a call for advice to get its timeout. */
export const ADVICE_TIMEOUT_MARGIN_MS = 1_000;

/** The service is not asked about a target that has been silent, or has taken no runs, for this long. */
export const ADVICE_SILENCE_MS = 1_000;

/** A target with a longer pause than this has no room for tasks that need advice. */
export const ADVICE_MAX_PAUSE_MS = 1_000;

/** Delay before a lane is used again after a failed call. */
export const ADVICE_RETRY_DELAY_MS = 300;

/**
 * Advice for a step is prefetched when its dependencies are expected to be done within the duration of a
 * call plus this fraction of a ticket's validity.
 */
export const PREFETCH_TICKET_FRACTION = 0.5;

/** A target is quarantined after failures of this many submissions without a success in between. */
export const QUARANTINE_THRESHOLD = 2;

/** Duration of a target's first quarantine; doubled each time. */
export const INITIAL_QUARANTINE_MS = 2_000;

/** Upper bound of a quarantine. */
export const MAX_QUARANTINE_MS = 20_000;

/** No starts are sent to a target for this long after it refused one for lack of capacity or another reason. */
export const REFUSAL_PAUSE_MS = 1_000;

/** A run without progress for this long is stopped; a slow run of 100 s advances by 2% in this time. */
export const STALL_TIMEOUT_MS = 2_500;

/** A finished submission is kept for this long, so that callers can query its state. */
export const OUTCOME_RETENTION_MS = 150_000;

/**
 * An urgent task waits this long for capacity before less urgent runs are preempted, because another run
 * often ends sooner.
 */
export const PREEMPTION_DELAY_MS = 60;

/** Minimum age of a run before a speculative copy starts; copying for a short delay is not worthwhile. */
export const MIN_SPECULATION_AGE_MS = 500;

/** A task is copied when its run takes this many times as long as comparable runs. */
export const STRAGGLER_SLOWDOWN = 2.2;

/** Weight of the newest duration in the moving average of a target's slowdown. */
export const SLOWDOWN_SMOOTHING_FACTOR = 0.2;

/** A target is slow when its runs take this many times as long as comparable runs. */
export const SLOW_TARGET_THRESHOLD = 1.8;

/** A step with nothing running waits this long for a target that is not suspect. */
export const SUSPECT_FALLBACK_DELAY_MS = 1_200;

/**
 * Wait of a poll while responses are being lost. A lost poll delays the discovery of ends by this plus
 * the response timeout.
 */
export const LOSSY_POLL_WAIT_MS = 200;

/** Polls are sent more often once this many targets lose responses; a single one may just be down. */
export const LOSSY_TARGET_THRESHOLD = 3;

/** A lost response counts for this long. */
export const LOSSY_WINDOW_MS = 3_000;

/** Maximum tasks of a step for which one planning pass preempts runs; the next pass handles more. */
export const MAX_PREEMPTING_TASKS = 6;

/** Interval between checks for stragglers. */
export const SPECULATION_CHECK_INTERVAL_MS = 100;
