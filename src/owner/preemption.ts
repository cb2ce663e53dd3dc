/**
 * Makes room for urgent work in a full fleet by stopping less urgent runs that lose little. Answers the
 * load of an urgent burst on targets that long runs have filled: without it the burst waits for ends.
 */

import type { TargetId } from '../types/ids';
import { addDemand, isDemandFitting } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { Run } from './run';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** What a stopped run with checkpoints loses: the time to restore it and to be placed again. */
const RESTORE_MS = 300;

/** A run without checkpoints is stopped only while it has lost no more than this. */
const MAX_LOST_MS = 400;

/** Runs to stop on one target so that a task fits there. */
export interface Preemption {
  readonly target: TargetState;
  /** Empty when room is already being freed. */
  readonly victims: readonly Run[];
}

/** Room that is being freed and already meant for tasks, by target. */
export type PromisedRoom = Map<TargetId, TaskDemand>;

function getLostMs(run: Run, nowMs: number): number {
  return run.step.spec.hasCheckpoints ? RESTORE_MS : nowMs - run.sentAtMs;
}

function isVictim(run: Run, step: StepState, nowMs: number): boolean {
  const { policy } = run.step.spec;
  if (run.phase !== 'running' || policy.kind !== 'batch') return false;
  if (run.step.record.queue.priority <= step.record.queue.priority) return false;
  return run.step.spec.hasCheckpoints || getLostMs(run, nowMs) <= MAX_LOST_MS;
}

/** What will be free once every stop that is under way has ended. */
function getComingRoom(target: TargetState, promised: PromisedRoom): TaskDemand {
  let room = target.free;
  target.runs.forEach((run) => {
    if (run.phase === 'stopping') room = addDemand(room, run.charge);
  });
  const taken = promised.get(target.id);
  return taken === undefined ? room : addDemand(room, taken, -1);
}

function chooseVictims(
  step: StepState,
  target: TargetState,
  room: TaskDemand,
  nowMs: number,
): readonly Run[] | undefined {
  const possible = [...target.runs.values()]
    .filter((run) => isVictim(run, step, nowMs))
    .sort((left, right) => getLostMs(left, nowMs) - getLostMs(right, nowMs));
  const victims: Run[] = [];
  let free = room;
  possible.forEach((run) => {
    if (isDemandFitting(step.charge, free)) return;
    victims.push(run);
    free = addDemand(free, run.charge);
  });
  return isDemandFitting(step.charge, free) ? victims : undefined;
}

/**
 * Finds the cheapest way to make room for one task.
 * @param step - the task's step
 * @param targets - where it may run
 * @param promised - room that other tasks are waiting for
 * @param nowMs - our clock
 * @returns the target and the runs to stop there, or undefined when nothing would help
 */
export function choosePreemption(
  step: StepState,
  targets: readonly TargetState[],
  promised: PromisedRoom,
  nowMs: number,
): Preemption | undefined {
  let best: Preemption | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  targets.forEach((target) => {
    const room = getComingRoom(target, promised);
    const victims = chooseVictims(step, target, room, nowMs);
    if (victims === undefined) return;
    const cost = victims.reduce(
      (sum, run) => sum + run.charge.cpuMillis * getLostMs(run, nowMs),
      0,
    );
    if (cost >= bestCost) return;
    best = { target, victims };
    bestCost = cost;
  });
  return best;
}
