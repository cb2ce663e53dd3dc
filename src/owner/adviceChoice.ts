/**
 * Chooses the targets about which the advice service is queried. For a step with many tasks the targets that
 * are already approved may not hold all waiting tasks, so others have to be queried as well.
 */

import type { AdviceCosts, TaskDemand } from '../work/types';
import {
  ADVICE_CHEAP_MS,
  ADVICE_COSTLY_TARGETS,
  ADVICE_APPROVAL_FRACTION,
  ADVICE_MAX_TARGETS,
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

function countFittingByDemand(charge: TaskDemand, free: TaskDemand): number {
  const ratios = [
    charge.cpuMillis > 0 ? free.cpuMillis / charge.cpuMillis : Number.POSITIVE_INFINITY,
    charge.memoryMb > 0 ? free.memoryMb / charge.memoryMb : Number.POSITIVE_INFINITY,
    charge.accelerators > 0 ? free.accelerators / charge.accelerators : Number.POSITIVE_INFINITY,
  ];
  return Math.max(0, Math.floor(Math.min(...ratios)));
}

/** Number of waiting tasks of a step that fit on a target now. */
function countFittingTasks(step: StepState, target: TargetState): number {
  if (!isColocationAllowed(step, target)) return 0;
  const fittingCount = countFittingByDemand(step.charge, target.free);
  return Math.max(0, Math.min(fittingCount, getSpreadHeadroom(step, target), step.waiting.size));
}

/** Orders targets on which a task fits first, then approved targets, then by free processor capacity. */
function compareRatedTargets(left: RatedTarget, right: RatedTarget): number {
  const leftFits = Number(left.fittingTaskCount > 0);
  const rightFits = Number(right.fittingTaskCount > 0);
  if (leftFits !== rightFits) return rightFits - leftFits;
  if (left.isApproved !== right.isApproved)
    return Number(right.isApproved) - Number(left.isApproved);
  return right.freeCpuMillis - left.freeCpuMillis;
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
  const isSufficient = getExpectedTaskCount(defaultSelection) >= step.waiting.size;
  return isSufficient ? ADVICE_COSTLY_TARGETS : ADVICE_WIDE_TARGETS;
}

/**
 * Chooses the targets to name in one call.
 * @param step - the step that needs tickets
 * @param candidates - eligible targets that the service has not refused
 * @param costs - latency of a call
 * @returns the targets; only approved ones when all waiting tasks fit on them
 */
export function chooseTargetsToQuery(
  step: StepState,
  candidates: readonly TargetState[],
  costs: AdviceCosts,
): readonly TargetState[] {
  const ratedTargets = candidates
    .map((target) => ({
      target,
      fittingTaskCount: countFittingTasks(step, target),
      isApproved: step.advice.isApproved(target.id),
      freeCpuMillis: target.free.cpuMillis,
    }))
    .sort(compareRatedTargets);
  const approved = ratedTargets.filter(
    ({ isApproved, fittingTaskCount }) => isApproved && fittingTaskCount > 0,
  );
  const isApprovedSufficient = getExpectedTaskCount(approved) >= step.waiting.size;
  const selected = isApprovedSufficient ? approved : ratedTargets;
  return selected.slice(0, getMaxTargets(costs, step, selected)).map(({ target }) => target);
}

/**
 * Checks whether no target with a valid ticket has capacity while another candidate has.
 * @param step - a step with valid tickets
 * @param candidates - eligible targets that the service has not refused
 * @param nowMs - elapsed time of this process
 * @returns true when another call could provide usable tickets
 */
export function isFurtherAdviceUseful(
  step: StepState,
  candidates: readonly TargetState[],
  nowMs: number,
): boolean {
  const hasCapacity = (target: TargetState) => countFittingTasks(step, target) > 0;
  const hasTicket = (target: TargetState) =>
    step.advice.getTicket(target.id, target.entry.incarnationStartMs, nowMs) !== undefined;
  // Few targets have tickets and the lookup is cheap, so this check decides most calls.
  if (candidates.some((target) => hasTicket(target) && hasCapacity(target))) return false;
  return candidates.some(hasCapacity);
}
