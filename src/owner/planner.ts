/** Starts what can be started: waiting steps in their order, each on the targets that suit it. */

import type { TargetId, TeamId, Ticket } from '../types/ids';
import { addDemand, isDemandFitting, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { OwnerState } from './ownerState';
import { getPlacementCost, isPlaceable, isTargetEligible, isTargetOpen } from './placement';
import type { RunKeeper } from './runKeeper';
import { compareSteps } from './stepOrder';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** A target that may take tasks of a step now. */
interface Candidate {
  readonly target: TargetState;
  readonly ticket: Ticket | undefined;
}

/** One member of a gang and its place. */
interface GangPlace {
  readonly index: number;
  readonly candidate: Candidate;
}

function isLastAttempt(step: StepState, index: number): boolean {
  if (step.isStanding) return false;
  const failureCount = step.isGang
    ? step.progress.getGangFailureCount()
    : step.progress.getFailureCount(index);
  return failureCount > 0 && failureCount >= step.record.queue.attemptLimit - 1;
}

function placeGang(
  step: StepState,
  candidates: readonly Candidate[],
): readonly GangPlace[] | undefined {
  const isLast = isLastAttempt(step, 0);
  const free = new Map<TargetId, TaskDemand>();
  const placedCounts = new Map<TargetId, number>();
  const places: GangPlace[] = [];
  for (let index = 0; index < step.spec.taskCount; index += 1) {
    let best: Candidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    candidates.forEach((candidate) => {
      const { target } = candidate;
      if (isLast && target.isSuspect) return;
      const left = free.get(target.id) ?? target.free;
      if (!isPlaceable(step, target, left, placedCounts.get(target.id) ?? 0)) return;
      const cost = getPlacementCost(step, target, left);
      if (cost >= bestCost) return;
      best = candidate;
      bestCost = cost;
    });
    if (best === undefined) return undefined;
    const { target } = best as Candidate;
    free.set(target.id, addDemand(free.get(target.id) ?? target.free, step.charge, -1));
    placedCounts.set(target.id, (placedCounts.get(target.id) ?? 0) + 1);
    places.push({ index, candidate: best });
  }
  return places;
}

function choose(
  step: StepState,
  isLast: boolean,
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  candidates.forEach((candidate) => {
    const { target } = candidate;
    if (isLast && target.isSuspect) return;
    if (!isPlaceable(step, target, target.free, 0)) return;
    const cost = getPlacementCost(step, target, target.free);
    if (cost >= bestCost) return;
    best = candidate;
    bestCost = cost;
  });
  return best;
}

function placeGangInOneRack(
  step: StepState,
  candidates: readonly Candidate[],
): readonly GangPlace[] | undefined {
  const { policy } = step.spec;
  if (policy.kind !== 'gang' || !policy.isSameRack) return undefined;
  const racks = new Set(candidates.map(({ target }) => target.entry.rack));
  let found: readonly GangPlace[] | undefined;
  racks.forEach((rack) => {
    found ??= placeGang(
      step,
      candidates.filter(({ target }) => target.entry.rack === rack),
    );
  });
  return found;
}

/** Plans starts. */
export class Planner {
  #state: OwnerState;

  #keeper: RunKeeper;

  #unseen = new Map<TeamId, TaskDemand>();

  /**
   * @param state - the owner's tables
   * @param keeper - performs the starts
   */
  constructor(state: OwnerState, keeper: RunKeeper) {
    this.#state = state;
    this.#keeper = keeper;
  }

  /** Starts every task that has room now. */
  plan(): void {
    const state = this.#state;
    const open = [...state.targets.values()].filter((target) => isTargetOpen(state, target));
    if (open.length === 0) return;
    const steps = [...state.ready].filter(
      (step) => !step.mayRunUnseen && step.notBeforeMs <= state.nowMs,
    );
    steps.sort((left, right) => compareSteps(state, left, right));
    this.#unseen = this.#getUnseenUse();
    steps.forEach((step) => {
      // Most steps that wait in a full fleet end here, without a look at each target's state.
      const roomy = open.filter((target) => isDemandFitting(step.charge, target.free));
      if (roomy.length === 0) return;
      const candidates = this.#getCandidates(step, roomy);
      if (candidates.length === 0) return;
      if (step.isGang) this.#startGang(step, candidates);
      else this.#startTasks(step, candidates);
    });
  }

  /** What teams may have running on targets that have not listed their runs since the takeover. */
  #getUnseenUse(): Map<TeamId, TaskDemand> {
    const unseen = new Map<TeamId, TaskDemand>();
    if (this.#state.unresolved.size === 0) return unseen;
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
        ? step.advice.getTicket(target.id, target.entry.bornAtMs, state.nowMs)
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
      const isLast = isLastAttempt(step, index);
      if (!isRoomLeft || (isLast && !isRoomLeftForLast)) return;
      if (!this.#state.teamUse.isWithinLimit(teamId, step.charge, this.#unseen.get(teamId))) return;
      const chosen = choose(step, isLast, candidates);
      if (chosen === undefined) {
        if (isLast) isRoomLeftForLast = false;
        else isRoomLeft = false;
        return;
      }
      const run = this.#keeper.takeRunNumber(step);
      this.#keeper.start(step, index, chosen.target, run, chosen.ticket);
    });
  }

  /** All members start at the same time, or none does. */
  #startGang(step: StepState, candidates: readonly Candidate[]): void {
    if (step.waiting.size < step.spec.taskCount) return;
    const { teamId } = step.record.submission;
    const whole = addDemand(NO_DEMAND, step.charge, step.spec.taskCount);
    if (!this.#state.teamUse.isWithinLimit(teamId, whole, this.#unseen.get(teamId))) return;
    const places = placeGangInOneRack(step, candidates) ?? placeGang(step, candidates);
    if (places === undefined) return;
    const run = this.#keeper.takeRunNumber(step);
    places.forEach(({ index, candidate }) => {
      this.#keeper.start(step, index, candidate.target, run, candidate.ticket);
    });
  }
}
