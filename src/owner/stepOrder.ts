/**
 * Scheduling order of waiting steps: steps within their team's rate first, then by priority of the queue, then
 * by lateness rank, then earliest deadline first. While a priority is contended, steps of teams far beyond their share
 * come later; those beyond the rate of their team follow the feasibility and the remaining work of their submission.
 *
 * Load answered: demand of 1.4 to 2 times the capacity. What exceeds the rates of the teams then takes what is left,
 * which is far less than it needs, and by deadlines nearly all of it is served too late to count. Within the rates the
 * estimates are too inaccurate to give up a submission early (see docs/design/share-and-order.md).
 */

import {
  compareStepKeys,
  FEASIBILITY,
  getAgedWork,
  getFeasibility,
  getRemainder,
} from '../share/stepKeys';
import type { Remainder, StepKeys, StepRemainder } from '../share/stepKeys';
import type { CapacityShares } from './capacityShares';
import { getExpectedDurationMs } from './expectedDuration';
import type { StepState } from './stepState';
import type { SubmissionRecord } from './submissionRecord';

/** The clocks and shares that the order depends on. */
export interface StepOrderSource {
  readonly nowMs: number;
  readonly wallMs: number;
  readonly capacityShares: CapacityShares;
}

const PERCENT = 100;

/** What is left of a submission is computed again after this time; it changes little in so short a time. */
const REMAINDER_VALID_MS = 250;

/** What was left of one occurrence of a submission at a time. */
interface KnownRemainder extends Remainder {
  readonly untilMs: number;
}

/** The rank without regard to the remaining work: a step is late once the objective has passed. */
function getRank(step: StepState, wallMs: number): number {
  if (step.isLongRunning) return FEASIBILITY.inTime;
  const { dueAtMs, record } = step;
  return getFeasibility({ dueAtMs, objectiveMs: record.objectiveMs, remainingMs: 0 }, wallMs);
}

function getUncontendedKeys(step: StepState, wallMs: number): StepKeys {
  return {
    excess: Number(step.record.isExcess),
    priority: step.record.queue.priority,
    rank: getRank(step, wallMs),
    ...{ yielding: 0, work: 0 },
    dueAtMs: step.dueAtMs,
  };
}

function sortByKeys(
  steps: readonly StepState[],
  getKeys: (step: StepState) => StepKeys,
): StepState[] {
  return steps
    .map((step) => ({ step, keys: getKeys(step) }))
    .sort((left, right) => compareStepKeys(left.keys, right.keys))
    .map(({ step }) => step);
}

/**
 * Sorts waiting steps into the order that holds while nothing is contended.
 * @param steps - the steps, in any order
 * @param wallMs - milliseconds since 1970
 * @returns the steps, the one to schedule first at the front
 */
export function sortSteps(steps: readonly StepState[], wallMs: number): StepState[] {
  return sortByKeys(steps, (step) => getUncontendedKeys(step, wallMs));
}

function getRunFractions(step: StepState): readonly number[] {
  return [...step.runs.values()].map((runs) => {
    const percent = runs.reduce((most, run) => Math.max(most, run.percent), 0);
    return 1 - percent / PERCENT;
  });
}

/** A lasting task has no duration; it counts with the time in which it should be at work. */
function toStepRemainder(step: StepState): StepRemainder {
  const { spec, record, waiting, charge, isLongRunning } = step;
  return {
    after: spec.after,
    taskMs: isLongRunning ? record.queue.latencyGoalMs : getExpectedDurationMs(step),
    waitingCount: waiting.size,
    runFractions: getRunFractions(step),
    cpuMillis: charge.cpuMillis,
  };
}

/** Sorts steps by the shares of their teams while a priority is contended. Keys are kept during one pass. */
export class StepOrder {
  #source: StepOrderSource;

  #keys = new Map<StepState, StepKeys>();

  #remainders = new WeakMap<SubmissionRecord, Map<number, KnownRemainder>>();

  /**
   * @param source - the owner's state
   */
  constructor(source: StepOrderSource) {
    this.#source = source;
  }

  /** Follows the shares; called once at the beginning of a scheduling pass. */
  refresh(): void {
    this.#keys.clear();
    this.#source.capacityShares.refresh();
  }

  /**
   * Sorts waiting steps into scheduling order.
   * @param steps - the steps, in any order
   * @returns the steps, the one to schedule first at the front
   */
  sort(steps: readonly StepState[]): StepState[] {
    const { capacityShares, wallMs } = this.#source;
    if (!capacityShares.isAnyContended) return sortSteps(steps, wallMs);
    return sortByKeys(steps, (step) => this.#getKeys(step));
  }

  #getKeys(step: StepState): StepKeys {
    const known = this.#keys.get(step);
    if (known !== undefined) return known;
    const keys = this.#computeKeys(step);
    this.#keys.set(step, keys);
    return keys;
  }

  #computeKeys(step: StepState): StepKeys {
    const { capacityShares, wallMs, nowMs } = this.#source;
    const keys = getUncontendedKeys(step, wallMs);
    if (!capacityShares.isContended(step)) return keys;
    const yielding = Number(capacityShares.isYielding(step));
    const { isExcess, objectiveMs } = step.record;
    if (!isExcess) return { ...keys, yielding };
    const { workMillisMs, chainMs } = this.#getRemainder(step);
    const times = { dueAtMs: step.dueAtMs, objectiveMs, remainingMs: chainMs };
    return {
      ...keys,
      rank: step.isLongRunning ? FEASIBILITY.inTime : getFeasibility(times, wallMs),
      yielding,
      work: getAgedWork(workMillisMs, nowMs - (step.readyAtMs ?? nowMs), objectiveMs),
    };
  }

  #getRemainder({ record, occurrence }: StepState): Remainder {
    const { nowMs } = this.#source;
    const byOccurrence = this.#remainders.get(record) ?? new Map<number, KnownRemainder>();
    this.#remainders.set(record, byOccurrence);
    const known = byOccurrence.get(occurrence);
    if (known !== undefined && nowMs < known.untilMs) return known;
    const steps: StepRemainder[] = [];
    for (const step of record.steps) {
      if (step.occurrence === occurrence) steps[step.number] = toStepRemainder(step);
    }
    const remainder = { ...getRemainder(steps), untilMs: nowMs + REMAINDER_VALID_MS };
    byOccurrence.set(occurrence, remainder);
    return remainder;
  }
}
