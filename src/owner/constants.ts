/** Times, limits and thresholds of the owner. */

/**
 * Lease of everything that runs on a target, renewed by each look. Long enough for a takeover after a
 * power loss of all nodes (about 3 s), short enough that a lost target's work starts again soon.
 */
export const LEASE_MS = 5_000;

/** How long a look may wait at the target for an end; a lost one hides ends for this and the slack. */
export const LOOK_WAIT_MS = 600;

/** Wait of a look at a target with a run that is being stopped; a stop takes up to 200 ms there. */
export const STOP_LOOK_WAIT_MS = 250;

/** Pause between probes of a target with runs in doubt. */
export const PROBE_PERIOD_MS = 60;

/** Added to the wait of a look before it counts as lost. */
export const LOOK_SLACK_MS = 250;

/** Pause before a target that did not answer is looked at again. */
export const LOOK_RETRY_MS = 150;

/** Pause between looks while ends cannot be acknowledged, as such a look returns at once. */
export const LOOK_UNACKNOWLEDGED_MS = 100;

/** Delay of a look whose only purpose is to acknowledge ends on an idle target. */
export const IDLE_ACKNOWLEDGE_MS = 800;

/** A start that arrives later than this is refused by the target. */
export const START_LIMIT_MS = 1_500;

/** Longest wait for the answer to a start. */
export const START_TIMEOUT_MS = 700;

/** Shortest wait for an answer that targets give at once: far beyond the 2 ms that it takes on a calm net. */
export const MIN_ANSWER_LIMIT_MS = 150;

/** The slowest answer of a target is forgotten over some 50 further ones. */
export const ANSWER_FADE_FACTOR = 0.97;

/** Wait for the answer to a stop or a change of pace. */
export const STOP_TIMEOUT_MS = 700;

/** Pause before a stop is repeated while the target still lists the run. */
export const STOP_RETRY_MS = 400;

/** A target's steady clock may be this much slower than ours. */
export const CLOCK_SLOWNESS = 0.02;

/** A new owner has read every submission by then; the feed of submissions is read twice a second. */
export const UNREAD_GRACE_MS = 4_000;

/** Pause between looks at a target that names submissions not read yet. */
export const UNREAD_LOOK_MS = 80;

/** Added to a computed moment at which a lease has lapsed, for reading and timer delays. */
export const LAPSE_MARGIN_MS = 150;

/** A former owner stops by itself after this time without a confirmation. */
export const AUTHORITY_MS = 2_000;

/** Ends wait this long for others, so that one transaction carries several. */
export const WRITE_DELAY_MS = 20;

/** Rows in one transaction: each takes a condition and a put of the store's 100 entries. */
export const WRITE_ROWS = 45;

/** Pause before a failed write is repeated. */
export const WRITE_RETRY_MS = 200;

/** Run numbers of one epoch start at the epoch times this. */
export const RUNS_PER_EPOCH = 1_000;

/** A ticket is not used within this time of its end, as the start has to travel. */
export const TICKET_MARGIN_MS = 150;

/** Most targets that one call for advice names; the service takes 100. */
export const ADVICE_MAX_TARGETS = 100;

/** Targets named where each one named costs more than {@link ADVICE_CHEAP_MS}. */
export const ADVICE_DEAR_TARGETS = 30;

/** Targets named when {@link ADVICE_DEAR_TARGETS} would not hold the tasks that wait. */
export const ADVICE_WIDE_TARGETS = 60;

/** Part of the named targets that get a ticket: 0.35 for wide steps on both sites, 0.7 for urgent ones. */
export const ADVICE_GOOD_FRACTION = 0.35;

/** Pause before a step with tickets asks again because their targets are full. */
export const ADVICE_AGAIN_MS = 250;

/** Below this cost of a named target all targets are named. */
export const ADVICE_CHEAP_MS = 1;

/** Part of the nodes whose channel to the advice service is kept for short calls. */
export const SHORT_LANE_FRACTION = 0.25;

/** A call for advice up to this length is short. */
export const SHORT_ADVICE_MS = 150;

/** Added to the expected length of a call for advice before it counts as lost. */
export const ADVICE_SLACK_MS = 1_000;

/** Pause of a lane after a failed call. */
export const ADVICE_RETRY_MS = 300;

/** Advice for a later step is asked for when this part of a ticket's life covers the rest of the wait. */
export const PREFETCH_TICKET_FRACTION = 0.5;

/** A target whose last ends all failed, for tasks of this many submissions, gets no work. */
export const QUARANTINE_FAILURES = 2;

/** First quarantine of a target; doubled each time. */
export const QUARANTINE_MS = 2_000;

/** Longest quarantine. */
export const MAX_QUARANTINE_MS = 20_000;

/** Pause of a target after it refused a start for a reason of its own. */
export const REFUSAL_PAUSE_MS = 1_000;

/** A run whose progress has stood still this long is stopped; a slow run of 100 s shows 2% in it. */
export const STUCK_MS = 2_500;

/** Kept for this long after its outcome, so that callers can ask for its state. */
export const RETENTION_MS = 150_000;

/** An urgent task waits this long for room before less urgent runs are stopped; ends come sooner often. */
export const PREEMPT_AFTER_MS = 60;

/** No copy of a task is started before this; a copy for a short delay does not pay. */
export const COPY_AFTER_MS = 500;

/** A task is copied when it runs this many times as long as its like. */
export const COPY_SLOWNESS = 2.2;

/** Weight of the newest duration in a target's relative speed. */
export const SPEED_WEIGHT = 0.2;

/** A target whose runs take this many times as long as their like is taken as slow. */
export const SLOW_TARGET = 1.8;

/** A step with nothing running waits this long for targets that are not under suspicion. */
export const SUSPICION_PATIENCE_MS = 1_200;

/** Wait of a look while answers get lost: a lost one hides ends for this and the limit of an answer. */
export const LOSSY_LOOK_WAIT_MS = 200;

/** Targets that have to lose answers before looks are sent more often; one may just be gone. */
export const LOSSY_TARGETS = 3;

/** A lost answer counts for this long. */
export const LOSSY_WINDOW_MS = 3_000;

/** Tasks of one step for which room is made in one plan; the next plan makes room for more. */
export const MAX_PREEMPTING_TASKS = 6;

/** How often slow runs are looked for. */
export const COPY_PERIOD_MS = 100;
