/**
 * Preemption that follows the shares: a run of a submission beyond its team's rate, of a team with twice its share or
 * more, is stopped for a step of the same priority that is within the rate of a team with less than half of its share.
 * At most one run per pass and target is stopped.
 */

import { getDominantFraction } from '../types/resources';
import type { TargetId } from '../types/ids';
import { isWorthPreempting } from '../share/preemptionRule';
import { addDemand, isDemandFitting } from '../work/types';
import type { TaskDemand } from '../work/types';
import { toResources } from './capacityShares';
import type { CapacityShares } from './capacityShares';
import { getExpectedDurationMs } from './expectedDuration';
import type { Preemption } from './preemption';
import type { Run } from './run';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Preemption by shares during one scheduling pass. */
export class SharePreemption {
  #shares: CapacityShares;

  #nowMs: number;

  #getTargets: () => readonly TargetState[];

  #usedTargets = new Set<TargetId>();

  /** Runs that may be preempted, by service and priority and then by target; collected when first asked for. */
  #victims = new Map<string, ReadonlyMap<TargetId, readonly Run[]>>();

  /** What teams have been given and what has been taken from them in this pass, by service and team. */
  #changes = new Map<string, number>();

  /**
   * @param shares - the shares at the beginning of the pass
   * @param getTargets - gets the targets on which the pass may start runs
   * @param nowMs - elapsed time of this process
   */
  constructor(shares: CapacityShares, getTargets: () => readonly TargetState[], nowMs: number) {
    this.#shares = shares;
    this.#getTargets = getTargets;
    this.#nowMs = nowMs;
  }

  /**
   * Checks whether runs of the same priority may be preempted for a step.
   * @param step - the step, which is within its team's rate and no gang
   * @returns true while its team has less than half of its share and there is such a run
   */
  isOwed(step: StepState): boolean {
    if (!this.#shares.isFresh || !this.#shares.isContended(step)) return false;
    const { queue, submission } = step.record;
    const shares = this.#shares.getShares(queue.serviceName);
    if (shares?.isOwed(submission.teamId, this.#getChange(step)) !== true) return false;
    return this.#getVictims(step).size > 0;
  }

  /**
   * Finds the run that loses least and makes one task fit.
   * @param step - the task's step
   * @param targets - the targets on which it may run
   * @param getExpectedFree - capacity of a target that will be free and unreserved
   * @returns the target and the run, or undefined when there is none
   */
  choose(
    step: StepState,
    targets: readonly TargetState[],
    getExpectedFree: (target: TargetState) => TaskDemand,
  ): Preemption | undefined {
    if (!this.isOwed(step)) return undefined;
    const victims = this.#getVictims(step);
    let best: { readonly target: TargetState; readonly run: Run } | undefined;
    let leastLostMs = Number.POSITIVE_INFINITY;
    targets.forEach((target) => {
      if (this.#usedTargets.has(target.id)) return;
      let free: TaskDemand | undefined;
      victims.get(target.id)?.forEach((run) => {
        const lostMs = this.#nowMs - run.sentAtMs;
        if (lostMs >= leastLostMs || !this.#mayTake(run)) return;
        free ??= getExpectedFree(target);
        if (!isDemandFitting(step.charge, addDemand(free, run.charge))) return;
        best = { target, run };
        leastLostMs = lostMs;
      });
    });
    if (best === undefined) return undefined;
    const { target, run } = best;
    this.#usedTargets.add(target.id);
    this.#addChange(step, step.charge);
    this.#addChange(run.step, run.charge);
    return { target, victims: [run] };
  }

  #getVictims(step: StepState): ReadonlyMap<TargetId, readonly Run[]> {
    const { serviceName, priority } = step.record.queue;
    const key = `${priority}|${serviceName}`;
    const known = this.#victims.get(key);
    if (known !== undefined) return known;
    const victims = new Map<TargetId, readonly Run[]>();
    this.#getTargets().forEach(({ id, entry, runs }) => {
      if (entry.serviceName !== serviceName) return;
      const ofTarget = [...runs.values()].filter((run) => this.#isVictim(run, priority));
      if (ofTarget.length > 0) victims.set(id, ofTarget);
    });
    this.#victims.set(key, victims);
    return victims;
  }

  /** A run that was preempted earlier in this pass is no longer running. */
  #mayTake(run: Run): boolean {
    const { queue, submission } = run.step.record;
    const shares = this.#shares.getShares(queue.serviceName);
    if (run.phase !== 'running') return false;
    return shares?.isPreemptible(submission.teamId, this.#getChange(run.step)) ?? false;
  }

  #isVictim(run: Run, priority: number): boolean {
    const { record, spec } = run.step;
    if (spec.policy.kind !== 'batch' || record.queue.priority !== priority) return false;
    // Work within the rate of its team is only stopped for more urgent work.
    if (!record.isExcess) return false;
    if (!this.#mayTake(run)) return false;
    return isWorthPreempting({
      expectedMs: getExpectedDurationMs(run.step),
      ranMs: this.#nowMs - run.sentAtMs,
      percent: run.percent,
      hasCheckpoint: spec.hasCheckpoints && run.checkpoint !== undefined,
    });
  }

  static #getKey({ record }: StepState): string {
    return `${record.queue.serviceName}|${record.submission.teamId}`;
  }

  #getChange(step: StepState): number {
    return this.#changes.get(SharePreemption.#getKey(step)) ?? 0;
  }

  #addChange(step: StepState, charge: TaskDemand): void {
    const capacity = this.#shares.getCapacity(step.record.queue.serviceName);
    const fraction = getDominantFraction(toResources(charge), toResources(capacity));
    this.#changes.set(SharePreemption.#getKey(step), this.#getChange(step) + fraction);
  }
}
