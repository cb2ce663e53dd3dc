/**
 * Placement on targets that differ in size or speed: gathers what `src/packing` decides by during a scheduling pass,
 * and keeps its reservations. Where all targets of a service are alike it leaves the decisions as they are.
 */

import type { TargetId } from '../types/ids';
import { addDemand, isDemandFitting, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import { getRemainderCost, getSpeedCost } from '../packing/cost';
import { createSizeProfile, getScarcity } from '../packing/profile';
import type { Scarcity, SizeProfile } from '../packing/profile';
import { MAX_RESERVATION_AGE_MS, Reservations } from '../packing/reservations';
import type { ReservableTarget, Reservation } from '../packing/reservations';
import { CandidateCosts, CURRENT_CAPACITY } from './candidates';
import type { Candidate, CapacityView } from './candidates';
import { getExpectedDurationMs } from './expectedDuration';
import type { OwnerState } from './ownerState';
import { getAvoidanceCost, isColocationAllowed, isSpreadAllowed, isTargetInUse } from './placement';
import type { GetPlacementCost } from './placement';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Interval between checks whether speeds differ; they change over tens of runs. */
const SPEED_CHECK_INTERVAL_MS = 1_000;

/** Interval between attempts to reserve targets, which examine the runs of many of them. */
const RESERVE_INTERVAL_MS = 100;

/** A step is considered again after this time, so that others have their turn. */
const RETRY_INTERVAL_MS = 400;

/** Number of steps that are considered at a time. */
const MAX_CONSIDERED_STEPS = 4;

/** A task waits this long for targets that become free by themselves. */
const RESERVE_DELAY_MS = 250;

/** Only tasks with less than this fraction of the demand take the capacity that a larger one cannot use yet. */
const SMALLER_FRACTION = 0.5;

/** A run that has outlasted its forecast is expected to end after this fraction of its age. */
const OVERDUE_FRACTION = 0.25;

/** Number of the last tasks of a step, which its end waits for. */
const LAST_TASK_COUNT = 2;

/** Sizes and speeds of the targets that some steps may use. */
interface TargetsProfile {
  readonly sizes: SizeProfile;
  areSpeedsUneven: boolean;
  speedsCheckedAtMs: number;
}

/** What holds during one pass. */
interface PassProfile {
  readonly profile: TargetsProfile;
  readonly scarcity: Scarcity;
}

/** Whether the duration of a task matters more than its place: the end of the step waits for the last ones. */
function isPressing({ record, waiting, spec }: StepState): boolean {
  return (
    record.queue.priority === 0 ||
    (waiting.size <= LAST_TASK_COUNT && spec.taskCount > LAST_TASK_COUNT)
  );
}

function createPassProfile(targets: readonly TargetState[], profile: TargetsProfile): PassProfile {
  let capacity = NO_DEMAND;
  let free = NO_DEMAND;
  targets.forEach((target) => {
    capacity = addDemand(capacity, target.entry.capacity);
    free = addDemand(free, target.free);
  });
  return { profile, scarcity: getScarcity(capacity, free) };
}

/** Decides by size and speed where the targets of a service differ. */
export class UnevenPlacement {
  #state: OwnerState;

  #steps: readonly StepState[] = [];

  #profiles = new WeakMap<readonly TargetState[], TargetsProfile>();

  #passProfiles = new Map<readonly TargetState[], PassProfile>();

  #reservations = new Reservations();

  /** Keys of the steps that hold reservations in this pass. */
  #reservedKeys: ReadonlySet<string> = new Set();

  /** Runs of the step on the target when it was reserved; more of them show that the reservation was used. */
  #runCounts = new Map<Reservation, number>();

  #consideredAtMs = new WeakMap<StepState, number>();

  #nextReserveAtMs = 0;

  /** @param state - the owner's state */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /** The reservations for the state dump. */
  dump(): readonly object[] {
    const { nowMs } = this.#state;
    return [...this.#reservations.all.values()].map(({ sinceMs, ...reservation }) => ({
      ...reservation,
      forMs: Math.round(nowMs - sinceMs),
    }));
  }

  /**
   * Begins a pass.
   * @param steps - the waiting steps in scheduling order
   */
  begin(steps: readonly StepState[]): void {
    this.#steps = steps;
    this.#passProfiles.clear();
    this.#refreshReservations();
    this.#reservedKeys = new Set(
      [...this.#reservations.all.values()].map(({ stepKey }) => stepKey),
    );
  }

  /**
   * Names what the costs of a step depend on besides its placement class.
   * @param step - the step
   * @returns an empty text where the targets are alike
   */
  getClass(step: StepState): string {
    if (this.#getPassProfile(step) === undefined) return '';
    const binding = this.#reservations.all.size === 0 ? '' : this.#getBindingClass(step);
    return `${isPressing(step)}|${binding}`;
  }

  #getBindingClass({ key, record }: StepState): string {
    return this.#reservedKeys.has(key) ? key : String(record.queue.priority);
  }

  /**
   * Computes the costs of a step's candidates.
   * @param step - the step
   * @param candidates - the targets on which its tasks may be placed now
   * @returns their costs
   */
  createCosts(step: StepState, candidates: readonly Candidate[]): CandidateCosts {
    return new CandidateCosts(step, candidates, this.getView(step), this.getCost(step));
  }

  /**
   * Gets the rule by which targets are compared for a step.
   * @param step - the step
   * @returns undefined where the rule for even targets holds
   */
  getCost(step: StepState): GetPlacementCost | undefined {
    if (step.record.isCrashLikely) return undefined;
    const pass = this.#getPassProfile(step);
    if (pass === undefined) return undefined;
    const { profile, scarcity } = pass;
    const { sizes } = profile;
    const { speeds } = this.#state;
    const isTaskPressing = isPressing(step);
    return (placed, target, free) =>
      getRemainderCost(placed.charge, free, sizes, scarcity) +
      getSpeedCost(speeds.getSlowness(target), isTaskPressing) +
      getAvoidanceCost(placed, target);
  }

  /**
   * Gets the free capacity of targets less what is held against a step.
   * @param step - the step
   * @returns the view
   */
  getView(step: StepState): CapacityView {
    if (this.#reservations.all.size === 0) return CURRENT_CAPACITY;
    return { getFree: (target) => this.#getFree(step, target), getPlacedCount: () => 0 };
  }

  #getFree(step: StepState, target: TargetState): TaskDemand {
    const held = this.#getHeld(step, target);
    return held === undefined ? target.free : addDemand(target.free, held, -1);
  }

  #getHeld({ key, record }: StepState, { id }: TargetState): TaskDemand | undefined {
    if (this.#reservations.all.size === 0) return undefined;
    return this.#reservations.getHeld(id, key, record.queue.priority);
  }

  /**
   * Checks whether a step may use a target beside its reservation.
   * @param step - the step
   * @param target - the target
   * @returns false when capacity is held there against the step and it does not fit beside that
   */
  isOpen(step: StepState, target: TargetState): boolean {
    const held = this.#getHeld(step, target);
    return held === undefined || isDemandFitting(step.charge, addDemand(target.free, held, -1));
  }

  /** Reserves targets for gangs and large tasks that wait beside smaller ones; to be called at the end of a pass. */
  reserve(): void {
    const { nowMs, options } = this.#state;
    if (!options.weighsUnevenTargets || nowMs < this.#nextReserveAtMs) return;
    this.#nextReserveAtMs = nowMs + RESERVE_INTERVAL_MS;
    let remainingCount = MAX_CONSIDERED_STEPS;
    const smallest = this.#getSmallestDemands();
    this.#steps.forEach((step) => {
      if (remainingCount <= 0 || this.#reservedKeys.has(step.key)) return;
      if (!this.#mayReserve(step, smallest)) return;
      remainingCount -= 1;
      this.#consideredAtMs.set(step, nowMs);
      this.#reserveFor(step);
    });
  }

  /** The smallest processor demand of waiting tasks by service and priority. */
  #getSmallestDemands(): ReadonlyMap<string, number> {
    const smallest = new Map<string, number>();
    this.#steps.forEach(({ record, charge, waiting }) => {
      if (waiting.size === 0) return;
      const { serviceName, priority } = record.queue;
      const key = `${priority}|${serviceName}`;
      smallest.set(key, Math.min(smallest.get(key) ?? charge.cpuMillis, charge.cpuMillis));
    });
    return smallest;
  }

  #mayReserve(step: StepState, smallest: ReadonlyMap<string, number>): boolean {
    const { nowMs, teamLimits } = this.#state;
    const { record, readyAtMs = nowMs } = step;
    if (step.waiting.size === 0 || record.isExcess || step.progress.hasSuspect) return false;
    if (nowMs < readyAtMs + RESERVE_DELAY_MS) return false;
    if (nowMs < (this.#consideredAtMs.get(step) ?? -RETRY_INTERVAL_MS) + RETRY_INTERVAL_MS)
      return false;
    if (step.isGang && step.waiting.size < step.spec.taskCount) return false;
    if (teamLimits.isReached(step) || this.#getPassProfile(step) === undefined) return false;
    const { serviceName, priority } = record.queue;
    const competing = [...smallest].some(([key, cpuMillis]) => {
      const separator = key.indexOf('|');
      if (key.slice(separator + 1) !== serviceName || Number(key.slice(0, separator)) < priority)
        return false;
      return cpuMillis < SMALLER_FRACTION * step.charge.cpuMillis;
    });
    return competing || step.isGang;
  }

  #reserveFor(step: StepState): void {
    const { nowMs, eligibleTargets } = this.#state;
    const targets = eligibleTargets.get(step);
    const reserved = this.#reservations.reserve(
      {
        ...{ stepKey: step.key, priority: step.record.queue.priority, demand: step.charge },
        taskCount: step.isGang ? step.spec.taskCount : step.waiting.size,
        isGang: step.isGang,
        targets: targets
          .filter((target) => this.#isReservable(step, target))
          .map((target) => this.#toReservable(step, target)),
        serviceTargetCount: targets.length,
      },
      nowMs,
    );
    if (reserved.length === 0) return;
    reserved.forEach((reservation) => {
      const runCount = step.countRunsOn(reservation.targetId);
      this.#runCounts.set(reservation, runCount);
    });
    this.#state.count('placement_reserved_targets', reserved.length);
    this.#state.log('targets reserved for tasks that find no room beside smaller ones', {
      step: step.key,
      waitingCount: step.waiting.size,
      targetIds: reserved.map(({ targetId }) => targetId),
    });
  }

  #isReservable(step: StepState, target: TargetState): boolean {
    const { id, entry, isPlannable, pausedUntilMs, trial } = target;
    return (
      isPlannable &&
      trial === undefined &&
      pausedUntilMs <= this.#state.nowMs &&
      isDemandFitting(step.charge, entry.capacity) &&
      isSpreadAllowed(step, target) &&
      isColocationAllowed(step, target) &&
      (step.record.queue.advice === undefined ||
        step.advice.isApproved(id, entry.incarnationStartMs))
    );
  }

  /** Time until which the task has to fit; an approved target needs another call for advice once its ticket expires. */
  #getUsableMs(step: StepState, { id, entry }: TargetState): number {
    const { advice } = step.record.queue;
    if (advice === undefined) return MAX_RESERVATION_AGE_MS;
    const callMs = advice.callMs + advice.perTargetMs;
    const lifeMs = step.advice.getTicketLifeMs(id, entry.incarnationStartMs, this.#state.nowMs);
    return Math.max(lifeMs, MAX_RESERVATION_AGE_MS - callMs);
  }

  #toReservable(step: StepState, target: TargetState): ReservableTarget {
    const { nowMs, speeds } = this.#state;
    const slowness = speeds.getSlowness(target);
    const ends = [...target.runs.values()].map((run) => {
      if (run.phase === 'stopping') return { inMs: 0, charge: run.charge };
      if (run.step.isLongRunning) return { inMs: Number.POSITIVE_INFINITY, charge: run.charge };
      const ageMs = nowMs - run.sentAtMs;
      const remainingMs = getExpectedDurationMs(run.step) * slowness - ageMs;
      return { inMs: Math.max(remainingMs, OVERDUE_FRACTION * ageMs), charge: run.charge };
    });
    const usableMs = this.#getUsableMs(step, target);
    return { targetId: target.id, free: target.free, ends, usableMs };
  }

  #refreshReservations(): void {
    if (this.#reservations.all.size === 0) return;
    const { nowMs, targets } = this.#state;
    const steps = new Map(this.#steps.map((step) => [step.key as string, step]));
    this.#reservations.refresh(nowMs, (reservation) => {
      const step = steps.get(reservation.stepKey);
      const target = targets.get(reservation.targetId as TargetId);
      if (step === undefined || target === undefined || !target.isPlannable) return false;
      if (!isTargetInUse(this.#state, target) || step.waiting.size === 0) return false;
      return step.countRunsOn(target.id) <= (this.#runCounts.get(reservation) ?? 0);
    });
    const remaining = new Set(this.#reservations.all.values());
    this.#runCounts.forEach((_count, reservation) => {
      if (!remaining.has(reservation)) this.#runCounts.delete(reservation);
    });
  }

  /** @returns undefined where the targets that the step may use are alike */
  #getPassProfile(step: StepState): PassProfile | undefined {
    if (!this.#state.options.weighsUnevenTargets) return undefined;
    const targets = this.#state.eligibleTargets.get(step);
    const profile = this.#getTargetsProfile(targets);
    if (!profile.sizes.isUneven && !profile.areSpeedsUneven) return undefined;
    const known = this.#passProfiles.get(targets);
    if (known !== undefined) return known;
    const created = createPassProfile(targets, profile);
    this.#passProfiles.set(targets, created);
    return created;
  }

  #getTargetsProfile(targets: readonly TargetState[]): TargetsProfile {
    const { nowMs, speeds } = this.#state;
    let profile = this.#profiles.get(targets);
    if (profile === undefined) {
      const sizes = createSizeProfile(targets.map(({ entry }) => entry.capacity));
      const speedsCheckedAtMs = Number.NEGATIVE_INFINITY;
      profile = { sizes, areSpeedsUneven: false, speedsCheckedAtMs };
      this.#profiles.set(targets, profile);
    }
    if (!profile.sizes.isUneven && nowMs >= profile.speedsCheckedAtMs + SPEED_CHECK_INTERVAL_MS) {
      profile.speedsCheckedAtMs = nowMs;
      profile.areSpeedsUneven = speeds.areUneven(targets);
    }
    return profile;
  }
}
