/**
 * Preemption: selects runs of lower priority to stop so that more urgent tasks fit, preferring those that
 * lose the least work. Without it a burst of urgent tasks waits until long runs that fill the fleet end.
 */

import type { TargetId } from '../types/ids';
import { addDemand, isDemandFitting, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import { getRunRemainingEstimateMs } from './limitForecast';
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

/** Losses count as equal within this time, which is less than the reports of checkpoints are late. */
const EQUAL_LOSS_MS = 100;

/** What a run has done since it began, or since its last checkpoint, which counts only if durations are learnt. */
function getLostWorkMs({ step, sentAtMs, checkpointAtMs }: Run, nowMs: number): number {
  if (!step.spec.hasCheckpoints) return nowMs - sentAtMs;
  if (step.record.durations === undefined) return RESTORE_COST_MS;
  return RESTORE_COST_MS + nowMs - (checkpointAtMs ?? sentAtMs);
}

/** A run that may be preempted for more urgent work. */
interface Victim {
  readonly run: Run;
  readonly priority: number;
  readonly lostWorkMs: number;
  /** Remaining time, if durations are learnt; a run that ends soon frees its capacity anyway. */
  readonly remainingMs: number;
}

const NO_VICTIMS: readonly Victim[] = [];

function isPreemptible(run: Run, nowMs: number): boolean {
  const { policy, hasCheckpoints } = run.step.spec;
  if (run.phase !== 'running' || policy.kind !== 'batch') return false;
  if (run.step.record.queue.priority <= 0) return false;
  return hasCheckpoints || getLostWorkMs(run, nowMs) <= MAX_LOST_WORK_MS;
}

function compareVictims(left: Victim, right: Victim): number {
  if (left.run.step.record.durations === undefined) return left.lostWorkMs - right.lostWorkMs;
  const toRank = ({ lostWorkMs }: Victim) => Math.round(lostWorkMs / EQUAL_LOSS_MS);
  return toRank(left) - toRank(right) || right.remainingMs - left.remainingMs;
}

/** The preemptible runs of a target, in ascending order of lost work, and then those with the most work left first. */
function collectVictims(target: TargetState, nowMs: number): readonly Victim[] {
  const victims: Victim[] = [];
  target.runs.forEach((run) => {
    if (!isPreemptible(run, nowMs)) return;
    const { durations, queue } = run.step.record;
    const remainingMs = durations === undefined ? 0 : getRunRemainingEstimateMs(run, nowMs);
    const lostWorkMs = getLostWorkMs(run, nowMs);
    victims.push({ run, priority: queue.priority, lostWorkMs, remainingMs });
  });
  return victims.sort(compareVictims);
}

function isUsableVictim(victim: Victim, priority: number): boolean {
  // A run preempted for an earlier task of this pass is no longer in the running phase.
  return victim.priority > priority && victim.run.phase === 'running';
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
    if (!isNeeded || !isUsableVictim(victim, priority)) return;
    victims.push(victim);
    free = addDemand(free, victim.run.charge);
  });
  return isDemandFitting(step.charge, free) ? victims : undefined;
}

/**
 * Preemptible runs during one scheduling pass. They are collected when the first step asks for them: until then the
 * pass has only started runs, and those are not preemptible.
 */
export class PreemptionTable {
  #nowMs: number;

  #getTargets: () => readonly TargetState[];

  #victims: Map<TargetId, readonly Victim[]> | undefined;

  /** Lowest urgency of any victim. */
  #maxPriority = Number.NEGATIVE_INFINITY;

  /** Demand of tasks for which capacity is being freed. */
  #reserved = new Map<TargetId, TaskDemand>();

  /**
   * Upper bounds of what preemption can free for steps of {@link PreemptionTable.#boundPriority}. The pass only uses
   * capacity up, and steps of one priority preempt no runs that the others could not.
   */
  #bounds = new Map<TargetId, TaskDemand>();

  #boundPriority: number | undefined;

  /**
   * @param getTargets - gets the targets on which the pass may start runs
   * @param nowMs - elapsed time of this process
   */
  constructor(getTargets: () => readonly TargetState[], nowMs: number) {
    this.#getTargets = getTargets;
    this.#nowMs = nowMs;
  }

  /**
   * Checks whether any run may be preempted for a step.
   * @param step - the step
   * @returns true when some run has a lower priority
   */
  hasVictim(step: StepState): boolean {
    if (this.#victims === undefined) this.#collect();
    return this.#maxPriority > step.record.queue.priority;
  }

  /**
   * Checks whether preemption on a target may make a task fit; a cheap check that rules out most targets.
   * @param step - the step
   * @param target - the target
   * @returns false when not even the end of all runs of lower priority would
   */
  mayFit(step: StepState, target: TargetState): boolean {
    const { priority } = step.record.queue;
    if (priority !== this.#boundPriority) {
      this.#boundPriority = priority;
      this.#bounds.clear();
    }
    let bound = this.#bounds.get(target.id);
    if (bound === undefined) {
      bound = this.#getBound(target, priority);
      this.#bounds.set(target.id, bound);
    }
    return isDemandFitting(step.charge, bound);
  }

  /**
   * Finds the preemption with the lowest cost, in processor time lost, that lets one task fit.
   * @param step - the task's step
   * @param targets - the targets on which it may run
   * @returns the target and the runs to preempt there, or undefined when no preemption makes the task fit
   */
  choose(step: StepState, targets: readonly TargetState[]): Preemption | undefined {
    let best: Preemption | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    targets.forEach((target) => {
      if (!this.mayFit(step, target)) return;
      const victims = chooseVictims(step, this.#getVictims(target), this.getExpectedFree(target));
      if (victims === undefined) {
        this.#bounds.delete(target.id);
        return;
      }
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

  /**
   * Keeps the capacity that a preemption frees for the task that it was made for.
   * @param target - the target
   * @param charge - demand of the task
   */
  reserve(target: TargetState, charge: TaskDemand): void {
    this.#reserved.set(target.id, addDemand(this.#reserved.get(target.id) ?? NO_DEMAND, charge));
  }

  /**
   * Gets the capacity that will be free and unreserved once every stop in progress has completed.
   * @param target - the target
   * @returns the capacity
   */
  getExpectedFree(target: TargetState): TaskDemand {
    let expectedFree = target.free;
    target.runs.forEach((run) => {
      if (run.phase === 'stopping') expectedFree = addDemand(expectedFree, run.charge);
    });
    const reservedHere = this.#reserved.get(target.id);
    return reservedHere === undefined ? expectedFree : addDemand(expectedFree, reservedHere, -1);
  }

  #collect(): void {
    const victims = new Map<TargetId, readonly Victim[]>();
    this.#getTargets().forEach((target) => {
      const ofTarget = collectVictims(target, this.#nowMs);
      if (ofTarget.length === 0) return;
      victims.set(target.id, ofTarget);
      ofTarget.forEach(({ priority }) => {
        this.#maxPriority = Math.max(this.#maxPriority, priority);
      });
    });
    this.#victims = victims;
  }

  #getVictims(target: TargetState): readonly Victim[] {
    return this.#victims?.get(target.id) ?? NO_VICTIMS;
  }

  #getBound(target: TargetState, priority: number): TaskDemand {
    return this.#getVictims(target).reduce(
      (sum, victim) => (isUsableVictim(victim, priority) ? addDemand(sum, victim.run.charge) : sum),
      this.getExpectedFree(target),
    );
  }
}
