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

/** A run that may be stopped for more urgent work. */
interface Victim {
  readonly run: Run;
  readonly priority: number;
  readonly lostMs: number;
}

/** Runs that may be stopped, by target, those that lose least first. */
export type VictimTable = ReadonlyMap<TargetId, readonly Victim[]>;

function isStoppable(run: Run, nowMs: number): boolean {
  const { policy, hasCheckpoints } = run.step.spec;
  if (run.phase !== 'running' || policy.kind !== 'batch') return false;
  return hasCheckpoints || getLostMs(run, nowMs) <= MAX_LOST_MS;
}

/**
 * Collects what may be stopped, once for a whole plan.
 * @param targets - all targets
 * @param nowMs - our clock
 * @returns the runs by target
 */
export function collectVictims(targets: readonly TargetState[], nowMs: number): VictimTable {
  const table = new Map<TargetId, readonly Victim[]>();
  targets.forEach((target) => {
    const victims = [...target.runs.values()]
      .filter((run) => run.step.record.queue.priority > 0 && isStoppable(run, nowMs))
      .map((run) => ({
        run,
        priority: run.step.record.queue.priority,
        lostMs: getLostMs(run, nowMs),
      }))
      .sort((left, right) => left.lostMs - right.lostMs);
    if (victims.length > 0) table.set(target.id, victims);
  });
  return table;
}

/**
 * Asks whether anything may be stopped for a step.
 * @param table - what may be stopped
 * @param step - the step
 * @returns true when some run is less urgent
 */
export function isAnyVictim(table: VictimTable, step: StepState): boolean {
  const { priority } = step.record.queue;
  return [...table.values()].some((victims) =>
    victims.some((victim) => victim.priority > priority),
  );
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
  possible: readonly Victim[],
  room: TaskDemand,
): readonly Victim[] | undefined {
  const { priority } = step.record.queue;
  const victims: Victim[] = [];
  let free = room;
  possible.forEach((victim) => {
    const isNeeded = !isDemandFitting(step.charge, free);
    // A run that an earlier task of this plan has claimed is no longer running.
    if (!isNeeded || victim.priority <= priority || victim.run.phase !== 'running') return;
    victims.push(victim);
    free = addDemand(free, victim.run.charge);
  });
  return isDemandFitting(step.charge, free) ? victims : undefined;
}

/**
 * Finds the cheapest way to make room for one task.
 * @param step - the task's step
 * @param targets - where it may run
 * @param table - what may be stopped
 * @param promised - room that other tasks are waiting for
 * @returns the target and the runs to stop there, or undefined when nothing would help
 */
export function choosePreemption(
  step: StepState,
  targets: readonly TargetState[],
  table: VictimTable,
  promised: PromisedRoom,
): Preemption | undefined {
  let best: Preemption | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  targets.forEach((target) => {
    const room = getComingRoom(target, promised);
    const victims = chooseVictims(step, table.get(target.id) ?? [], room);
    if (victims === undefined) return;
    const cost = victims.reduce((sum, { run, lostMs }) => sum + run.charge.cpuMillis * lostMs, 0);
    if (cost >= bestCost) return;
    best = { target, victims: victims.map(({ run }) => run) };
    bestCost = cost;
  });
  return best;
}
