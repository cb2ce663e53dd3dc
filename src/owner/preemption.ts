/**
 * Preemption: selects runs of lower priority to stop so that more urgent tasks fit, preferring those that
 * lose the least work. Without it a burst of urgent tasks waits until long runs that fill the fleet end.
 */

import type { TargetId } from '../types/ids';
import { addDemand, isDemandFitting } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { Run } from './run';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Work lost by preempting a run that has checkpoints: the time to place and restore it again. */
const RESTORE_COST_MS = 300;

/** A run without checkpoints is preempted only while it would lose no more work than this. */
const MAX_LOST_WORK_MS = 400;

/** Runs to preempt on one target so that a task fits there. */
export interface Preemption {
  readonly target: TargetState;
  /** Empty when stops that are already in progress free enough capacity. */
  readonly victims: readonly Run[];
}

/** Demand of tasks for which capacity is being freed by preemption, by target. */
export type ReservedDemand = Map<TargetId, TaskDemand>;

function getLostWorkMs(run: Run, nowMs: number): number {
  return run.step.spec.hasCheckpoints ? RESTORE_COST_MS : nowMs - run.sentAtMs;
}

/** A run that may be preempted for more urgent work. */
interface Victim {
  readonly run: Run;
  readonly priority: number;
  readonly lostWorkMs: number;
}

/** Preemptible runs by target, in ascending order of lost work. */
export type VictimTable = ReadonlyMap<TargetId, readonly Victim[]>;

function isPreemptible(run: Run, nowMs: number): boolean {
  const { policy, hasCheckpoints } = run.step.spec;
  if (run.phase !== 'running' || policy.kind !== 'batch') return false;
  return hasCheckpoints || getLostWorkMs(run, nowMs) <= MAX_LOST_WORK_MS;
}

/**
 * Collects the preemptible runs, once per scheduling pass.
 * @param targets - all targets with a known inventory
 * @param nowMs - elapsed time of this process
 * @returns the runs by target
 */
export function collectVictims(targets: readonly TargetState[], nowMs: number): VictimTable {
  const table = new Map<TargetId, readonly Victim[]>();
  targets.forEach((target) => {
    const victims = [...target.runs.values()]
      .filter((run) => run.step.record.queue.priority > 0 && isPreemptible(run, nowMs))
      .map((run) => ({
        run,
        priority: run.step.record.queue.priority,
        lostWorkMs: getLostWorkMs(run, nowMs),
      }))
      .sort((left, right) => left.lostWorkMs - right.lostWorkMs);
    if (victims.length > 0) table.set(target.id, victims);
  });
  return table;
}

/**
 * Checks whether any run may be preempted for a step.
 * @param table - the preemptible runs
 * @param step - the step
 * @returns true when some run has a lower priority
 */
export function hasVictim(table: VictimTable, step: StepState): boolean {
  const { priority } = step.record.queue;
  return [...table.values()].some((victims) =>
    victims.some((victim) => victim.priority > priority),
  );
}

/** Capacity that will be free and unreserved once every stop in progress has completed. */
function getExpectedFree(target: TargetState, reserved: ReservedDemand): TaskDemand {
  let expectedFree = target.free;
  target.runs.forEach((run) => {
    if (run.phase === 'stopping') expectedFree = addDemand(expectedFree, run.charge);
  });
  const reservedHere = reserved.get(target.id);
  return reservedHere === undefined ? expectedFree : addDemand(expectedFree, reservedHere, -1);
}

function chooseVictims(
  step: StepState,
  eligible: readonly Victim[],
  expectedFree: TaskDemand,
): readonly Victim[] | undefined {
  const { priority } = step.record.queue;
  const victims: Victim[] = [];
  let free = expectedFree;
  eligible.forEach((victim) => {
    const isNeeded = !isDemandFitting(step.charge, free);
    // A run preempted for an earlier task of this pass is no longer in the running phase.
    if (!isNeeded || victim.priority <= priority || victim.run.phase !== 'running') return;
    victims.push(victim);
    free = addDemand(free, victim.run.charge);
  });
  return isDemandFitting(step.charge, free) ? victims : undefined;
}

/**
 * Finds the preemption with the lowest cost, in processor time lost, that lets one task fit.
 * @param step - the task's step
 * @param targets - the targets on which it may run
 * @param table - the preemptible runs
 * @param reserved - demand for which capacity is already being freed
 * @returns the target and the runs to preempt there, or undefined when no preemption makes the task fit
 */
export function choosePreemption(
  step: StepState,
  targets: readonly TargetState[],
  table: VictimTable,
  reserved: ReservedDemand,
): Preemption | undefined {
  let best: Preemption | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  targets.forEach((target) => {
    const expectedFree = getExpectedFree(target, reserved);
    const victims = chooseVictims(step, table.get(target.id) ?? [], expectedFree);
    if (victims === undefined) return;
    const cost = victims.reduce(
      (sum, { run, lostWorkMs }) => sum + run.charge.cpuMillis * lostWorkMs,
      0,
    );
    if (cost >= bestCost) return;
    best = { target, victims: victims.map(({ run }) => run) };
    bestCost = cost;
  });
  return best;
}
