/** Selects the tasks to start: visits waiting steps in scheduling order and places their tasks on eligible targets. */

import type { TargetId, TeamId } from '../types/ids';
import { addDemand, isDemandFitting, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { OwnerState } from './ownerState';
import { chooseCandidate, isStarved, isLastAttempt } from './candidates';
import type { Candidate } from './candidates';
import {
  SPECULATION_CHECK_INTERVAL_MS,
  MAX_PREEMPTING_TASKS,
  PREEMPTION_DELAY_MS,
} from './constants';
import { findStragglers } from './stragglers';
import { placeGang } from './gangPlacement';
import {
  isColocationAllowed,
  isSpreadAllowed,
  isTargetEligible,
  isInventoryKnown,
} from './placement';
import { choosePreemption, collectVictims, hasVictim } from './preemption';
import type { ReservedDemand, VictimTable } from './preemption';
import type { RunManager } from './runManager';
import { sortSteps } from './stepOrder';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import { TrialPlanner } from './trialPlanner';

/** After a crash, tasks of the same queue are placed where a further one would interrupt little, for this long. */
const CRASHING_QUEUE_MS = 10_000;

/** The waiting tasks that are not suspected of having crashed a target; suspected ones get a trial. */
function getRegularTasks(step: StepState): readonly number[] {
  const waiting = [...step.waiting];
  if (!step.progress.hasSuspect) return waiting;
  return waiting.filter((index) => !step.progress.isSuspect(index));
}

/** Decides which tasks start, where they run, and which runs are preempted for them. */
export class Planner {
  #state: OwnerState;

  #runManager: RunManager;

  #unseenUsage = new Map<TeamId, TaskDemand>();

  #reserved: ReservedDemand = new Map();

  #victims: VictimTable = new Map();

  #nextSpeculationAtMs = 0;

  #trialPlanner: TrialPlanner;

  /**
   * @param state - the owner's state
   * @param runManager - performs the starts and stops
   */
  constructor(state: OwnerState, runManager: RunManager) {
    this.#state = state;
    this.#runManager = runManager;
    this.#trialPlanner = new TrialPlanner(state, runManager, runManager.crashTracker);
  }

  /** Runs one scheduling pass: starts every task that fits now. */
  plan(): void {
    const state = this.#state;
    const known = [...state.targets.values()].filter(isInventoryKnown);
    if (known.length === 0) return;
    const waiting = [...state.ready].filter((step) => !step.mayRunUnseen);
    const steps = sortSteps(waiting, state.wallMs);
    this.#unseenUsage = this.#getUnseenUsage();
    this.#planTrials(steps, known);
    const inventoried = known.filter(({ trial }) => trial === undefined);
    const unpaused = inventoried.filter((target) => target.pausedUntilMs <= state.nowMs);
    this.#victims = collectVictims(inventoried, state.nowMs);
    steps.forEach((step) => {
      try {
        this.#planStep(step, inventoried, unpaused);
      } catch (error) {
        this.#setAside(step, error);
      }
    });
    this.#reserved.clear();
    if (state.nowMs < this.#nextSpeculationAtMs) return;
    this.#nextSpeculationAtMs = state.nowMs + SPECULATION_CHECK_INTERVAL_MS;
    this.#startSpeculativeCopies(unpaused);
  }

  #planStep(
    step: StepState,
    inventoried: readonly TargetState[],
    unpaused: readonly TargetState[],
  ): void {
    // In a full fleet this cheap check rules out most steps before the eligibility of each target is examined.
    const allowed = isStarved(step, this.#state.nowMs) ? inventoried : unpaused;
    const { record } = step;
    const crashedAtMs = this.#state.crashingQueues.get(record.queue.id) ?? Number.NEGATIVE_INFINITY;
    record.isCrashLikely = this.#state.nowMs < crashedAtMs + CRASHING_QUEUE_MS;
    const fitting = allowed.filter((target) => isDemandFitting(step.charge, target.free));
    const candidates = fitting.length === 0 ? [] : this.#getCandidates(step, fitting);
    if (candidates.length > 0) {
      if (step.isGang) this.#startGang(step, candidates);
      else this.#startTasks(step, candidates);
    }
    this.#preemptFor(step, allowed);
  }

  /** A step that cannot be planned would end the ownership of each node in turn, so the others go on without it. */
  #setAside(step: StepState, error: unknown): void {
    this.#state.ready.delete(step);
    this.#state.count('submissions_unschedulable');
    this.#state.log(
      'step cannot be planned; it is left out until its submission changes',
      { submissionId: step.record.submission.id, step: step.key, reason: String(error) },
      'warn',
    );
  }

  #planTrials(steps: readonly StepState[], targets: readonly TargetState[]): void {
    this.#trialPlanner.plan({
      steps,
      targets,
      getCandidates: (step, allowed) => this.#getCandidates(step, allowed),
      isWithinTeamLimit: (step, taskCount) =>
        this.#isWithinTeamLimit(step, addDemand(NO_DEMAND, step.charge, taskCount)),
    });
  }

  #isWithinTeamLimit(step: StepState, demand: TaskDemand): boolean {
    const { teamId } = step.record.submission;
    return this.#state.teamUsage.isWithinLimit(teamId, demand, this.#unseenUsage.get(teamId));
  }

  /** Starts a second copy of stragglers where capacity is left (speculative execution). */
  #startSpeculativeCopies(unpaused: readonly TargetState[]): void {
    const { nowMs, targets, open: records } = this.#state;
    records.forEach((record) => {
      [...record.steps].forEach((step) => {
        findStragglers(step, (run) => targets.get(run.targetId), nowMs).forEach((run) =>
          this.#startSpeculativeCopy(step, run.index, run.targetId, unpaused),
        );
      });
    });
  }

  #startSpeculativeCopy(
    step: StepState,
    index: number,
    currentId: TargetId,
    unpaused: readonly TargetState[],
  ): void {
    if (!this.#isWithinTeamLimit(step, step.charge)) return;
    const alternatives = unpaused.filter(
      (target) => target.id !== currentId && isDemandFitting(step.charge, target.free),
    );
    const chosen = chooseCandidate(step, false, this.#getCandidates(step, alternatives));
    if (chosen === undefined) return;
    this.#state.count('copies_started');
    const run = this.#runManager.allocateRunNumber(step);
    this.#runManager.start(step, index, chosen.target, run, chosen.ticket);
  }

  /** Preempts runs of lower priority for tasks that have waited too long for capacity. */
  #preemptFor(step: StepState, allowed: readonly TargetState[]): void {
    const { nowMs } = this.#state;
    const waitedMs = nowMs - (step.readyAtMs ?? nowMs);
    const { isExcess } = step.record;
    const waitingCount = getRegularTasks(step).length;
    if (step.isGang || isExcess || waitingCount === 0 || waitedMs < PREEMPTION_DELAY_MS) return;
    if (!hasVictim(this.#victims, step)) return;
    const targets = this.#getCandidates(step, allowed)
      .map(({ target }) => target)
      .filter((target) => isSpreadAllowed(step, target) && isColocationAllowed(step, target));
    let canContinue = targets.length > 0;
    const maxCount = Math.min(waitingCount, MAX_PREEMPTING_TASKS);
    for (let count = 0; count < maxCount && canContinue; count += 1) {
      const totalDemand = addDemand(NO_DEMAND, step.charge, count + 1);
      if (!this.#isWithinTeamLimit(step, totalDemand)) return;
      canContinue = this.#preemptForOneTask(step, targets);
    }
  }

  #preemptForOneTask(step: StepState, targets: readonly TargetState[]): boolean {
    const chosen = choosePreemption(step, targets, this.#victims, this.#reserved);
    if (chosen === undefined) return false;
    const { target, victims } = chosen;
    const reserved = this.#reserved.get(target.id) ?? NO_DEMAND;
    this.#reserved.set(target.id, addDemand(reserved, step.charge));
    victims.forEach((run) => this.#runManager.stop(run, `preempted for ${step.key}`));
    if (victims.length > 0) this.#state.count('runs_preempted', victims.length);
    return true;
  }

  /** Demand by team that may be running on targets which have not listed their runs since the takeover. */
  #getUnseenUsage(): Map<TeamId, TaskDemand> {
    const unseen = new Map<TeamId, TaskDemand>();
    if (this.#state.unresolvedTargets.size === 0) return unseen;
    this.#state.ready.forEach((step) => {
      if (!step.mayRunUnseen) return;
      const { teamId } = step.record.submission;
      const previous = unseen.get(teamId) ?? NO_DEMAND;
      unseen.set(teamId, addDemand(previous, step.charge, step.waiting.size));
    });
    return unseen;
  }

  #getCandidates(step: StepState, allowed: readonly TargetState[]): Candidate[] {
    const state = this.#state;
    const needsTicket = step.record.queue.advice !== undefined;
    const candidates: Candidate[] = [];
    allowed.forEach((target) => {
      if (!isTargetEligible(state, step, target)) return;
      const ticket = needsTicket
        ? step.advice.getTicket(target.id, target.entry.incarnationStartMs, state.nowMs)
        : undefined;
      if (needsTicket && ticket === undefined) return;
      candidates.push({ target, ticket });
    });
    return candidates;
  }

  /**
   * Tasks of a step have the same demand, so once one cannot be placed the others cannot either. Tasks on
   * their last attempt are tracked separately, as they avoid suspect targets.
   */
  #startTasks(step: StepState, candidates: readonly Candidate[]): void {
    let hasCapacity = true;
    let hasCapacityForLastAttempt = true;
    getRegularTasks(step).forEach((index) => {
      const isCautious = isLastAttempt(step, index) && !isStarved(step, this.#state.nowMs);
      if (!hasCapacity || (isCautious && !hasCapacityForLastAttempt)) return;
      if (!this.#isWithinTeamLimit(step, step.charge)) return;
      const chosen = chooseCandidate(step, isCautious, candidates);
      if (chosen === undefined) {
        if (isCautious) hasCapacityForLastAttempt = false;
        else hasCapacity = false;
        return;
      }
      const run = this.#runManager.allocateRunNumber(step);
      this.#runManager.start(step, index, chosen.target, run, chosen.ticket);
    });
  }

  /** Starts all members of a gang at once, or none of them. */
  #startGang(step: StepState, candidates: readonly Candidate[]): void {
    if (getRegularTasks(step).length < step.spec.taskCount) return;
    const totalDemand = addDemand(NO_DEMAND, step.charge, step.spec.taskCount);
    if (!this.#isWithinTeamLimit(step, totalDemand)) return;
    const { nowMs } = this.#state;
    const placements = placeGang(step, candidates, nowMs);
    if (placements === undefined) return;
    const run = this.#runManager.allocateRunNumber(step);
    placements.forEach(({ index, candidate }) => {
      this.#runManager.start(step, index, candidate.target, run, candidate.ticket);
    });
  }
}
