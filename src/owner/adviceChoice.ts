/**
 * Chooses the targets that a call for advice names. Answers the load of wide steps on many targets: the
 * targets known to suit may hold fewer tasks than wait, so that others have to be asked about as well.
 */

import type { AdviceCosts, TaskDemand } from '../work/types';
import {
  ADVICE_CHEAP_MS,
  ADVICE_COSTLY_TARGETS,
  ADVICE_APPROVAL_FRACTION,
  ADVICE_MAX_TARGETS,
  ADVICE_WIDE_TARGETS,
} from './constants';
import { getSpreadLeft, isCompatible } from './placement';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** A target with the number of the step's tasks that fit there now. */
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

/** How many tasks of a step fit on a target now, no more than wait. */
function countPlaces(step: StepState, target: TargetState): number {
  if (!isCompatible(step, target)) return 0;
  const fittingCount = countFitting(step.charge, target.free);
  return Math.max(0, Math.min(fittingCount, getSpreadLeft(step, target), step.waiting.size));
}

/** Targets with room come first, of these the ones known to suit, then those with most room. */
function compareOptions(left: Option, right: Option): number {
  const leftRoomy = Number(left.placeCount > 0);
  const rightRoomy = Number(right.placeCount > 0);
  if (leftRoomy !== rightRoomy) return rightRoomy - leftRoomy;
  if (left.isGood !== right.isGood) return Number(right.isGood) - Number(left.isGood);
  return right.freeCpuMillis - left.freeCpuMillis;
}

/** How many tasks the named targets can be expected to take. */
function getExpectedPlaces(options: readonly Option[]): number {
  return options.reduce(
    (sum, { placeCount, isGood }) => sum + placeCount * (isGood ? 1 : ADVICE_APPROVAL_FRACTION),
    0,
  );
}

function getLimit(costs: AdviceCosts, step: StepState, options: readonly Option[]): number {
  if (costs.perTargetMs < ADVICE_CHEAP_MS) return ADVICE_MAX_TARGETS;
  const usual = options.slice(0, ADVICE_COSTLY_TARGETS);
  const isEnough = getExpectedPlaces(usual) >= step.waiting.size;
  return isEnough ? ADVICE_COSTLY_TARGETS : ADVICE_WIDE_TARGETS;
}

/**
 * Chooses which targets one call names.
 * @param step - the step that needs tickets
 * @param candidates - targets that may run it and were not refused
 * @param costs - what a call costs
 * @returns the targets; only those known to suit when they have room for all that waits
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
 * Asks whether targets that were never asked about have room, and those with a ticket have none.
 * @param step - a step with tickets that can be used
 * @param candidates - targets that may run it and were not refused
 * @param nowMs - our clock
 * @returns true when a further call would help
 */
export function isMoreAdviceHelpful(
  step: StepState,
  candidates: readonly TargetState[],
  nowMs: number,
): boolean {
  const hasRoom = (target: TargetState) => countPlaces(step, target) > 0;
  const hasTicket = (target: TargetState) =>
    step.advice.getTicket(target.id, target.entry.incarnationStartMs, nowMs) !== undefined;
  // Tickets are few and quick to look up, so most calls end here.
  if (candidates.some((target) => hasTicket(target) && hasRoom(target))) return false;
  return candidates.some(hasRoom);
}
