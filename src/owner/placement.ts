/** Which targets may take a task, and which of them takes it. */

import { isDemandFitting } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { OwnerState } from './ownerState';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Weight of a target off the data's rack, beyond any difference in packing. */
const OTHER_RACK_COST = 10;

/** Weight of a target whose last runs failed. */
const SUSPECT_COST = 5;

/** Weight of a target's duration against the mean of its like, 1 for twice as long. */
const SLOW_COST = 1;

/**
 * Asks whether a target could ever run tasks of a step, room aside.
 * @param state - the owner's tables
 * @param step - the step
 * @param target - the target
 * @returns true when service, label, data centre and state of the target allow it
 */
export function isTargetEligible(state: OwnerState, step: StepState, target: TargetState): boolean {
  const { entry } = target;
  if (!target.isListed || entry.isDraining) return false;
  if (entry.serviceName !== step.record.queue.serviceName) return false;
  if (state.operator.closedDataCentreIds.includes(entry.dataCentreId)) return false;
  const { requiredLabel } = step.spec;
  if (requiredLabel !== '' && !entry.labels.includes(requiredLabel)) return false;
  return isDemandFitting(step.charge, entry.capacity);
}

/**
 * Asks whether the runs of a target are known, so that its room is.
 * @param target - the target
 * @returns true when it has listed its runs, answers, and runs nothing of unknown size
 */
export function isTargetKnown(target: TargetState): boolean {
  return target.isContacted && target.isResponding && target.orphanRuns.size === 0;
}

function hasFiller(target: TargetState): boolean {
  return [...target.runs.values()].some((run) => run.step.spec.isFiller);
}

function isServing(step: StepState): boolean {
  const { policy } = step.spec;
  return policy.kind === 'standing' && policy.latencyTargetMs > 0;
}

function hasServing(target: TargetState): boolean {
  return [...target.runs.values()].some((run) => isServing(run.step));
}

/**
 * Asks whether a step's tasks may run beside what runs on a target: fillers disturb serving tasks.
 * @param step - the step
 * @param target - the target
 * @returns false when a filler and a serving task would share it
 */
export function isCompatible(step: StepState, target: TargetState): boolean {
  if (step.spec.isFiller) return !hasServing(target);
  if (isServing(step)) return !hasFiller(target);
  return true;
}

/**
 * Counts the tasks that the step's bound on one target leaves.
 * @param step - the step
 * @param target - the target
 * @returns how many more may run there; infinite without a bound
 */
export function getSpreadLeft(step: StepState, target: TargetState): number {
  const { maxTasksPerTarget } = step.spec;
  if (maxTasksPerTarget === 0) return Number.POSITIVE_INFINITY;
  return maxTasksPerTarget - step.countOn(target.id);
}

/**
 * Asks whether the step's bound of tasks on one target allows one more.
 * @param step - the step
 * @param target - the target
 * @param placedCount - tasks of the step that are about to start there
 * @returns true when there is no bound or it is not reached
 */
export function isSpreadAllowed(step: StepState, target: TargetState, placedCount = 0): boolean {
  return getSpreadLeft(step, target) > placedCount;
}

/**
 * Asks whether one more task of a step fits on a target.
 * @param step - the step
 * @param target - the target
 * @param free - what is left there
 * @param placedCount - tasks of the step that are about to start there
 * @returns true when room, spread and neighbours allow it
 */
export function isPlaceable(
  step: StepState,
  target: TargetState,
  free: TaskDemand,
  placedCount: number,
): boolean {
  return (
    isDemandFitting(step.charge, free) &&
    isSpreadAllowed(step, target, placedCount) &&
    isCompatible(step, target)
  );
}

/** What is left of a target after a placement, as the sum of its fractions: best fit takes the least. */
function getLeftover(charge: TaskDemand, target: TargetState, free: TaskDemand): number {
  const { capacity } = target.entry;
  const cpu = (free.cpuMillis - charge.cpuMillis) / Math.max(capacity.cpuMillis, 1);
  const memory = (free.memoryMb - charge.memoryMb) / Math.max(capacity.memoryMb, 1);
  const accelerators = capacity.accelerators === 0 ? 0 : free.accelerators / capacity.accelerators;
  return cpu + memory + accelerators;
}

/**
 * Rates a target for one task; the lowest cost is taken.
 * @param step - the step
 * @param target - the target
 * @param free - what is left there
 * @returns the cost
 */
export function getPlacementCost(step: StepState, target: TargetState, free: TaskDemand): number {
  const { dataRack } = step.spec;
  const rackCost = dataRack !== '' && target.entry.rack !== dataRack ? OTHER_RACK_COST : 0;
  const suspectCost = target.isSuspect ? SUSPECT_COST : 0;
  const slowCost = SLOW_COST * (target.slowdown - 1);
  return getLeftover(step.charge, target, free) + rackCost + suspectCost + slowCost;
}
