/**
 * Reservations of targets. They answer gangs, and tasks that fit only where several runs have ended, beside many
 * smaller tasks: whatever a run frees is taken by a smaller task, so that the larger one never starts.
 *
 * A reservation holds no more than the demand it is made for, is made only where enough runs are expected to end before
 * it does, and is followed by a pause of the target, so that it cannot keep capacity idle for longer than its age.
 */

import { addDemand, isDemandFitting, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';

/** Capacity may be kept idle for no longer; half of the 3 s for which a submission may wait beside free capacity. */
export const MAX_RESERVATION_AGE_MS = 1_500;

/** Time for which a target is not reserved again, so that what it has free can be used in between. */
export const RESERVATION_PAUSE_MS = 3_000;

/** At most this fraction of the targets of a service is reserved, but at least one target may be. */
const MAX_RESERVED_FRACTION = 0.1;

/** A run that is expected to end. */
export interface ExpectedEnd {
  /** Time until then; infinite for a run that does not end by itself. */
  readonly inMs: number;
  readonly charge: TaskDemand;
}

/** A target that may be reserved. */
export interface ReservableTarget {
  readonly targetId: string;
  readonly free: TaskDemand;
  readonly ends: readonly ExpectedEnd[];
  /** Time for which it may be used, as by the validity of a ticket. */
  readonly usableMs: number;
}

/** Tasks for which targets are to be reserved. */
export interface ReservationRequest {
  readonly stepKey: string;
  /** Priority of the queue; 0 is the most urgent. */
  readonly priority: number;
  /** Demand of one task. */
  readonly demand: TaskDemand;
  readonly taskCount: number;
  /** Whether only all tasks together can start. */
  readonly isGang: boolean;
  readonly targets: readonly ReservableTarget[];
  /** Number of targets of the service. */
  readonly serviceTargetCount: number;
}

/** A reserved target. */
export interface Reservation {
  readonly stepKey: string;
  readonly priority: number;
  readonly targetId: string;
  readonly demand: TaskDemand;
  readonly taskCount: number;
  readonly sinceMs: number;
}

/** Number of tasks that are expected to fit on a target, and when the last of them does. */
interface Slots {
  readonly targetId: string;
  readonly count: number;
  readonly inMs: number;
}

/**
 * Forecasts how many tasks fit on a target.
 * @param target - the target
 * @param demand - demand of one task
 * @param maxCount - number of tasks
 * @returns the number that fits before a reservation would end, and when that many fit
 */
export function forecastSlots(
  { targetId, free, ends, usableMs }: ReservableTarget,
  demand: TaskDemand,
  maxCount: number,
): Slots {
  const limitMs = Math.min(MAX_RESERVATION_AGE_MS, usableMs);
  const inTime = ends
    .filter(({ inMs }) => inMs <= limitMs)
    .sort((left, right) => left.inMs - right.inMs);
  let remaining = free;
  let count = 0;
  let inMs = 0;
  const countFitting = (atMs: number) => {
    while (count < maxCount && isDemandFitting(demand, remaining)) {
      remaining = addDemand(remaining, demand, -1);
      count += 1;
      inMs = atMs;
    }
  };
  countFitting(0);
  inTime.forEach((end) => {
    remaining = addDemand(remaining, end.charge);
    countFitting(end.inMs);
  });
  return { targetId, count, inMs };
}

/** Reservations of all services. */
export class Reservations {
  #byTarget = new Map<string, Reservation>();

  #pausedUntilMs = new Map<string, number>();

  /** The reservations, one per target at most. */
  get all(): ReadonlyMap<string, Reservation> {
    return this.#byTarget;
  }

  /**
   * Gets the capacity of a target that is held against a step.
   * @param targetId - the target
   * @param stepKey - the step
   * @param priority - priority of its queue
   * @returns the demand that it must leave free; undefined when it may use all
   */
  getHeld(targetId: string, stepKey: string, priority: number): TaskDemand | undefined {
    const reservation = this.#byTarget.get(targetId);
    if (reservation === undefined || reservation.stepKey === stepKey) return undefined;
    return reservation.priority <= priority ? reservation.demand : undefined;
  }

  /**
   * Ends reservations that are too old or no longer needed.
   * @param nowMs - current time
   * @param isNeeded - checks whether the step still waits and the target can still be used
   * @returns the number of ended ones
   */
  refresh(nowMs: number, isNeeded: (reservation: Reservation) => boolean): number {
    const before = this.#byTarget.size;
    this.#byTarget.forEach((reservation) => {
      const isTooOld = nowMs >= reservation.sinceMs + MAX_RESERVATION_AGE_MS;
      if (isTooOld || !isNeeded(reservation)) this.#end(reservation.targetId, nowMs);
    });
    return before - this.#byTarget.size;
  }

  /**
   * Reserves targets on which the tasks are expected to fit soon.
   * @param request - the tasks
   * @param nowMs - current time
   * @returns the reserved targets; none when the tasks are not expected to start in time, or for a gang not all of them
   */
  reserve(request: ReservationRequest, nowMs: number): readonly Reservation[] {
    const { stepKey, priority, demand, taskCount, isGang, targets, serviceTargetCount } = request;
    const limit = Math.max(1, Math.floor(serviceTargetCount * MAX_RESERVED_FRACTION));
    const maxCount = limit - this.#byTarget.size;
    if (maxCount <= 0 || taskCount <= 0) return [];
    const slots = targets
      .filter(({ targetId }) => this.#isAvailable(targetId, nowMs))
      .map((target) => forecastSlots(target, demand, isGang ? taskCount : 1))
      .filter(({ count }) => count > 0)
      .sort((left, right) => right.count - left.count || left.inMs - right.inMs)
      .slice(0, maxCount);
    const reserved: Reservation[] = [];
    let missingCount = taskCount;
    slots.forEach(({ targetId, count }) => {
      if (missingCount <= 0) return;
      const heldCount = Math.min(count, missingCount);
      missingCount -= heldCount;
      reserved.push({
        ...{ stepKey, priority, targetId, taskCount: heldCount, sinceMs: nowMs },
        demand: addDemand(NO_DEMAND, demand, heldCount),
      });
    });
    if (isGang && missingCount > 0) return [];
    reserved.forEach((reservation) => this.#byTarget.set(reservation.targetId, reservation));
    return reserved;
  }

  #isAvailable(targetId: string, nowMs: number): boolean {
    if (nowMs >= (this.#pausedUntilMs.get(targetId) ?? nowMs)) this.#pausedUntilMs.delete(targetId);
    return !this.#byTarget.has(targetId) && !this.#pausedUntilMs.has(targetId);
  }

  #end(targetId: string, nowMs: number): void {
    this.#byTarget.delete(targetId);
    this.#pausedUntilMs.set(targetId, nowMs + RESERVATION_PAUSE_MS);
  }
}
