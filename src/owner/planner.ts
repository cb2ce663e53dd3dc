/** Selects the tasks to start: visits waiting steps in scheduling order and places their tasks on eligible targets. */

import type { TargetId } from '../types/ids';
import { isDemandFitting } from '../work/types';
import type { OwnerState } from './ownerState';
import { chooseCandidate, isStarved, isLastAttempt } from './candidates';
import type { Candidate, CandidateCosts } from './candidates';
import {
  SPECULATION_CHECK_INTERVAL_MS,
  MAX_PREEMPTING_TASKS,
  PREEMPTION_DELAY_MS,
} from './constants';
import { PassCosts } from './passCosts';
import { findStragglers } from './stragglers';
import { placeGang } from './gangPlacement';
import {
  isColocationAllowed,
  isSpreadAllowed,
  isTargetEligible,
  isInventoryKnown,
} from './placement';
import { PreemptionTable } from './preemption';
import type { Preemption } from './preemption';
import { Relocator } from './relocator';
import type { RunManager } from './runManager';
import { SharePreemption } from './sharePreemption';
import { getMinLifeAfterStopMs } from './stepAdvice';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import { TrialPlanner } from './trialPlanner';
import { UnevenPlacement } from './unevenPlacement';

/** After a crash, tasks of the same queue are placed where a further one would interrupt little, for this long. */
const CRASHING_QUEUE_MS = 10_000;

/** A step that could not be planned is left out for this long. */
const SET_ASIDE_MS = 5_000;

/** The waiting tasks that are not suspected of having crashed a target; suspected ones get a trial. */
function getRegularTasks(step: StepState): readonly number[] {
  const waiting = [...step.waiting];
  if (!step.progress.hasSuspect) return waiting;
  return waiting.filter((index) => !step.progress.isSuspect(index));
}

function toCandidates(targets: readonly TargetState[]): readonly Candidate[] {
  return targets.map((target) => ({ target, ticket: undefined }));
}

/** Decides which tasks start, where they run, and which runs are preempted for them. */
export class Planner {
  #state: OwnerState;

  #runManager: RunManager;

  #preemptions = new PreemptionTable(() => [], 0);

  #sharePreemption: SharePreemption;

  #passCosts = new PassCosts();

  #uneven: UnevenPlacement;

  #nextSpeculationAtMs = 0;

  #trialPlanner: TrialPlanner;

  #relocator: Relocator;

  /**
   * @param state - the owner's state
   * @param runManager - performs the starts and stops
   */
  constructor(state: OwnerState, runManager: RunManager) {
    this.#state = state;
    this.#runManager = runManager;
    this.#sharePreemption = new SharePreemption(state.capacityShares, () => [], 0);
    this.#uneven = new UnevenPlacement(state);
    this.#trialPlanner = new TrialPlanner(state, runManager, runManager.crashTracker);
    this.#relocator = new Relocator(state, runManager);
  }

  /** @returns the reservations for the state dump */
  dumpReservations(): readonly object[] {
    return this.#uneven.dump();
  }

  /** Runs one scheduling pass: starts every task that fits now. */
  plan(): void {
    const state = this.#state;
    const unusual = this.#findPlannable();
    if (unusual.length === state.targets.size && !unusual.some(({ isPlannable }) => isPlannable))
      return;
    this.#readmitSteps();
    state.teamLimits.refresh();
    state.stepOrder.refresh();
    const steps = this.#getPlannableSteps();
    this.#planTrials(steps);
    for (const target of state.watch.unusual) {
      if (target.trial !== undefined) target.isPlannable = false;
      if (!target.isPlannable) target.unplannableSinceMs ??= state.nowMs;
    }
    if (steps.length > 0) this.#planSteps(steps);
    this.#relocator.plan({
      getCandidates: (step) =>
        this.#keepLongTickets(
          step,
          this.#getFittingCandidates(step, state.eligibleTargets.get(step), false),
        ),
    });
    if (state.nowMs < this.#nextSpeculationAtMs) return;
    this.#nextSpeculationAtMs = state.nowMs + SPECULATION_CHECK_INTERVAL_MS;
    this.#startSpeculativeCopies();
  }

  /** Finds out on which targets runs may be started; most of them need no attention. */
  #findPlannable(): readonly TargetState[] {
    const { watch } = this.#state;
    for (const target of watch.unusual) {
      target.isPlannable = isInventoryKnown(target);
      if (target.isPlannable && target.trial === undefined) target.unplannableSinceMs = undefined;
      target.checkUnsettledRuns();
      if (target.isUsual) watch.unusual.delete(target);
    }
    return [...watch.unusual];
  }

  #getPlannableTargets(): readonly TargetState[] {
    return [...this.#state.targets.values()].filter(({ isPlannable }) => isPlannable);
  }

  #getPlannableSteps(): readonly StepState[] {
    const waiting: StepState[] = [];
    this.#state.ready.forEach((step) => {
      if (!step.isHeld) waiting.push(step);
    });
    return this.#state.stepOrder.sort(waiting);
  }

  #planSteps(steps: readonly StepState[]): void {
    this.#uneven.begin(steps);
    this.#passCosts = new PassCosts((step, candidates) =>
      this.#uneven.createCosts(step, candidates),
    );
    this.#passCosts.isScarce = steps.length > 1;
    const { capacityShares, nowMs } = this.#state;
    const getTargets = () => this.#getPlannableTargets();
    this.#preemptions = new PreemptionTable(getTargets, nowMs);
    this.#sharePreemption = new SharePreemption(capacityShares, getTargets, nowMs);
    steps.forEach((step) => {
      try {
        this.#planStep(step);
      } catch (error) {
        this.#setAside(step, error);
      }
    });
    this.#uneven.reserve();
  }

  #planStep(step: StepState): void {
    const { record } = step;
    const { nowMs, crashingQueues } = this.#state;
    const crashedAtMs = crashingQueues.get(record.queue.id) ?? Number.NEGATIVE_INFINITY;
    record.isCrashLikely = nowMs < crashedAtMs + CRASHING_QUEUE_MS;
    const isDesperate = isStarved(step, nowMs);
    this.#placeStep(step, isDesperate);
    this.#preemptFor(step, isDesperate);
  }

  #placeStep(step: StepState, isDesperate: boolean): void {
    const { advice } = step.record.queue;
    if (advice !== undefined && !step.advice.hasUsableTicket(this.#state.nowMs)) return;
    const targets = this.#state.eligibleTargets.get(step);
    const roomy = this.#passCosts.getRoomy(targets, step.charge);
    if (roomy.length === 0) return;
    const getCandidates = () => this.#getFittingCandidates(step, roomy, isDesperate);
    if (step.isGang) this.#startGang(step, getCandidates());
    else if (advice !== undefined || step.spec.maxTasksPerTarget > 0)
      this.#startTasks(step, this.#uneven.createCosts(step, getCandidates()));
    else {
      const placementClass = `${step.placementClass}|${isDesperate}|${step.record.isCrashLikely}|${this.#uneven.getClass(step)}`;
      this.#startTasks(step, this.#passCosts.get(step, targets, placementClass, getCandidates));
    }
  }

  #getFittingCandidates(
    step: StepState,
    roomy: readonly TargetState[],
    isDesperate: boolean,
  ): readonly Candidate[] {
    return this.#getOpenCandidates(step, roomy, isDesperate, ({ free }) =>
      isDemandFitting(step.charge, free),
    );
  }

  /** A step that cannot be planned would end the ownership of each node in turn, so the others go on without it. */
  #setAside(step: StepState, error: unknown): void {
    this.#state.ready.delete(step);
    this.#state.setAsideUntilMs.set(step, this.#state.nowMs + SET_ASIDE_MS);
    this.#state.count('submissions_unschedulable');
    this.#state.log(
      'step cannot be planned; it is left out for a while',
      { submissionId: step.record.submission.id, step: step.key, reason: String(error) },
      'warn',
    );
  }

  #readmitSteps(): void {
    this.#state.setAsideUntilMs.forEach((untilMs, step) => {
      if (this.#state.nowMs < untilMs) return;
      this.#state.setAsideUntilMs.delete(step);
      this.#runManager.updateReadiness(step);
    });
  }

  #planTrials(steps: readonly StepState[]): void {
    this.#trialPlanner.plan({
      steps,
      getTargets: () => this.#getPlannableTargets(),
      getCandidates: (step, allowed) => this.#getCandidates(step, allowed),
    });
  }

  /** Starts a second copy of stragglers where capacity is left (speculative execution). */
  #startSpeculativeCopies(): void {
    const { nowMs, targets, open: records } = this.#state;
    records.forEach((record) => {
      if (!record.isServiceRecorded || record.isCancellationUnread) return;
      for (const step of record.steps) {
        findStragglers(step, (run) => targets.get(run.targetId), nowMs).forEach((run) =>
          this.#startSpeculativeCopy(step, run.index, run.targetId),
        );
      }
    });
  }

  #startSpeculativeCopy(step: StepState, index: number, currentId: TargetId): void {
    const { nowMs } = this.#state;
    if (!this.#state.teamLimits.isWithinLimit(step)) return;
    const alternatives = this.#getPlannableTargets().filter(
      (target) =>
        target.pausedUntilMs <= nowMs &&
        target.id !== currentId &&
        isDemandFitting(step.charge, target.free) &&
        this.#uneven.isOpen(step, target),
    );
    const chosen = chooseCandidate(step, false, this.#getCandidates(step, alternatives));
    if (chosen === undefined) return;
    this.#state.count('copies_started');
    const run = this.#runManager.allocateRunNumber(step);
    this.#runManager.start(step, index, chosen.target, run, chosen.ticket);
  }

  /**
   * Preempts runs of lower priority, or of teams far beyond their share, for tasks that have waited too long for
   * capacity.
   */
  #preemptFor(step: StepState, isDesperate: boolean): void {
    const { nowMs } = this.#state;
    if (step.isGang || step.record.isExcess) return;
    if (nowMs - (step.readyAtMs ?? nowMs) < PREEMPTION_DELAY_MS) return;
    const isOwed = this.#sharePreemption.isOwed(step);
    if (!this.#preemptions.hasVictim(step) && !isOwed) return;
    const waitingCount = getRegularTasks(step).length;
    if (waitingCount === 0) return;
    const usable = this.#state.eligibleTargets.get(step);
    const open = this.#getOpenCandidates(
      step,
      usable,
      isDesperate,
      (target) => isOwed || this.#preemptions.mayFit(step, target),
    );
    const targets = this.#keepLongTickets(step, open)
      .map(({ target }) => target)
      .filter((target) => isSpreadAllowed(step, target) && isColocationAllowed(step, target));
    let canContinue = targets.length > 0;
    const maxCount = Math.min(waitingCount, MAX_PREEMPTING_TASKS);
    for (let count = 0; count < maxCount && canContinue; count += 1) {
      if (!this.#state.teamLimits.isWithinLimit(step, count + 1)) return;
      canContinue = this.#preemptForOneTask(step, targets);
    }
  }

  #preemptForOneTask(step: StepState, targets: readonly TargetState[]): boolean {
    const chosen = this.#preemptions.choose(step, targets) ?? this.#chooseByShare(step, targets);
    if (chosen === undefined) return false;
    const { target, victims } = chosen;
    this.#preemptions.reserve(target, step.charge);
    victims.forEach((run) => this.#runManager.stop(run, `preempted for ${step.key}`));
    if (victims.length > 0) this.#state.count('runs_preempted', victims.length);
    return true;
  }

  #chooseByShare(step: StepState, targets: readonly TargetState[]): Preemption | undefined {
    const chosen = this.#sharePreemption.choose(step, targets, (target) =>
      this.#preemptions.getExpectedFree(target),
    );
    if (chosen !== undefined) this.#state.count('share_preemptions');
    return chosen;
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

  /** Leaves out targets whose tickets may expire before a run has been stopped for the task. */
  #keepLongTickets(step: StepState, candidates: readonly Candidate[]): readonly Candidate[] {
    const costs = step.record.queue.advice;
    if (costs === undefined) return candidates;
    const { nowMs } = this.#state;
    const minLifeMs = getMinLifeAfterStopMs(costs);
    return candidates.filter(
      ({ target: { id, entry } }) =>
        step.advice.getTicketLifeMs(id, entry.incarnationStartMs, nowMs) >= minLifeMs,
    );
  }

  /**
   * Gets those of the usable targets on which this pass may start tasks of a step. A step that needs tickets has them
   * for few targets, so these are examined if they are fewer.
   */
  #getOpenCandidates(
    step: StepState,
    usable: readonly TargetState[],
    isDesperate: boolean,
    isPossible: (target: TargetState) => boolean,
  ): readonly Candidate[] {
    const { nowMs, targets } = this.#state;
    const isOpen = (target: TargetState) =>
      target.isPlannable &&
      (isDesperate || target.pausedUntilMs <= nowMs) &&
      this.#uneven.isOpen(step, target) &&
      isPossible(target) &&
      isDemandFitting(step.charge, target.entry.capacity);
    if (step.record.queue.advice === undefined) return toCandidates(usable.filter(isOpen));
    if (usable.length <= step.advice.ticketCount)
      return this.#getCandidates(step, usable.filter(isOpen));
    const approved: TargetState[] = [];
    step.advice.forEachUsableTicket(nowMs, (targetId) => {
      const target = targets.get(targetId);
      if (target !== undefined && isOpen(target)) approved.push(target);
    });
    approved.sort((left, right) => left.position - right.position);
    return this.#getCandidates(step, approved);
  }

  /**
   * Tasks of a step have the same demand, so once one cannot be placed the others cannot either. Tasks on
   * their last attempt are tracked separately, as they avoid suspect targets.
   */
  #startTasks(step: StepState, costs: CandidateCosts): void {
    if (costs.isExhausted) return;
    let hasCapacity = true;
    let hasCapacityForLastAttempt = true;
    getRegularTasks(step).forEach((index) => {
      const isCautious = isLastAttempt(step, index) && !isStarved(step, this.#state.nowMs);
      if (!hasCapacity || (isCautious && !hasCapacityForLastAttempt)) return;
      if (!this.#state.teamLimits.isWithinLimit(step)) return;
      const isPlaced = costs.tryPlace(isCautious, ({ target, ticket }) => {
        this.#passCosts.onPlaced(target);
        const run = this.#runManager.allocateRunNumber(step);
        this.#runManager.start(step, index, target, run, ticket);
      });
      if (isPlaced) return;
      if (isCautious) hasCapacityForLastAttempt = false;
      else hasCapacity = false;
    });
  }

  /** Starts all members of a gang at once, or none of them. */
  #startGang(step: StepState, candidates: readonly Candidate[]): void {
    if (candidates.length === 0) return;
    if (getRegularTasks(step).length < step.spec.taskCount) return;
    if (this.#state.teamLimits.isReached(step)) return;
    const { nowMs } = this.#state;
    const placements = placeGang(step, candidates, nowMs, this.#uneven);
    if (placements === undefined) return;
    const run = this.#runManager.allocateRunNumber(step);
    placements.forEach(({ index, candidate }) => {
      this.#passCosts.onPlaced(candidate.target);
      this.#runManager.start(step, index, candidate.target, run, candidate.ticket);
    });
  }
}
