/**
 * Dispatches calls to the advice service over the nodes of the cluster. The service handles one call at a
 * time for each calling node, so each node is a lane. Some lanes are reserved for short calls, which avoids
 * head-of-line blocking of urgent calls by long ones.
 */

import * as E from 'fp-ts/Either';
import type { NodeId, TargetId, TeamId } from '../types/ids';
import { tryParseTaskKey } from '../work/taskKeys';
import { isDemandFitting } from '../work/types';
import type { AdviceCosts } from '../work/types';
import {
  ADVICE_REFRESH_DELAY_MS,
  ADVICE_COSTLY_TARGETS,
  ADVICE_MAX_TARGETS,
  ADVICE_RETRY_DELAY_MS,
  ADVICE_SILENCE_MS,
  ADVICE_TIMEOUT_MARGIN_MS,
  HANDOVER_TRANSIT_MS,
  MAX_HANDED_ADVICE,
  PREFETCH_TICKET_FRACTION,
  SHORT_ADVICE_MS,
  SHORT_LANE_FRACTION,
  UNKNOWN_INCARNATION_MS,
} from './constants';
import { chooseTargetsToQuery, countFittingTasks, isFurtherAdviceUseful } from './adviceChoice';
import { sortForAdvice } from './adviceOrder';
import type { AdviceDemand } from './adviceOrder';
import { EmptiestFirst } from './emptiestFirst';
import { getRunRemainingEstimateMs, LimitForecast } from './limitForecast';
import type { OwnerState } from './ownerState';
import { RoomyTargets } from './roomyTargets';
import { getMinLifeAfterStopMs } from './stepAdvice';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import { getReservedTargets } from './trial';
import type { HandedAdvice, OwnerEvent } from './types';

type AdvisedEvent = Extract<OwnerEvent, { kind: 'advised' }>;

/** A ticket is renewed this long before a call for it would come too late. */
const RENEWAL_MARGIN_MS = 100;

/** A node through which one call at a time is made. */
interface Lane {
  readonly nodeId: NodeId;
  readonly isShortOnly: boolean;
  isBusy: boolean;
  notBeforeMs: number;
}

/** A call in flight. */
interface PendingCall {
  readonly step: StepState;
  /** When the service can have answered at the earliest. */
  readonly issuedAfterMs: number;
  /** Incarnations of the targets about which it was asked. */
  readonly incarnations: ReadonlyMap<TargetId, number>;
}

/** A call to make for a step. */
interface AdviceRequest {
  readonly step: StepState;
  readonly costs: AdviceCosts;
  readonly targetIds: readonly TargetId[];
}

function getCallMs(costs: AdviceCosts, targetCount: number): number {
  return costs.callMs + costs.perTargetMs * targetCount;
}

/** Checks whether the service may be asked about a target that the step may use. */
function isCandidate(step: StepState, target: TargetState, nowMs: number): boolean {
  const { id, entry, lostAtMs } = target;
  // A silent target neither needs a ticket nor makes one elsewhere needless; a single answer may just be late.
  if (lostAtMs !== undefined && nowMs >= lostAtMs + ADVICE_SILENCE_MS) return false;
  if (!isDemandFitting(step.charge, entry.capacity)) return false;
  return !step.advice.isRefused(id, entry.incarnationStartMs);
}

/** Checks whether a call about a single target is short; one about more takes longer. */
function mayBeShort({ record }: StepState): boolean {
  const costs = record.queue.advice;
  return costs === undefined || getCallMs(costs, 1) <= SHORT_ADVICE_MS;
}

/** Time before a ticket is needed at which to ask for it, so that it is valid then. */
function getLeadMs({ record }: StepState): number {
  const costs = record.queue.advice;
  if (costs === undefined) return 0;
  return getCallMs(costs, ADVICE_COSTLY_TARGETS) + costs.ticketValidMs * PREFETCH_TICKET_FRACTION;
}

/** Assigns advice calls to lanes. */
export class AdviceDispatcher {
  #state: OwnerState;

  #lanes: Lane[] = [];

  #pending = new Map<string, PendingCall>();

  #forecast: LimitForecast;

  /**
   * @param state - the owner's state
   */
  constructor(state: OwnerState) {
    this.#state = state;
    this.#forecast = new LimitForecast(state.open);
  }

  /**
   * Replaces the lanes; nodes that remain keep their state.
   * @param nodeIds - all connected nodes
   */
  setLanes(nodeIds: readonly NodeId[]): void {
    const shortCount = nodeIds.length > 1 ? Math.ceil(nodeIds.length * SHORT_LANE_FRACTION) : 0;
    const previous = new Map(this.#lanes.map((lane) => [lane.nodeId, lane]));
    this.#lanes = [...nodeIds].sort().map((nodeId, index) => ({
      nodeId,
      isShortOnly: index < shortCount,
      isBusy: previous.get(nodeId)?.isBusy ?? false,
      notBeforeMs: previous.get(nodeId)?.notBeforeMs ?? 0,
    }));
  }

  /**
   * Applies the result of a call.
   * @param event - the result
   */
  onAdvised(event: AdvisedEvent): void {
    const { nowMs } = this.#state;
    const lane = this.#lanes.find(({ nodeId }) => nodeId === event.laneId);
    if (lane !== undefined) lane.isBusy = false;
    const call = this.#pending.get(event.stepKey);
    this.#pending.delete(event.stepKey);
    if (call === undefined) return;
    const { step, issuedAfterMs, incarnations } = call;
    step.advice.isCallPending = false;
    const durationMs = nowMs - event.sentAtMs;
    if (E.isLeft(event.result)) {
      this.#state.adviceUsage.onFailed(durationMs);
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
    // The answer may have been under way for some time, during which a target may have restarted.
    const usableUntilMs = Math.min(nowMs, issuedAfterMs) + validMs;
    step.advice.addAnswer(
      nowMs,
      event.targetIds,
      grants,
      usableUntilMs,
      (targetId) => incarnations.get(targetId) ?? UNKNOWN_INCARNATION_MS,
    );
    this.#state.adviceUsage.onAnswered(step, durationMs, usableUntilMs);
    this.#state.emit({ kind: 'record', name: 'advice', durationMs });
    this.#state.isPlanDue = true;
  }

  /**
   * Gets the advice about steps with waiting tasks, most urgent steps first.
   * @param nowMs - current time on the owner's clock
   * @returns what a successor can use, of bounded size
   */
  getHanded(nowMs: number): readonly HandedAdvice[] {
    const steps = [...this.#state.open]
      .filter(({ queue }) => queue.advice !== undefined)
      .flatMap((record) => [...record.steps])
      .filter(({ unplacedCount }) => unplacedCount > 0);
    let count = 0;
    return this.#state.stepOrder.sort(steps).flatMap((step) => {
      const handed = { stepKey: step.key, ...step.advice.getHanded(nowMs) };
      const size = handed.tickets.length + handed.refused.length;
      if (size === 0 || count + size > MAX_HANDED_ADVICE) return [];
      count += size;
      return [handed];
    });
  }

  /**
   * Adopts the advice of a former owner about steps that are open.
   * @param advice - what it has handed over
   * @param receivedAtMs - when it was received, on the owner's clock
   */
  adoptHanded(advice: readonly HandedAdvice[], receivedAtMs: number): void {
    if (advice.length === 0) return;
    const adopted = advice.filter((handed) => {
      // The key of a step is that of its tasks without their number.
      const parts = tryParseTaskKey(`${handed.stepKey}.0`);
      const record = parts && this.#state.records.get(parts.submissionId);
      const step = parts && record?.getStep(parts.occurrence, parts.step);
      step?.advice.adoptHanded(handed, receivedAtMs - HANDOVER_TRANSIT_MS);
      return step !== undefined;
    });
    this.#state.isPlanDue = true;
    this.#state.log('advice of the former owner is used', {
      stepCount: adopted.length,
      ticketCount: adopted.reduce((count, { tickets }) => count + tickets.length, 0),
    });
  }

  /** Sends calls for steps that need advice over idle lanes, most urgent steps first. */
  dispatch(): void {
    const { nowMs } = this.#state;
    this.#state.adviceUsage.check(this.#lanes);
    const idleLanes = this.#lanes.filter((lane) => !lane.isBusy && lane.notBeforeMs <= nowMs);
    if (idleLanes.length === 0) return;
    const emptiest = new EmptiestFirst();
    this.#getStepsInOrder().forEach((step) => {
      // Targets are chosen only while a lane is idle that may take the call.
      const isLaneIdle = idleLanes.some(({ isShortOnly }) => !isShortOnly || mayBeShort(step));
      const request = isLaneIdle ? this.#createRequest(step, emptiest) : undefined;
      if (request === undefined) return;
      const isShort = getCallMs(request.costs, request.targetIds.length) <= SHORT_ADVICE_MS;
      const position = idleLanes.findIndex((lane) => isShort === lane.isShortOnly);
      const chosen = position < 0 && isShort ? 0 : position;
      const lane = idleLanes[chosen];
      if (lane === undefined) return;
      idleLanes.splice(chosen, 1);
      this.#send(lane, request);
    });
  }

  #send(lane: Lane, { step, costs, targetIds }: AdviceRequest): void {
    const { nowMs, targets } = this.#state;
    lane.isBusy = true;
    step.advice.isCallPending = true;
    step.advice.lastCallAtMs = nowMs;
    this.#pending.set(step.key, {
      step,
      issuedAfterMs: nowMs + getCallMs(costs, targetIds.length),
      incarnations: new Map(
        targetIds.flatMap((id) => {
          const incarnationStartMs = targets.get(id)?.entry.incarnationStartMs;
          return incarnationStartMs === undefined ? [] : [[id, incarnationStartMs]];
        }),
      ),
    });
    this.#state.emit({
      kind: 'askAdvice',
      laneId: lane.nodeId,
      stepKey: step.key,
      targetIds,
      timeoutMs: getCallMs(costs, targetIds.length) + ADVICE_TIMEOUT_MARGIN_MS,
    });
    this.#state.count('advice_asked');
  }

  /** The steps for which to ask, most urgent steps first; those that their team's limit keeps back come last. */
  #getStepsInOrder(): readonly StepState[] {
    const roomyTargets = new RoomyTargets(() => true);
    const { stepOrder, teamLimits } = this.#state;
    const keptBack: StepState[] = [];
    const demands: AdviceDemand[] = [];
    this.#getStepsNeedingAdvice(roomyTargets).forEach((step) => {
      // A task that is to be moved is stopped first, so that the limit does not keep it back.
      if (step.relocatingCount === 0 && teamLimits.isReached(step)) {
        keptBack.push(step);
        return;
      }
      const isUrgent = mayBeShort(step) || this.#getTargetsToRenew(step).length > 0;
      demands.push({ step, isUrgent, hasRoom: isUrgent || this.#hasRoom(step, roomyTargets) });
    });
    const sort = (steps: readonly StepState[]) => stepOrder.sort(steps);
    return [...sortForAdvice(demands, sort), ...this.#getDueAtLimit(keptBack)];
  }

  #hasRoom(step: StepState, roomyTargets: RoomyTargets): boolean {
    const { nowMs, eligibleTargets } = this.#state;
    return roomyTargets
      .get(eligibleTargets.get(step), step.charge)
      .some(
        (target) => isCandidate(step, target, nowMs) && countFittingTasks(step, target, nowMs) > 0,
      );
  }

  /**
   * Of steps that their teams' limits keep back, those with short calls and the first of each team, if runs of their
   * teams end while a ticket is valid.
   */
  #getDueAtLimit(steps: readonly StepState[]): readonly StepState[] {
    const { nowMs, stepOrder } = this.#state;
    const due = steps.filter((step) => this.#forecast.isEndExpected(step, getLeadMs(step), nowMs));
    const teamsWithLongCall = new Set<TeamId>();
    return stepOrder.sort(due).filter((step) => {
      if (mayBeShort(step)) return true;
      const { teamId } = step.record.submission;
      const isFirst = !teamsWithLongCall.has(teamId);
      teamsWithLongCall.add(teamId);
      return isFirst;
    });
  }

  #getStepsNeedingAdvice(roomyTargets: RoomyTargets): readonly StepState[] {
    const { chained, open, ready, relocatingSteps } = this.#state;
    // Tasks that are to be moved keep their runs until there is a ticket for another target.
    const steps = [...new Set([...ready, ...relocatingSteps])].filter((step) =>
      this.#needsAdvice(step, roomyTargets),
    );
    chained.forEach((record) => {
      if (!open.has(record)) chained.delete(record);
      if (!open.has(record) || record.queue.advice === undefined) return;
      for (const step of record.steps) {
        if (step.readyAtMs !== undefined || step.spec.after.length === 0) continue;
        if (this.#needsAdvice(step, roomyTargets) && this.#isPrefetchDue(step)) steps.push(step);
      }
    });
    return steps;
  }

  #needsAdvice(step: StepState, roomyTargets: RoomyTargets): boolean {
    const { record, advice, unplacedCount, mayRunUnseen } = step;
    const costs = record.queue.advice;
    if (costs === undefined || advice.isCallPending || mayRunUnseen) return false;
    if (unplacedCount === 0) return false;
    const { nowMs, eligibleTargets } = this.#state;
    const neededUntilMs = nowMs + (this.#mayStopRuns(step) ? getMinLifeAfterStopMs(costs) : 0);
    if (!advice.hasUsableTicket(neededUntilMs)) return true;
    if (this.#getTargetsToRenew(step).length > 0) return true;
    const refreshAtMs = (advice.lastCallAtMs ?? 0) + ADVICE_REFRESH_DELAY_MS;
    if (step.readyAtMs === undefined || nowMs < refreshAtMs) return false;
    const roomy = roomyTargets.get(eligibleTargets.get(step), step.charge);
    return isFurtherAdviceUseful(step, roomy, (target) => isCandidate(step, target, nowMs), nowMs);
  }

  /** Checks whether runs may be stopped for a step, which needs a ticket that outlives the stop. */
  #mayStopRuns({ relocatingCount, isGang, record: { isExcess, queue } }: StepState): boolean {
    const { config } = this.#state.operator;
    const mayPreempt =
      !isGang && !isExcess && config?.queues.some(({ priority }) => priority > queue.priority);
    return relocatingCount > 0 || mayPreempt === true;
  }

  /** Targets that are reserved for a trial and whose tickets would expire before another call is answered. */
  #getTargetsToRenew(step: StepState): readonly TargetState[] {
    const costs = step.record.queue.advice;
    const { nowMs, watch } = this.#state;
    if (costs === undefined || !step.progress.hasSuspect) return [];
    const reserved = getReservedTargets(step, watch.getUnusual());
    const callMs = getCallMs(costs, reserved.length);
    return reserved.filter(
      ({ id, entry }) =>
        step.advice.getTicketLifeMs(id, entry.incarnationStartMs, nowMs) <
        callMs + RENEWAL_MARGIN_MS,
    );
  }

  #createRequest(step: StepState, emptiest: EmptiestFirst): AdviceRequest | undefined {
    const costs = step.record.queue.advice;
    if (costs === undefined) return undefined;
    const { nowMs } = this.#state;
    const renewed = this.#getTargetsToRenew(step);
    // A call for a reserved target alone is answered sooner.
    const isRenewal = renewed.length > 0 && step.advice.hasUsableTicket(nowMs);
    const others = isRenewal
      ? []
      : chooseTargetsToQuery(step, this.#getCandidates(step, emptiest), costs, nowMs);
    const targetIds = [...new Set([...renewed, ...others].map((target) => target.id))].slice(
      0,
      ADVICE_MAX_TARGETS,
    );
    return targetIds.length === 0 ? undefined : { step, costs, targetIds };
  }

  /** Eligible targets that may be used now, without those that the service has refused. */
  #getCandidates(step: StepState, emptiest: EmptiestFirst): TargetState[] {
    const { eligibleTargets, nowMs } = this.#state;
    return emptiest
      .sort(eligibleTargets.get(step))
      .filter((target) => isCandidate(step, target, nowMs));
  }

  /** Checks whether all dependencies of a step are expected to be done while a ticket requested now is valid. */
  #isPrefetchDue(step: StepState): boolean {
    const leadMs = getLeadMs(step);
    return step.spec.after.every((dependency) => {
      const predecessor = step.record.getStep(step.occurrence, dependency);
      if (predecessor === undefined) return false;
      return predecessor.isDone || this.#getRemainingMs(predecessor) < leadMs;
    });
  }

  #getRemainingMs(step: StepState): number {
    if (step.waiting.size > 0) return Number.POSITIVE_INFINITY;
    const { nowMs } = this.#state;
    let longestMs = 0;
    step.runs.forEach((runs) =>
      runs.forEach((run) => {
        longestMs = Math.max(longestMs, getRunRemainingEstimateMs(run, nowMs));
      }),
    );
    return longestMs;
  }
}
