/** Placement constraints of tasks on targets, and the cost function by which a target is chosen. */

import { isDemandFitting } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { OwnerState } from './ownerState';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Cost of a target outside the data's rack; exceeds any difference in remaining capacity. */
const REMOTE_RACK_COST = 10;

/** Cost of a target whose last runs failed. */
const SUSPECT_COST = 5;

/** Cost per unit of relative slowdown: a target that takes twice the mean duration costs 1. */
const SLOWDOWN_WEIGHT = 1;

/**
 * Checks whether new runs may be started on a target at all, regardless of its state and capacity.
 * @param state - the owner's state
 * @param target - the target
 * @returns true when its registration and its data centre allow it
 */
export function isTargetInUse(
  { operator }: Pick<OwnerState, 'operator'>,
  { entry, isRegistered }: TargetState,
): boolean {
  return (
    isRegistered && !entry.isDraining && !operator.closedDataCentreIds.includes(entry.dataCentreId)
  );
}

/**
 * Checks whether a target could run tasks of a step, regardless of its free capacity.
 * @param state - the owner's state
 * @param step - the step
 * @param target - the target
 * @returns true when service, label, data centre, registration state and total capacity of the target allow it
 */
export function isTargetEligible(state: OwnerState, step: StepState, target: TargetState): boolean {
  const { entry } = target;
  if (!isTargetInUse(state, target)) return false;
  if (entry.serviceName !== step.record.queue.serviceName) return false;
  const { requiredLabel } = step.spec;
  if (requiredLabel !== '' && !entry.labels.includes(requiredLabel)) return false;
  return isDemandFitting(step.charge, entry.capacity);
}

/**
 * Checks whether the runs of a target are known, so that its free capacity can be relied on.
 * @param target - the target
 * @returns true when it has listed its runs, responds, has no runs of unknown demand, is recorded, and no stored report
 *   tells a later owner otherwise, be it one that this owner has not read
 */
export function isInventoryKnown(target: TargetState): boolean {
  return (
    target.isContacted &&
    target.isResponding &&
    target.isRecorded &&
    !target.isVerificationDue &&
    target.orphanRuns.size === 0 &&
    !target.isReportUnread &&
    (target.voidedReports.length === 0 ||
      target.voidedReports.every(({ record, change }) => record.durableChangeCount >= change))
  );
}

/**
 * Checks whether a step's tasks may share a target with its present runs. Filler tasks use spare processor
 * time and would raise the response times of latency-sensitive tasks.
 * @param step - the step
 * @param target - the target
 * @returns false when a filler and a latency-sensitive task would share the target
 */
export function isColocationAllowed(step: StepState, target: TargetState): boolean {
  if (step.spec.isFiller) return !target.runsLatencySensitive;
  if (step.isLatencySensitive) return !target.runsFiller;
  return true;
}

/**
 * Counts the further tasks that the step's limit per target permits.
 * @param step - the step
 * @param target - the target
 * @returns how many more may run there; infinite without a limit
 */
export function getSpreadHeadroom(step: StepState, target: TargetState): number {
  const { maxTasksPerTarget } = step.spec;
  if (maxTasksPerTarget === 0) return Number.POSITIVE_INFINITY;
  return maxTasksPerTarget - step.countRunsOn(target.id);
}

/**
 * Checks whether the step's limit per target permits another task.
 * @param step - the step
 * @param target - the target
 * @param placedCount - tasks of the step that are about to start there
 * @returns true when there is no limit or it has not been reached
 */
export function isSpreadAllowed(step: StepState, target: TargetState, placedCount = 0): boolean {
  return getSpreadHeadroom(step, target) > placedCount;
}

/**
 * Checks whether another task of a step can be placed on a target.
 * @param step - the step
 * @param target - the target
 * @param free - its free capacity
 * @param placedCount - tasks of the step that are about to start there
 * @returns true when free capacity, the limit per target and the co-located tasks permit it
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
    isColocationAllowed(step, target)
  );
}

/** Capacity that remains after a placement, as a sum of fractions per resource. Best fit prefers the smallest. */
function getRemainingFraction(charge: TaskDemand, target: TargetState, free: TaskDemand): number {
  const { capacity } = target.entry;
  const cpu = (free.cpuMillis - charge.cpuMillis) / Math.max(capacity.cpuMillis, 1);
  const memory = (free.memoryMb - charge.memoryMb) / Math.max(capacity.memoryMb, 1);
  const accelerators = capacity.accelerators === 0 ? 0 : free.accelerators / capacity.accelerators;
  return cpu + memory + accelerators;
}

/** Capacity in use on a target, as a sum of fractions per resource: what a crash would interrupt. */
function getUsedFraction(target: TargetState, free: TaskDemand): number {
  const { capacity } = target.entry;
  const cpu = 1 - free.cpuMillis / Math.max(capacity.cpuMillis, 1);
  const memory = 1 - free.memoryMb / Math.max(capacity.memoryMb, 1);
  return cpu + memory;
}

/** Computes the cost of placing one task of a step on a target with some free capacity. */
export type GetPlacementCost = (step: StepState, target: TargetState, free: TaskDemand) => number;

/**
 * Computes the part of the cost that is due to the data's rack and to failures of the target.
 * @param step - the step
 * @param target - the target
 * @returns the cost
 */
export function getAvoidanceCost(step: StepState, target: TargetState): number {
  const { dataRack } = step.spec;
  const rackCost = dataRack !== '' && target.entry.rack !== dataRack ? REMOTE_RACK_COST : 0;
  const suspectCost = target.isSuspect ? SUSPECT_COST : 0;
  return rackCost + suspectCost;
}

/**
 * Computes the cost of placing one task on a target; the target with the lowest cost is chosen.
 * @param step - the step
 * @param target - the target
 * @param free - its free capacity
 * @returns the cost
 */
export function getPlacementCost(step: StepState, target: TargetState, free: TaskDemand): number {
  const { dataRack } = step.spec;
  const rackCost = dataRack !== '' && target.entry.rack !== dataRack ? REMOTE_RACK_COST : 0;
  const suspectCost = target.isSuspect ? SUSPECT_COST : 0;
  const slowdownCost = SLOWDOWN_WEIGHT * (target.slowdown - 1);
  const fitCost = step.record.isCrashLikely
    ? getUsedFraction(target, free)
    : getRemainingFraction(step.charge, target, free);
  return fitCost + rackCost + suspectCost + slowdownCost;
}
