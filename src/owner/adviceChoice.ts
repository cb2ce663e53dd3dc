/**
 * Chooses the targets about which the advice service is queried. For a step with many tasks the targets that
 * are already approved may not hold all waiting tasks, so others have to be queried as well.
 */

import type { AdviceCosts, TaskDemand } from '../work/types';
import {
  ADVICE_CHEAP_MS,
  ADVICE_DEAR_TARGETS,
  ADVICE_GOOD_FRACTION,
  ADVICE_MAX_TARGETS,
  ADVICE_WIDE_TARGETS,
} from './constants';
import { getSpreadLeft, isCompatible } from './placement';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** A target with the properties by which it is ranked. */
interface Option {
  readonly target: TargetState;
  readonly placeCount: number;
  readonly isGood: boolean;
  readonly freeCpuMillis: number;
}

function countFitting(charge: TaskDemand, free: TaskDemand): number {
  const ratios = [
    charge.cpuMillis > 0 ? free.cpuMillis / charge.cpuMillis : Number.POSITIVE_INFINITY,
    charge.memoryMb > 0 ? free.memoryMb / charge.memoryMb : Number.POSITIVE_INFINITY,
    charge.accelerators > 0 ? free.accelerators / charge.accelerators : Number.POSITIVE_INFINITY,
  ];
  return Math.max(0, Math.floor(Math.min(...ratios)));
}

/** Number of waiting tasks of a step that fit on a target now. */
function countPlaces(step: StepState, target: TargetState): number {
  if (!isCompatible(step, target)) return 0;
  const fittingCount = countFitting(step.charge, target.free);
  return Math.max(0, Math.min(fittingCount, getSpreadLeft(step, target), step.waiting.size));
}

/** Orders targets on which a task fits first, then approved targets, then by free processor capacity. */
function compareOptions(left: Option, right: Option): number {
  const leftRoomy = Number(left.placeCount > 0);
  const rightRoomy = Number(right.placeCount > 0);
  if (leftRoomy !== rightRoomy) return rightRoomy - leftRoomy;
  if (left.isGood !== right.isGood) return Number(right.isGood) - Number(left.isGood);
  return right.freeCpuMillis - left.freeCpuMillis;
}

/** Expected number of tasks that the targets can run, given the fraction of targets usually approved. */
function getExpectedPlaces(options: readonly Option[]): number {
  return options.reduce(
    (sum, { placeCount, isGood }) => sum + placeCount * (isGood ? 1 : ADVICE_GOOD_FRACTION),
    0,
  );
}

function getLimit(costs: AdviceCosts, step: StepState, options: readonly Option[]): number {
  if (costs.perTargetMs < ADVICE_CHEAP_MS) return ADVICE_MAX_TARGETS;
  const usual = options.slice(0, ADVICE_DEAR_TARGETS);
  const isEnough = getExpectedPlaces(usual) >= step.waiting.size;
  return isEnough ? ADVICE_DEAR_TARGETS : ADVICE_WIDE_TARGETS;
}

/**
 * Chooses the targets to name in one call.
 * @param step - the step that needs tickets
 * @param candidates - eligible targets that the service has not refused
 * @param costs - latency of a call
 * @returns the targets; only approved ones when all waiting tasks fit on them
 */
export function chooseAdvisedTargets(
  step: StepState,
  candidates: readonly TargetState[],
  costs: AdviceCosts,
): readonly TargetState[] {
  const options = candidates
    .map((target) => ({
      target,
      placeCount: countPlaces(step, target),
      isGood: step.advice.isGood(target.id),
      freeCpuMillis: target.free.cpuMillis,
    }))
    .sort(compareOptions);
  const known = options.filter(({ isGood, placeCount }) => isGood && placeCount > 0);
  const isKnownEnough = getExpectedPlaces(known) >= step.waiting.size;
  const named = isKnownEnough ? known : options;
  return named.slice(0, getLimit(costs, step, named)).map(({ target }) => target);
}

/**
 * Checks whether no target with a valid ticket has capacity while another candidate has.
 * @param step - a step with valid tickets
 * @param candidates - eligible targets that the service has not refused
 * @param nowMs - elapsed time of this process
 * @returns true when another call could provide usable tickets
 */
export function isMoreAdviceHelpful(
  step: StepState,
  candidates: readonly TargetState[],
  nowMs: number,
): boolean {
  const hasRoom = (target: TargetState) => countPlaces(step, target) > 0;
  const hasTicket = (target: TargetState) =>
    step.advice.getTicket(target.id, target.entry.bornAtMs, nowMs) !== undefined;
  // Few targets have tickets and the lookup is cheap, so this check decides most calls.
  if (candidates.some((target) => hasTicket(target) && hasRoom(target))) return false;
  return candidates.some(hasRoom);
}
