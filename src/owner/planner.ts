/** Starts what can be started: waiting steps in their order, each on the targets that suit it. */

import type { TargetId, TeamId } from '../types/ids';
import { addDemand, isDemandFitting, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { OwnerState } from './ownerState';
import { chooseCandidate, isImpatient, isLastAttempt } from './candidates';
import type { Candidate } from './candidates';
import {
  SPECULATION_CHECK_INTERVAL_MS,
  MAX_PREEMPTING_TASKS,
  PREEMPTION_DELAY_MS,
} from './constants';
import { getRunsToCopy } from './copies';
import { placeGang } from './gangPlacement';
import { isCompatible, isSpreadAllowed, isTargetEligible, isTargetKnown } from './placement';
import { choosePreemption, collectVictims, isAnyVictim } from './preemption';
import type { PromisedRoom, VictimTable } from './preemption';
import type { RunManager } from './runManager';
import { sortSteps } from './stepOrder';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Plans starts. */
export class Planner {
  #state: OwnerState;

  #keeper: RunManager;

  #unseen = new Map<TeamId, TaskDemand>();

  #promised: PromisedRoom = new Map();

  #victims: VictimTable = new Map();

  #nextCopiesAtMs = 0;

  /**
   * @param state - the owner's tables
   * @param keeper - performs the starts
   */
  constructor(state: OwnerState, keeper: RunManager) {
    this.#state = state;
    this.#keeper = keeper;
  }

  /** Starts every task that has room now. */
  plan(): void {
    const state = this.#state;
    const known = [...state.targets.values()].filter(isTargetKnown);
    const open = known.filter((target) => target.pausedUntilMs <= state.nowMs);
    if (known.length === 0) return;
    const waiting = [...state.ready].filter((step) => !step.mayRunUnseen);
    const steps = sortSteps(waiting, state.wallMs);
    this.#victims = collectVictims(known, state.nowMs);
    this.#unseen = this.#getUnseenUse();
    steps.forEach((step) => {
      // Most steps that wait in a full fleet end here, without a look at each target's state.
      const allowed = isImpatient(step, state.nowMs) ? known : open;
      const roomy = allowed.filter((target) => isDemandFitting(step.charge, target.free));
      const candidates = roomy.length === 0 ? [] : this.#getCandidates(step, roomy);
      if (candidates.length > 0) {
        if (step.isGang) this.#startGang(step, candidates);
        else this.#startTasks(step, candidates);
      }
      this.#makeRoom(step, allowed);
    });
    this.#promised.clear();
    if (state.nowMs < this.#nextCopiesAtMs) return;
    this.#nextCopiesAtMs = state.nowMs + SPECULATION_CHECK_INTERVAL_MS;
    this.#startCopies(open);
  }

  /** Runs a second copy of tasks that take far longer than their like, where room is left. */
  #startCopies(open: readonly TargetState[]): void {
    const { nowMs, targets, open: records } = this.#state;
    records.forEach((record) => {
      [...record.steps].forEach((step) => {
        getRunsToCopy(step, (run) => targets.get(run.targetId), nowMs).forEach((run) =>
          this.#startCopy(step, run.index, run.targetId, open),
        );
      });
    });
  }

  #startCopy(
    step: StepState,
    index: number,
    formerId: TargetId,
    open: readonly TargetState[],
  ): void {
    const { teamId } = step.record.submission;
    if (!this.#state.teamUsage.isWithinLimit(teamId, step.charge, this.#unseen.get(teamId))) return;
    const others = open.filter(
      (target) => target.id !== formerId && isDemandFitting(step.charge, target.free),
    );
    const chosen = chooseCandidate(step, false, this.#getCandidates(step, others));
    if (chosen === undefined) return;
    this.#state.count('copies_started');
    const run = this.#keeper.allocateRunNumber(step);
    this.#keeper.start(step, index, chosen.target, run, chosen.ticket);
  }

  /** Stops less urgent runs for tasks that have waited too long for room. */
  #makeRoom(step: StepState, open: readonly TargetState[]): void {
    const { nowMs, teamUsage: teamUse } = this.#state;
    const waitedMs = nowMs - (step.readyAtMs ?? nowMs);
    const { isExcess } = step.record;
    if (step.isGang || isExcess || step.waiting.size === 0 || waitedMs < PREEMPTION_DELAY_MS)
      return;
    if (!isAnyVictim(this.#victims, step)) return;
    const { teamId } = step.record.submission;
    const targets = this.#getCandidates(step, open)
      .map(({ target }) => target)
      .filter((target) => isSpreadAllowed(step, target) && isCompatible(step, target));
    let isHelpful = targets.length > 0;
    const most = Math.min(step.waiting.size, MAX_PREEMPTING_TASKS);
    for (let count = 0; count < most && isHelpful; count += 1) {
      const whole = addDemand(NO_DEMAND, step.charge, count + 1);
      if (!teamUse.isWithinLimit(teamId, whole, this.#unseen.get(teamId))) return;
      isHelpful = this.#makeRoomOnce(step, targets);
    }
  }

  #makeRoomOnce(step: StepState, targets: readonly TargetState[]): boolean {
    const chosen = choosePreemption(step, targets, this.#victims, this.#promised);
    if (chosen === undefined) return false;
    const { target, victims } = chosen;
    const promised = this.#promised.get(target.id) ?? NO_DEMAND;
    this.#promised.set(target.id, addDemand(promised, step.charge));
    victims.forEach((run) => this.#keeper.stop(run, `room for ${step.key}`));
    if (victims.length > 0) this.#state.count('runs_preempted', victims.length);
    return true;
  }

  /** What teams may have running on targets that have not listed their runs since the takeover. */
  #getUnseenUse(): Map<TeamId, TaskDemand> {
    const unseen = new Map<TeamId, TaskDemand>();
    if (this.#state.unresolvedTargets.size === 0) return unseen;
    this.#state.ready.forEach((step) => {
      if (!step.mayRunUnseen) return;
      const { teamId } = step.record.submission;
      const former = unseen.get(teamId) ?? NO_DEMAND;
      unseen.set(teamId, addDemand(former, step.charge, step.waiting.size));
    });
    return unseen;
  }

  #getCandidates(step: StepState, open: readonly TargetState[]): Candidate[] {
    const state = this.#state;
    const needsTicket = step.record.queue.advice !== undefined;
    const candidates: Candidate[] = [];
    open.forEach((target) => {
      if (!isTargetEligible(state, step, target)) return;
      const ticket = needsTicket
        ? step.advice.getTicket(target.id, target.entry.incarnationStartMs, state.nowMs)
        : undefined;
      if (needsTicket && ticket === undefined) return;
      candidates.push({ target, ticket });
    });
    return candidates;
  }

  /** Tasks of a step are alike, so one without a place speaks for all that may fail as often. */
  #startTasks(step: StepState, candidates: readonly Candidate[]): void {
    const { teamId } = step.record.submission;
    let isRoomLeft = true;
    let isRoomLeftForLast = true;
    [...step.waiting].forEach((index) => {
      const isLast = isLastAttempt(step, index) && !isImpatient(step, this.#state.nowMs);
      if (!isRoomLeft || (isLast && !isRoomLeftForLast)) return;
      if (!this.#state.teamUsage.isWithinLimit(teamId, step.charge, this.#unseen.get(teamId)))
        return;
      const chosen = chooseCandidate(step, isLast, candidates);
      if (chosen === undefined) {
        if (isLast) isRoomLeftForLast = false;
        else isRoomLeft = false;
        return;
      }
      const run = this.#keeper.allocateRunNumber(step);
      this.#keeper.start(step, index, chosen.target, run, chosen.ticket);
    });
  }

  /** All members start at the same time, or none does. */
  #startGang(step: StepState, candidates: readonly Candidate[]): void {
    if (step.waiting.size < step.spec.taskCount) return;
    const { teamId } = step.record.submission;
    const whole = addDemand(NO_DEMAND, step.charge, step.spec.taskCount);
    if (!this.#state.teamUsage.isWithinLimit(teamId, whole, this.#unseen.get(teamId))) return;
    const { nowMs } = this.#state;
    const places = placeGang(step, candidates, nowMs);
    if (places === undefined) return;
    const run = this.#keeper.allocateRunNumber(step);
    places.forEach(({ index, candidate }) => {
      this.#keeper.start(step, index, candidate.target, run, candidate.ticket);
    });
  }
}
