/** Tells what is known of the targets of a step that needs advice, so that a wait can be explained. */

import type { StepKey } from '../types/ids';
import { countFittingTasks } from './adviceChoice';
import type { OwnerState } from './ownerState';
import type { StepState } from './stepState';

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
  const rated = eligibleTargets.get(step).map((target) => {
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
  };
}
