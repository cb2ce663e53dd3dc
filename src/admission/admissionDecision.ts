/**
 * Decides at a gate whether a submission can still count by the owner's forecast. It answers an overload that lasts:
 * work that ends after three times its objective has no value for its caller, who would learn so only by waiting.
 */

import type { Random } from '../types/random';
import { MAX_WAIT_MS } from './forecast';
import { decodeLoadSummary } from './loadSummary';
import type { LoadSummary, QueueLoad } from './loadSummary';
import type { SubmissionFacts } from './submissionFacts';

/** A submission that ends after this many times its objective does not count any more. */
const REFUSE_FACTOR = 3;

/** Refusing ends below this factor, so that a queue at the limit does not change sides with each summary. */
const ADMIT_FACTOR = 2.5;

/** Three summaries are built in this time; an older one may miss the end of a burst. */
const MAX_AGE_MS = 1_500;

/** Bounds of the delay after which callers are asked to return. */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 30_000;

/**
 * Something in the same place of the order has waited for this fraction of the objective, so it is late in fact. With
 * a quarter, more was refused and less was in time (docs/design/admission.md).
 */
const SEEN_FRACTION = 1;

/**
 * Lost work shows that too much was admitted. The limit falls with it, and at this many objectives reaches the factor
 * below, so that the hopeless work stays bounded in an overload that lasts.
 */
const MAX_LOST_OBJECTIVES = 1;
const MIN_LIMIT_FACTOR = 0.25;

/** Callers return within this fraction after the delay, so that they do not all return at once. */
const JITTER_FRACTION = 1 / 3;

const SECOND_MS = 1_000;

/** Why a submission is admitted. */
export type AdmitReason =
  /** No summary of the followed owner, or an old one. */
  | 'noSummary'
  /** Only one summary has been received recently. */
  | 'firstSummary'
  /** The owner gives no forecast of the queue, as nothing waits there or the throughput is not known. */
  | 'noForecast'
  /** Its tasks are smaller than all that wait, so they may fit where those do not. */
  | 'small'
  /** It counts by the forecast, or was expected to by the previous one. */
  | 'counts';

/** The decision on a submission. */
export type AdmissionDecision =
  | { readonly kind: 'admit'; readonly reason: AdmitReason }
  | {
      readonly kind: 'refuse';
      /** Expected start and end after now, and the objective. */
      readonly startMs: number;
      readonly endMs: number;
      readonly objectiveMs: number;
      /** Whether it is late only if it exceeds the rate of its team, which the owner has to confirm. */
      readonly isForExcess: boolean;
      readonly retryAfterMs: number;
      readonly sequence: number;
    };

/** A summary with the time at which it was first received. */
interface ReceivedSummary {
  readonly summary: LoadSummary;
  readonly atMs: number;
}

/** What a summary says of a submission. */
interface Expectation {
  readonly startMs: number;
  readonly endMs: number;
  readonly objectiveMs: number;
  /** Expected time until a submission like it would be admitted, and its return helps. */
  readonly returnMs: number;
}

function getLimitFactor(lostObjectives: number): number {
  return Math.max(MIN_LIMIT_FACTOR, 1 - lostObjectives / MAX_LOST_OBJECTIVES);
}

/**
 * A submission comes before late ones until its objective has passed. One that is shorter than usual in its queue is
 * judged by the usual objective, as shorter work passes the longer.
 */
function getExpectation(
  facts: SubmissionFacts,
  load: QueueLoad,
  isForExcess: boolean,
): Expectation {
  // A forecast that durations are shorter than estimated would refuse more and is not relied on.
  const durationMs = facts.chainMs * Math.max(1, load.factor);
  const ownObjectiveMs = facts.latencyGoalMs + facts.stretchFactor * durationMs;
  const objectiveMs = Math.max(ownObjectiveMs, load.goal);
  const [inTimeMs, lateMs, lostMs] = isForExcess ? load.whole : load.within;
  const limitMs = objectiveMs * getLimitFactor(lostMs / objectiveMs);
  const startMs = inTimeMs <= limitMs ? inTimeMs : lateMs;
  const endMs = startMs + durationMs;
  const untilAdmittedMs = Math.min(endMs - ADMIT_FACTOR * objectiveMs, inTimeMs - limitMs);
  // While more is submitted than can be done, a caller that returns earlier takes the place of one that can be in time.
  const minReturnMs = lateMs >= MAX_WAIT_MS ? objectiveMs : 0;
  return { startMs, endMs, objectiveMs, returnMs: Math.max(untilAdmittedMs, minReturnMs) };
}

/** Smaller tasks may find room where those ahead do not, so a forecast alone is not enough: tasks do wait long. */
function isWaitSeen({ waiting }: QueueLoad, expected: Expectation, isForExcess: boolean): boolean {
  const [, withinMs, excessMs] = waiting;
  return (isForExcess ? excessMs : withinMs) >= SEEN_FRACTION * expected.objectiveMs;
}

function getRatio({ endMs, objectiveMs }: Expectation): number {
  return objectiveMs > 0 ? endMs / objectiveMs : 0;
}

/** Decides for one gate. */
export class AdmissionControl {
  #random: Random;

  #latest: ReceivedSummary | undefined;

  #previous: ReceivedSummary | undefined;

  /** Queues and rate classes whose last judged submission was refused. */
  #refusing = new Set<string>();

  /**
   * @param random - source of jitter
   */
  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Takes a summary; one that was received before, is not of the expected form or is too large is ignored.
   * @param value - as received; undefined when the owner sends none
   * @param nowMs - current time
   */
  onSummary(value: unknown, nowMs: number): void {
    if (value === undefined || this.#isRepeated(value)) return;
    const summary = decodeLoadSummary(value);
    if (summary === undefined) return;
    const { epoch, sequence } = summary;
    const known = this.#latest;
    const knownEpoch = known?.summary.epoch ?? 0;
    if (epoch < knownEpoch) return;
    if (known !== undefined && epoch === knownEpoch && sequence <= known.summary.sequence) return;
    const isFollowing = known !== undefined && epoch === knownEpoch;
    if (!isFollowing) this.#refusing.clear();
    this.#previous = isFollowing && nowMs - known.atMs <= MAX_AGE_MS ? known : undefined;
    this.#latest = { summary, atMs: nowMs };
  }

  /** Each summary comes in several heartbeat replies; it is decoded once. */
  #isRepeated(value: unknown): boolean {
    if (typeof value !== 'object' || value === null || this.#latest === undefined) return false;
    const { epoch, sequence } = this.#latest.summary;
    const isSame = (name: string, known: number) => Reflect.get(value, name) === known;
    return isSame('epoch', epoch) && isSame('sequence', sequence);
  }

  /**
   * Gets the age of the latest summary.
   * @param nowMs - current time
   * @returns undefined when none has been received
   */
  getAgeMs(nowMs: number): number | undefined {
    return this.#latest === undefined ? undefined : nowMs - this.#latest.atMs;
  }

  /**
   * Decides on a submission.
   * @param facts - the submission
   * @param epoch - epoch of the owner that the node follows; undefined when there is none
   * @param nowMs - current time
   * @returns whether to refuse it, unless it is known already
   */
  decide(facts: SubmissionFacts, epoch: number | undefined, nowMs: number): AdmissionDecision {
    const latest = this.#latest;
    const isFresh = latest !== undefined && nowMs - latest.atMs <= MAX_AGE_MS;
    if (!isFresh || latest.summary.epoch !== epoch) return { kind: 'admit', reason: 'noSummary' };
    const load = latest.summary.queues.find(({ id }) => id === facts.queueId);
    if (load === undefined) return { kind: 'admit', reason: 'noForecast' };
    const previous = this.#previous?.summary.queues.find(({ id }) => id === facts.queueId);
    if (previous === undefined) return { kind: 'admit', reason: 'firstSummary' };
    const [minCpuMillis, minMemoryMb] = load.min;
    if (facts.maxCpuMillis < minCpuMillis || facts.maxMemoryMb < minMemoryMb)
      return { kind: 'admit', reason: 'small' };
    const { sequence, teams } = latest.summary;
    const judge = (isForExcess: boolean): AdmissionDecision | undefined => {
      const key = `${facts.queueId}|${isForExcess}`;
      const expected = getExpectation(facts, load, isForExcess);
      const before = getExpectation(facts, previous, isForExcess);
      if (!isWaitSeen(load, expected, isForExcess)) return undefined;
      if (!this.#isRefused(key, getRatio(expected), getRatio(before))) return undefined;
      const { startMs, endMs, objectiveMs, returnMs } = expected;
      const retryAfterMs = this.#drawRetryMs(returnMs);
      return { kind: 'refuse', startMs, endMs, objectiveMs, isForExcess, retryAfterMs, sequence };
    };
    const mayExceedRate = teams.some(([id]) => id === facts.teamId);
    const decision = judge(false) ?? (mayExceedRate ? judge(true) : undefined);
    return decision ?? { kind: 'admit', reason: 'counts' };
  }

  #isRefused(key: string, ratio: number, before: number): boolean {
    const limit = this.#refusing.has(key) ? ADMIT_FACTOR : REFUSE_FACTOR;
    const isRefused = Math.min(ratio, before) > limit;
    if (isRefused) this.#refusing.add(key);
    else if (ratio <= ADMIT_FACTOR) this.#refusing.delete(key);
    return isRefused;
  }

  /** Retry-After has whole seconds, so the jitter is rounded at random instead of always up. */
  #drawRetryMs(returnMs: number): number {
    const longestMs = MAX_RETRY_MS / (1 + JITTER_FRACTION);
    const delayMs = Math.min(longestMs, Math.max(MIN_RETRY_MS, returnMs));
    const jitteredMs = delayMs * (1 + JITTER_FRACTION * this.#random.nextFraction());
    return Math.floor(jitteredMs / SECOND_MS + this.#random.nextFraction()) * SECOND_MS;
  }
}
