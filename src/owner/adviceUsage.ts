/** Accounts for the time of calls to the advice service by what became of the answers, for metrics and logs. */

import type { OwnerState } from './ownerState';
import type { StepState } from './stepState';
import { getStepWaitReason } from './taskBelief';
import type { TaskWaitReason } from './taskBelief';

/** What became of the time of a call. */
type CallOutcome =
  /** A run was started with one of its tickets. */
  | 'used'
  /** Its tickets have expired, and the step still waits. */
  | `unused_${TaskWaitReason}`
  /** Its tickets have expired, and the step no longer waits. */
  | 'unused_over'
  /** The step needed no answer any more when it came. */
  | 'late'
  | 'failed';

/** An answered call with tickets that are valid or have been until the last check. */
interface OpenCall {
  readonly step: StepState;
  readonly durationMs: number;
  readonly usableUntilMs: number;
  isUsed: boolean;
}

const CHECK_INTERVAL_MS = 1_000;

/** Interval at which the sums are logged. */
const LOG_INTERVAL_MS = 5_000;

/** Follows calls until their tickets have been used or have expired. */
export class AdviceUsage {
  #state: OwnerState;

  #open = new Map<StepState, OpenCall>();

  /** Sums since the last log line. */
  #callMs = new Map<CallOutcome, number>();

  #callCount = 0;

  #nextCheckAtMs = 0;

  #nextLogAtMs = 0;

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /**
   * Records an answer.
   * @param step - the step that asked
   * @param durationMs - duration of the call
   * @param usableUntilMs - until when its tickets are valid, on the owner's clock
   */
  onAnswered(step: StepState, durationMs: number, usableUntilMs: number): void {
    this.#settle(step);
    const isNeeded = step.unplacedCount > 0 && step.record.outcome === undefined;
    if (isNeeded) this.#open.set(step, { step, durationMs, usableUntilMs, isUsed: false });
    else this.#add('late', durationMs);
  }

  /**
   * Records a call without an answer.
   * @param durationMs - duration of the call
   */
  onFailed(durationMs: number): void {
    this.#add('failed', durationMs);
  }

  /**
   * Records that a run was started with a ticket.
   * @param step - the step
   */
  onTicketUsed(step: StepState): void {
    const call = this.#open.get(step);
    if (call !== undefined) call.isUsed = true;
  }

  /**
   * Settles the calls whose tickets have expired, and logs the sums when a line is due.
   * @param lanes - the lanes of the dispatcher
   */
  check(lanes: readonly { readonly isBusy: boolean }[]): void {
    const { nowMs } = this.#state;
    if (nowMs < this.#nextCheckAtMs) return;
    this.#nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
    this.#open.forEach(({ step, usableUntilMs }) => {
      if (nowMs >= usableUntilMs) this.#settle(step);
    });
    if (nowMs < this.#nextLogAtMs) return;
    this.#nextLogAtMs = nowMs + LOG_INTERVAL_MS;
    if (this.#callCount === 0) return;
    this.#state.log('time of calls for advice', {
      laneCount: lanes.length,
      busyLaneCount: lanes.filter(({ isBusy }) => isBusy).length,
      callCount: this.#callCount,
      callMs: Object.fromEntries(this.#callMs),
    });
    this.#callMs.clear();
    this.#callCount = 0;
  }

  #settle(step: StepState): void {
    const call = this.#open.get(step);
    if (call === undefined) return;
    this.#open.delete(step);
    this.#add(this.#getOutcome(call), call.durationMs);
  }

  #getOutcome({ step, isUsed }: OpenCall): CallOutcome {
    if (isUsed) return 'used';
    if (!this.#state.ready.has(step)) return 'unused_over';
    return `unused_${getStepWaitReason(this.#state, step)}`;
  }

  #add(outcome: CallOutcome, durationMs: number): void {
    const roundedMs = Math.round(durationMs);
    this.#callCount += 1;
    this.#callMs.set(outcome, (this.#callMs.get(outcome) ?? 0) + roundedMs);
    this.#state.count(`advice_ms_${outcome}`, roundedMs);
  }
}
