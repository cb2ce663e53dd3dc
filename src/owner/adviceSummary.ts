/** Tells what is known of the targets of a step that needs advice, so that a wait can be explained. */

import type { StepKey, TargetId } from '../types/ids';
import { isDemandFitting } from '../work/types';
import { countFittingTasks } from './adviceChoice';
import type { OwnerState } from './ownerState';
import { isColocationAllowed, isInventoryKnown, isSpreadAllowed } from './placement';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Numbers of targets of one step. */
export interface AdviceSummary {
  readonly step: StepKey;
  /** Targets that service, label, data centre and registration allow. */
  readonly eligibleCount: number;
  readonly approvedCount: number;
  readonly refusedCount: number;
  /** Targets with a ticket that is valid. */
  readonly ticketCount: number;
  /** Approved targets with room for a task. */
  readonly approvedWithRoomCount: number;
  /** Targets with room about which the service has not been asked. */
  readonly unaskedWithRoomCount: number;
  /** Approved targets that may take no runs now. */
  readonly approvedClosedCount: number;
  readonly isCallPending: boolean;
  /** Time since the last call was sent; undefined before the first one. */
  readonly lastCallAgoMs: number | undefined;
  /** What keeps the tasks off the approved targets, of more than {@link MAX_NAMED_TARGETS} the first ones. */
  readonly approved: readonly ApprovedTarget[];
}

/** What an approved target lacks to take a task now. */
export type TargetLack =
  /** It does not answer. */
  | 'contact'
  /** Its runs are not known, or it is not recorded yet. */
  | 'inventory'
  /** It is kept free of other starts for a trial. */
  | 'reservation'
  /** It has refused a start, or is quarantined. */
  | 'pause'
  | 'room'
  /** The limit of the step for one target is reached. */
  | 'spread'
  /** The task may not share it with its present runs. */
  | 'colocation'
  /** No valid ticket is held for it. */
  | 'ticket';

/** An approved target; it lacks nothing when a task could start there. */
export interface ApprovedTarget {
  readonly targetId: TargetId;
  readonly lacks: readonly TargetLack[];
}

/** Maximum approved targets that are named. */
const MAX_NAMED_TARGETS = 16;

function getLacks(step: StepState, target: TargetState, nowMs: number): readonly TargetLack[] {
  const { id, entry, isContacted, isResponding, trial } = target;
  const isAnswering = isContacted && isResponding;
  const isReserved = trial !== undefined && (trial.step !== step || trial.run !== undefined);
  const lacks: readonly (readonly [TargetLack, boolean])[] = [
    ['contact', !isAnswering],
    ['inventory', isAnswering && !isInventoryKnown(target)],
    ['reservation', isReserved],
    ['pause', target.pausedUntilMs > nowMs],
    ['room', !isDemandFitting(step.charge, target.free)],
    ['spread', !isSpreadAllowed(step, target)],
    ['colocation', !isColocationAllowed(step, target)],
    ['ticket', step.advice.getTicket(id, entry.incarnationStartMs, nowMs) === undefined],
  ];
  return lacks.flatMap(([lack, isLacking]) => (isLacking ? [lack] : []));
}

/**
 * Summarizes the advice about a step.
 * @param state - the owner's state
 * @param step - a step that needs advice
 * @returns the numbers of its targets
 */
export function getAdviceSummary(
  { eligibleTargets, nowMs }: Pick<OwnerState, 'eligibleTargets' | 'nowMs'>,
  step: StepState,
): AdviceSummary {
  const { advice } = step;
  const targets = eligibleTargets.get(step);
  const approved = targets.filter(({ id, entry }) =>
    advice.isApproved(id, entry.incarnationStartMs),
  );
  const rated = targets.map((target) => {
    const { id, entry, isPlannable } = target;
    return {
      isApproved: advice.isApproved(id, entry.incarnationStartMs),
      isRefused: advice.isRefused(id, entry.incarnationStartMs),
      hasTicket: advice.getTicket(id, entry.incarnationStartMs, nowMs) !== undefined,
      hasRoom: countFittingTasks(step, target, nowMs) > 0,
      isPlannable,
    };
  });
  return {
    step: step.key,
    eligibleCount: rated.length,
    approvedCount: rated.filter(({ isApproved }) => isApproved).length,
    refusedCount: rated.filter(({ isRefused }) => isRefused).length,
    ticketCount: rated.filter(({ hasTicket }) => hasTicket).length,
    approvedWithRoomCount: rated.filter(({ isApproved, hasRoom }) => isApproved && hasRoom).length,
    unaskedWithRoomCount: rated.filter(
      ({ isApproved, isRefused, hasRoom }) => !isApproved && !isRefused && hasRoom,
    ).length,
    approvedClosedCount: rated.filter(({ isApproved, isPlannable }) => isApproved && !isPlannable)
      .length,
    isCallPending: advice.isCallPending,
    lastCallAgoMs:
      advice.lastCallAtMs === undefined ? undefined : Math.round(nowMs - advice.lastCallAtMs),
    approved: approved.slice(0, MAX_NAMED_TARGETS).map((target) => ({
      targetId: target.id,
      lacks: getLacks(step, target, nowMs),
    })),
  };
}
