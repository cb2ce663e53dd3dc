/**
 * Chooses the targets about which the advice service is queried. For a step with many tasks the targets that
 * are already approved may not hold all waiting tasks, so others have to be queried as well.
 */

import type { AdviceCosts, TaskDemand } from '../work/types';
import {
  ADVICE_CHEAP_MS,
  ADVICE_COSTLY_TARGETS,
  ADVICE_APPROVAL_FRACTION,
  ADVICE_MAX_PAUSE_MS,
  ADVICE_MAX_TARGETS,
  ADVICE_SILENCE_MS,
  ADVICE_WIDE_TARGETS,
} from './constants';
import { getSpreadHeadroom, isColocationAllowed } from './placement';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** A target with the properties by which it is ranked. */
interface RatedTarget {
  readonly target: TargetState;
  readonly fittingTaskCount: number;
  readonly isApproved: boolean;
  readonly freeCpuMillis: number;
}

function getRatio(free: number, charge: number): number {
  return charge > 0 ? free / charge : Number.POSITIVE_INFINITY;
}

function countFittingByDemand(charge: TaskDemand, free: TaskDemand): number {
  if (charge.cpuMillis > 0 && free.cpuMillis < charge.cpuMillis) return 0;
  const ratio = Math.min(
    getRatio(free.cpuMillis, charge.cpuMillis),
    getRatio(free.memoryMb, charge.memoryMb),
    getRatio(free.accelerators, charge.accelerators),
  );
  return Math.max(0, Math.floor(ratio));
}

/**
 * Counts the tasks without a place that fit on a target now.
 * @param step - the step
 * @param target - the target
 * @param nowMs - elapsed time of this process
 * @returns 0 for a target that has taken no runs for a while; a paused one takes tasks only when no other does
 */
export function countFittingTasks(step: StepState, target: TargetState, nowMs: number): number {
  if (target.pausedUntilMs > nowMs + ADVICE_MAX_PAUSE_MS) return 0;
  const { unplannableSinceMs } = target;
  if (unplannableSinceMs !== undefined && nowMs >= unplannableSinceMs + ADVICE_SILENCE_MS) return 0;
  const fittingCount = countFittingByDemand(step.charge, target.free);
  if (fittingCount === 0 || !isColocationAllowed(step, target)) return 0;
  return Math.max(0, Math.min(fittingCount, getSpreadHeadroom(step, target), step.unplacedCount));
}

/** Groups of targets in the order in which they are named: those on which a task fits first, then approved ones. */
const GROUP_COUNT = 4;

function getGroup({ fittingTaskCount, isApproved }: RatedTarget): number {
  return (fittingTaskCount > 0 ? 0 : 2) + (isApproved ? 0 : 1);
}

function isSortedByFreeCpu(ratedTargets: readonly RatedTarget[]): boolean {
  return ratedTargets.every(
    ({ freeCpuMillis }, index) =>
      index === 0 || (ratedTargets[index - 1]?.freeCpuMillis ?? 0) >= freeCpuMillis,
  );
}

/** Many targets have the same free capacity, so few amounts have to be sorted. */
function sortByFreeCpu(ratedTargets: readonly RatedTarget[]): readonly RatedTarget[] {
  if (isSortedByFreeCpu(ratedTargets)) return ratedTargets;
  const byFreeCpu = new Map<number, RatedTarget[]>();
  ratedTargets.forEach((rated) => {
    const same = byFreeCpu.get(rated.freeCpuMillis);
    if (same === undefined) byFreeCpu.set(rated.freeCpuMillis, [rated]);
    else same.push(rated);
  });
  return [...byFreeCpu]
    .sort(([left], [right]) => right - left)
    .flatMap(([, withSameFreeCpu]) => withSameFreeCpu);
}

/** Selects the first targets by group and then by free processor capacity, and sorts only the groups that it needs. */
function selectFirst(ratedTargets: readonly RatedTarget[], maxCount: number): RatedTarget[] {
  const groups: RatedTarget[][] = Array.from({ length: GROUP_COUNT }, () => []);
  ratedTargets.forEach((rated) => groups[getGroup(rated)]?.push(rated));
  const selected: RatedTarget[] = [];
  groups.forEach((group) => {
    if (selected.length < maxCount) selected.push(...sortByFreeCpu(group));
  });
  return selected.slice(0, maxCount);
}

/** Expected number of tasks that the targets can run, given the fraction of targets usually approved. */
function getExpectedTaskCount(ratedTargets: readonly RatedTarget[]): number {
  return ratedTargets.reduce(
    (sum, { fittingTaskCount, isApproved }) =>
      sum + fittingTaskCount * (isApproved ? 1 : ADVICE_APPROVAL_FRACTION),
    0,
  );
}

function getMaxTargets(
  costs: AdviceCosts,
  step: StepState,
  ratedTargets: readonly RatedTarget[],
): number {
  if (costs.perTargetMs < ADVICE_CHEAP_MS) return ADVICE_MAX_TARGETS;
  const defaultSelection = ratedTargets.slice(0, ADVICE_COSTLY_TARGETS);
  const isSufficient = getExpectedTaskCount(defaultSelection) >= step.unplacedCount;
  return isSufficient ? ADVICE_COSTLY_TARGETS : ADVICE_WIDE_TARGETS;
}

/**
 * Chooses the targets to name in one call.
 * @param step - the step that needs tickets
 * @param candidates - eligible targets that may be used now and that the service has not refused
 * @param costs - latency of a call
 * @param nowMs - elapsed time of this process
 * @returns the targets; only approved ones when all waiting tasks fit on them
 */
export function chooseTargetsToQuery(
  step: StepState,
  candidates: readonly TargetState[],
  costs: AdviceCosts,
  nowMs: number,
): readonly TargetState[] {
  const ratedTargets = candidates.map((target) => ({
    target,
    fittingTaskCount: countFittingTasks(step, target, nowMs),
    isApproved: step.advice.isApproved(target.id, target.entry.incarnationStartMs),
    freeCpuMillis: target.free.cpuMillis,
  }));
  const approved = ratedTargets.filter(
    ({ isApproved, fittingTaskCount }) => isApproved && fittingTaskCount > 0,
  );
  const isApprovedSufficient = getExpectedTaskCount(approved) >= step.unplacedCount;
  const selected = selectFirst(isApprovedSufficient ? approved : ratedTargets, ADVICE_MAX_TARGETS);
  return selected.slice(0, getMaxTargets(costs, step, selected)).map(({ target }) => target);
}

/**
 * Checks whether no target with a valid ticket has capacity while another candidate has.
 * @param step - a step with valid tickets
 * @param targets - targets that the step may use
 * @param isCandidate - checks whether one of them is eligible and not refused by the service
 * @param nowMs - elapsed time of this process
 * @returns true when another call could provide usable tickets
 */
export function isFurtherAdviceUseful(
  step: StepState,
  targets: readonly TargetState[],
  isCandidate: (target: TargetState) => boolean,
  nowMs: number,
): boolean {
  let hasCapacity = false;
  for (const target of targets) {
    if (countFittingTasks(step, target, nowMs) === 0 || !isCandidate(target)) continue;
    const { entry } = target;
    if (step.advice.getTicket(target.id, entry.incarnationStartMs, nowMs) !== undefined)
      return false;
    hasCapacity = true;
  }
  return hasCapacity;
}
