/**
 * Decides which node asks the advice service about which step, and when. The service answers one call
 * at a time for each calling node, so every node is a lane; some lanes take short calls only, so that
 * a long call never stands in front of an urgent one.
 */

import * as E from 'fp-ts/Either';
import type { NodeId, TargetId } from '../types/ids';
import type { AdviceCosts } from '../work/types';
import {
  ADVICE_REFRESH_DELAY_MS,
  ADVICE_COSTLY_TARGETS,
  ADVICE_RETRY_DELAY_MS,
  ADVICE_TIMEOUT_MARGIN_MS,
  PREFETCH_TICKET_FRACTION,
  SHORT_ADVICE_MS,
  SHORT_LANE_FRACTION,
} from './constants';
import { chooseAdvisedTargets, isMoreAdviceHelpful } from './adviceChoice';
import type { OwnerState } from './ownerState';
import { isTargetEligible } from './placement';
import { sortSteps } from './stepOrder';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import type { OwnerEvent } from './types';

type Advised = Extract<OwnerEvent, { kind: 'advised' }>;

/** One node's channel to the advice service. */
interface Lane {
  readonly nodeId: NodeId;
  readonly isShortOnly: boolean;
  isBusy: boolean;
  notBeforeMs: number;
}

/** A step that needs advice. */
interface Wish {
  readonly step: StepState;
  readonly costs: AdviceCosts;
  readonly targetIds: readonly TargetId[];
}

function getCallMs(costs: AdviceCosts, targetCount: number): number {
  return costs.callMs + costs.perTargetMs * targetCount;
}

/** Assigns calls for advice to lanes. */
export class AdviceDesk {
  #state: OwnerState;

  #lanes: Lane[] = [];

  #pending = new Map<string, StepState>();

  /**
   * @param state - the owner's tables
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /**
   * Takes the nodes that can be asked to call.
   * @param nodeIds - all nodes connected now
   */
  setLanes(nodeIds: readonly NodeId[]): void {
    const shortCount = nodeIds.length > 1 ? Math.ceil(nodeIds.length * SHORT_LANE_FRACTION) : 0;
    const former = new Map(this.#lanes.map((lane) => [lane.nodeId, lane]));
    this.#lanes = [...nodeIds].sort().map((nodeId, index) => ({
      nodeId,
      isShortOnly: index < shortCount,
      isBusy: former.get(nodeId)?.isBusy ?? false,
      notBeforeMs: former.get(nodeId)?.notBeforeMs ?? 0,
    }));
  }

  /**
   * Takes an answer.
   * @param event - the answer of one call
   */
  onAdvised(event: Advised): void {
    const { nowMs, targets } = this.#state;
    const lane = this.#lanes.find(({ nodeId }) => nodeId === event.laneId);
    if (lane !== undefined) lane.isBusy = false;
    const step = this.#pending.get(event.stepKey);
    this.#pending.delete(event.stepKey);
    if (step === undefined) return;
    step.advice.isAsked = false;
    if (E.isLeft(event.result)) {
      if (lane !== undefined) lane.notBeforeMs = nowMs + ADVICE_RETRY_DELAY_MS;
      this.#state.count(`advice_${event.result.left.kind}`);
      this.#state.log('no advice', {
        step: step.key,
        lane: event.laneId,
        failure: event.result.left,
      });
      return;
    }
    const { grants, validMs } = event.result.right;
    step.advice.addAnswer(
      event.targetIds,
      grants,
      nowMs + validMs,
      (targetId) => targets.get(targetId)?.entry.incarnationStartMs ?? 0,
    );
    this.#state.emit({ kind: 'record', name: 'advice', durationMs: nowMs - event.sentAtMs });
    this.#state.isPlanDue = true;
  }

  /** Gives waiting steps to free lanes, the most urgent first. */
  assign(): void {
    const { nowMs } = this.#state;
    const free = this.#lanes.filter((lane) => !lane.isBusy && lane.notBeforeMs <= nowMs);
    if (free.length === 0) return;
    const wishing = sortSteps(this.#getWishingSteps(), this.#state.wallMs);
    wishing.forEach((step) => {
      // Targets are chosen only for steps that a lane is free for.
      const wish = free.length === 0 ? undefined : this.#getWish(step);
      if (wish === undefined) return;
      const isShort = getCallMs(wish.costs, wish.targetIds.length) <= SHORT_ADVICE_MS;
      const position = free.findIndex((lane) => isShort === lane.isShortOnly);
      const chosen = position < 0 && isShort ? 0 : position;
      const lane = free[chosen];
      if (lane === undefined) return;
      free.splice(chosen, 1);
      this.#ask(lane, wish);
    });
  }

  #ask(lane: Lane, { step, costs, targetIds }: Wish): void {
    lane.isBusy = true;
    step.advice.isAsked = true;
    step.advice.askedAtMs = this.#state.nowMs;
    this.#pending.set(step.key, step);
    this.#state.emit({
      kind: 'askAdvice',
      laneId: lane.nodeId,
      stepKey: step.key,
      targetIds,
      timeoutMs: getCallMs(costs, targetIds.length) + ADVICE_TIMEOUT_MARGIN_MS,
    });
    this.#state.count('advice_asked');
  }

  #getWishingSteps(): StepState[] {
    const steps = [...this.#state.ready].filter((step) => this.#isWishing(step));
    this.#state.open.forEach((record) => {
      if (record.queue.advice === undefined || record.submission.spec.steps.length < 2) return;
      [...record.steps].forEach((step) => {
        if (step.readyAtMs !== undefined || step.spec.after.length === 0) return;
        if (this.#isWishing(step) && this.#isSoonReady(step)) steps.push(step);
      });
    });
    return steps;
  }

  #isWishing(step: StepState): boolean {
    const { record, advice, waiting, mayRunUnseen } = step;
    if (record.queue.advice === undefined || advice.isAsked || mayRunUnseen) return false;
    if (waiting.size === 0) return false;
    const { nowMs } = this.#state;
    if (advice.getUsableIds(nowMs).length === 0) return true;
    if (step.readyAtMs === undefined || nowMs < advice.askedAtMs + ADVICE_REFRESH_DELAY_MS)
      return false;
    return isMoreAdviceHelpful(step, this.#getCandidates(step), nowMs);
  }

  #getWish(step: StepState): Wish | undefined {
    const costs = step.record.queue.advice;
    if (costs === undefined) return undefined;
    const targets = chooseAdvisedTargets(step, this.#getCandidates(step), costs);
    const targetIds = targets.map((target) => target.id);
    return targetIds.length === 0 ? undefined : { step, costs, targetIds };
  }

  /** Targets that may run the step; those already refused are never named again. */
  #getCandidates(step: StepState): TargetState[] {
    return [...this.#state.targets.values()].filter(
      (target) => !step.advice.isRefused(target.id) && isTargetEligible(this.#state, step, target),
    );
  }

  /** Asks whether all earlier steps end before a ticket asked for now would. */
  #isSoonReady(step: StepState): boolean {
    const costs = step.record.queue.advice;
    if (costs === undefined) return false;
    const leadMs =
      getCallMs(costs, ADVICE_COSTLY_TARGETS) + costs.ticketValidMs * PREFETCH_TICKET_FRACTION;
    return step.spec.after.every((before) => {
      const earlier = step.record.getStep(step.occurrence, before);
      if (earlier === undefined) return false;
      return earlier.isDone || this.#getRemainingMs(earlier) < leadMs;
    });
  }

  #getRemainingMs(step: StepState): number {
    if (step.waiting.size > 0) return Number.POSITIVE_INFINITY;
    const { nowMs } = this.#state;
    const remaining = step.getRuns().map((run) => {
      const ranMs = run.percentReportedAtMs - run.sentAtMs;
      const totalMs = run.percent > 0 ? (ranMs * 100) / run.percent : step.spec.estimateMs;
      return run.sentAtMs + totalMs - nowMs;
    });
    return Math.max(0, ...remaining);
  }
}
