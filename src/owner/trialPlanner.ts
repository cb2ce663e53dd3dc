/**
 * Starts suspected tasks one by one, each on a target where nothing else has just been started.
 *
 * Load pattern: after a crash in a full fleet a few of ten lost tasks are suspected. Started together again, or
 * beside the work of others, the one that crashes its targets would take the next ones down with all that runs there.
 * Alone on a target, it either proves harmless within a fraction of a second or is known to be the cause.
 */

import type { TargetId } from '../types/ids';
import { addDemand, isDemandFitting, NO_DEMAND } from '../work/types';
import type { TaskDemand } from '../work/types';
import type { Candidate } from './candidates';
import { compareSuspicion, CRASH_DELAY_MS, isLikelyCause } from './crashEvidence';
import type { CrashTracker, TaskRef } from './crashTracker';
import { placeGang } from './gangPlacement';
import type { CrashReport } from '../work/stepProgress';
import type { OwnerState } from './ownerState';
import {
  isColocationAllowed,
  isInventoryKnown,
  isSpreadAllowed,
  isTargetEligible,
} from './placement';
import type { RunManager } from './runManager';
import { toRunKey } from './run';
import { toTaskKey } from '../work/taskKeys';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';
import type { Trial, TrialPlacement } from './trial';

/** Fraction of the targets that may be reserved for trials at the same time. */
const MAX_RESERVED_FRACTION = 0.125;

/** Targets that may always be reserved, also in a small fleet. */
const MIN_RESERVED_COUNT = 2;

/** Concurrent trials of one submission; more could crash as many targets before the first is known. */
const MAX_TRIALS_PER_SUBMISSION = 2;

/** A trial waits this long for the runs on its target to end, which a crash would lose. */
const EMPTY_TARGET_PATIENCE_MS = 600;

/** A trial that could not start this long after its reports were durable looks for other targets. */
const MAX_RESERVATION_MS = 2_000;

/** Reports that are not durable by then may not become so soon; the targets are needed for other work. */
const MAX_REPORT_WRITE_MS = 4_000;

/** Time that a crash costs each run on the target besides its work: the target's restart. */
const RESTART_COST_MS = 3_000;

/** Added to the risk of a target without free capacity; exceeds the risk of any other. */
const FULL_TARGET_RISK = 1e15;

/** What the planner provides. */
export interface TrialPlannerInput {
  readonly steps: readonly StepState[];
  /** Gets the targets with a known inventory, at the beginning of a pass. */
  getTargets(): readonly TargetState[];
  getCandidates(step: StepState, targets: readonly TargetState[]): Candidate[];
}

/** Why a reserved trial cannot start any more. */
type TrialObstacle =
  /** Its reports were not stored in time. */
  | 'store'
  /** Its targets were not quiet, or had no room, or there was no ticket for them, for too long. */
  | 'time'
  /** Its task no longer waits. */
  | 'task'
  /** A target has left or restarted, or may no longer be used. */
  | 'target'
  /** The runs of a target are not known any more. */
  | 'inventory';

/** Processor time that a crash of a target would cost its present runs. */
function getRisk(target: TargetState, nowMs: number): number {
  return [...target.runs.values()].reduce(
    (sum, run) => sum + (run.charge.cpuMillis + 1) * (nowMs - run.sentAtMs + RESTART_COST_MS),
    0,
  );
}

/** Checks whether a crash now could only come from the task that is started next. */
function isQuiet(target: TargetState, nowMs: number): boolean {
  return [...target.runs.values()].every(
    (run) => run.phase === 'running' && nowMs >= run.sentAtMs + CRASH_DELAY_MS,
  );
}

/** The reports of a task without those that were recorded for the trial itself. */
function getEarlierReports(
  crashes: readonly CrashReport[],
  targets: readonly TargetState[],
): readonly CrashReport[] {
  return crashes.filter(
    ({ incarnation }) => !targets.some((target) => target.incarnation === incarnation),
  );
}

/** Plans trials of suspected tasks. */
export class TrialPlanner {
  #state: OwnerState;

  #runManager: RunManager;

  #crashTracker: CrashTracker;

  /** When the last reservation for a task was given up, by step and task. */
  #cancelledAtMs = new WeakMap<StepState, Map<number, number>>();

  /**
   * @param state - the shared state of the owner
   * @param runManager - performs the starts
   * @param crashTracker - records the trials
   */
  constructor(state: OwnerState, runManager: RunManager, crashTracker: CrashTracker) {
    this.#state = state;
    this.#runManager = runManager;
    this.#crashTracker = crashTracker;
  }

  /**
   * Starts reserved trials whose targets are ready, ends those that are over and reserves targets for new ones.
   * @param input - the waiting steps in scheduling order, the targets and the planner's checks
   */
  plan(input: TrialPlannerInput): void {
    const trials = this.#getTrials();
    trials.forEach((trial) => {
      if (trial.run === undefined) this.#tryStart(trial, input);
      else this.#endIfOver(trial, trial.run);
    });
    this.#reserve(input);
  }

  #getTrials(): ReadonlySet<Trial> {
    const trials = new Set<Trial>();
    this.#state.watch.getUnusual().forEach(({ trial }) => {
      if (trial !== undefined) trials.add(trial);
    });
    return trials;
  }

  #reserve(input: TrialPlannerInput): void {
    // Without the store no trial can be recorded, so none is planned.
    const suspected = input.steps.filter(
      ({ progress, record }) =>
        progress.hasSuspect && record.durableChangeCount === record.changeCount,
    );
    if (suspected.length === 0) return;
    const maxReserved = Math.max(
      MIN_RESERVED_COUNT,
      Math.ceil(this.#state.targets.size * MAX_RESERVED_FRACTION),
    );
    const getReports = ({ step, index }: TaskRef) => step.progress.crashes.get(index) ?? [];
    suspected
      .flatMap((step) => TrialPlanner.#getSuspects(step))
      .sort(
        (left, right) =>
          this.#getCancelledAtMs(left) - this.#getCancelledAtMs(right) ||
          compareSuspicion(getReports(left), getReports(right)),
      )
      .forEach(({ step, index }) => {
        const trials = [...this.#getTrials()];
        const reservedCount = trials.reduce((sum, { placements }) => sum + placements.length, 0);
        if (reservedCount >= maxReserved && !step.isGang) return;
        if (this.#state.teamLimits.isReached(step)) return;
        const ofSubmission = trials.filter((trial) => trial.step.record === step.record);
        if (ofSubmission.length >= MAX_TRIALS_PER_SUBMISSION) return;
        const isPlanned = ofSubmission.some(
          (trial) =>
            trial.step === step && trial.placements.some((placement) => placement.index === index),
        );
        if (!isPlanned) this.#reserveFor(step, index, input);
      });
  }

  /** Those whose reservations have led to nothing go last, so that each has its turn. */
  #getCancelledAtMs({ step, index }: TaskRef): number {
    return this.#cancelledAtMs.get(step)?.get(index) ?? 0;
  }

  /** The suspected tasks that wait; for a gang, one stands for all. */
  static #getSuspects(step: StepState): readonly TaskRef[] {
    const waiting = [...step.waiting].filter((index) => step.progress.isSuspect(index));
    const isWhole = step.waiting.size === step.spec.taskCount;
    if (step.isGang && !isWhole) return [];
    return waiting.slice(0, step.isGang ? 1 : waiting.length).map((index) => ({ step, index }));
  }

  #reserveFor(step: StepState, index: number, input: TrialPlannerInput): void {
    const { nowMs } = this.#state;
    const free = input.getTargets().filter(({ trial }) => trial === undefined);
    const candidates = input.getCandidates(step, free);
    const placements = step.isGang
      ? this.#placeGangMembers(step, candidates)
      : this.#placeTask(step, index, candidates);
    if (placements === undefined) return;
    placements.forEach((placement) => this.#crashTracker.reportTrial(step, placement));
    const change = step.record.changeCount;
    const trial: Trial = {
      ...{ step, placements, reservedAtMs: nowMs, change },
      ...{ durableAtMs: undefined, run: undefined },
    };
    placements.forEach(({ target }) => Object.assign(target, { trial }));
  }

  /**
   * Prefers targets where the task fits now, and among these the one whose crash would cost least. A full one gets
   * no other starts, so that the task fits once other runs have ended.
   */
  #placeTask(
    step: StepState,
    index: number,
    candidates: readonly Candidate[],
  ): readonly TrialPlacement[] | undefined {
    const { nowMs } = this.#state;
    let best: TargetState | undefined;
    let bestRisk = Number.POSITIVE_INFINITY;
    candidates.forEach(({ target }) => {
      if (!isSpreadAllowed(step, target) || !isColocationAllowed(step, target)) return;
      const isFitting = isDemandFitting(step.charge, target.free);
      const risk = getRisk(target, nowMs) + (isFitting ? 0 : FULL_TARGET_RISK);
      if (risk >= bestRisk) return;
      best = target;
      bestRisk = risk;
    });
    return best === undefined ? undefined : [{ index, target: best }];
  }

  #placeGangMembers(
    step: StepState,
    candidates: readonly Candidate[],
  ): readonly TrialPlacement[] | undefined {
    const { nowMs } = this.#state;
    const empty = candidates.filter(({ target }) => target.runs.size === 0);
    const members = placeGang(step, empty, nowMs) ?? placeGang(step, candidates, nowMs);
    return members?.map(({ index, candidate }) => ({ index, target: candidate.target }));
  }

  #tryStart(reserved: Trial, input: TrialPlannerInput): void {
    const trial = reserved;
    const { nowMs } = this.#state;
    const { step, placements } = trial;
    if (step.record.durableChangeCount >= trial.change) trial.durableAtMs ??= nowMs;
    const targets = [...new Set(placements.map(({ target }) => target))];
    const candidates = new Map<TargetId, Candidate>(
      input.getCandidates(step, targets).map((candidate) => [candidate.target.id, candidate]),
    );
    const obstacle = this.#findObstacle(trial, targets);
    if (obstacle !== undefined) {
      this.#giveUp(trial, obstacle);
      return;
    }
    const isPatient =
      nowMs < trial.reservedAtMs + EMPTY_TARGET_PATIENCE_MS &&
      targets.some((target) => target.runs.size > 0) &&
      placements.some(({ index }) =>
        isLikelyCause(getEarlierReports(step.progress.crashes.get(index) ?? [], targets)),
      );
    const isReady =
      !isPatient &&
      !step.isHeld &&
      trial.durableAtMs !== undefined &&
      // A ticket that has expired is renewed while the targets are reserved.
      targets.every(({ id }) => candidates.has(id)) &&
      targets.every((target) => isQuiet(target, nowMs)) &&
      TrialPlanner.#isFitting(trial) &&
      this.#state.teamLimits.isWithinLimit(step, placements.length);
    if (isReady) this.#start(trial, candidates);
  }

  /** Finds out why a reserved trial cannot start any more. */
  #findObstacle(
    { step, placements, reservedAtMs, durableAtMs }: Trial,
    targets: readonly TargetState[],
  ): TrialObstacle | undefined {
    const { nowMs } = this.#state;
    if (durableAtMs === undefined) {
      if (nowMs >= reservedAtMs + MAX_REPORT_WRITE_MS) return 'store';
    } else if (nowMs >= durableAtMs + MAX_RESERVATION_MS) return 'time';
    const isWaiting = placements.every(({ index }) => step.waiting.has(index));
    if (!this.#state.ready.has(step) || !isWaiting) return 'task';
    // A target that has restarted since the reservation is another incarnation.
    const areUsable = targets.every(
      (target) =>
        this.#state.targets.get(target.id) === target &&
        isTargetEligible(this.#state, step, target),
    );
    if (!areUsable) return 'target';
    return targets.every((target) => isInventoryKnown(target)) ? undefined : 'inventory';
  }

  static #isFitting({ step, placements }: Trial): boolean {
    const demands = new Map<TargetState, TaskDemand>();
    placements.forEach(({ target }) => {
      demands.set(target, addDemand(demands.get(target) ?? NO_DEMAND, step.charge));
    });
    return [...demands].every(([target, demand]) => isDemandFitting(demand, target.free));
  }

  #start(started: Trial, candidates: ReadonlyMap<TargetId, Candidate>): void {
    const trial = started;
    const { step } = trial;
    const run = this.#runManager.allocateRunNumber(step);
    trial.run = run;
    this.#state.count('task_trials');
    trial.placements.forEach(({ index, target }) => {
      this.#state.log('suspected task started apart from others', {
        task: toTaskKey(step.key, index),
        run,
        targetId: target.id,
        runCount: target.runs.size,
        reservedForMs: Math.round(this.#state.nowMs - trial.reservedAtMs),
        reportCount: step.progress.crashes.get(index)?.length ?? 0,
      });
      const ticket = candidates.get(target.id)?.ticket;
      this.#runManager.start(step, index, target, run, ticket);
    });
  }

  /** A trial is over when its tasks are cleared, or when its run is no longer on a target that answers. */
  #endIfOver(trial: Trial, run: number): void {
    const { step, placements } = trial;
    const isPending = placements.some(({ index, target }) => {
      const isRunning = target.runs.has(toRunKey(toTaskKey(step.key, index), run));
      return isRunning && step.progress.isSuspect(index);
    });
    if (!isPending) this.#cancel(trial);
  }

  /** Ends a reservation whose trial has not started. */
  #giveUp(trial: Trial, reason: TrialObstacle): void {
    const { nowMs } = this.#state;
    const { step, placements, reservedAtMs, change } = trial;
    this.#state.count(`trials_given_up_${reason}`);
    this.#state.log('reservation for a trial given up; the task waits for its next turn', {
      reason,
      tasks: placements.map(({ index }) => toTaskKey(step.key, index)),
      targetIds: placements.map(({ target }) => target.id),
      reservedForMs: Math.round(nowMs - reservedAtMs),
      isReportDurable: step.record.durableChangeCount >= change,
      isQuiet: placements.every(({ target }) => isQuiet(target, nowMs)),
      isFitting: TrialPlanner.#isFitting(trial),
      hasTickets: placements.every(
        ({ target }) =>
          step.record.queue.advice === undefined ||
          step.advice.getTicket(target.id, target.entry.incarnationStartMs, nowMs) !== undefined,
      ),
      ...(step.advice.lastCallAtMs === undefined
        ? {}
        : { lastCallAgoMs: Math.round(nowMs - step.advice.lastCallAtMs) }),
    });
    this.#cancel(trial);
  }

  #noteCancellation({ step, placements }: Trial): void {
    const cancelledAtMs = this.#cancelledAtMs.get(step) ?? new Map<number, number>();
    placements.forEach(({ index }) => cancelledAtMs.set(index, this.#state.nowMs));
    this.#cancelledAtMs.set(step, cancelledAtMs);
  }

  /** Frees the targets. A report stays while its target is silent, as it may have crashed. */
  #cancel(trial: Trial): void {
    if (trial.run === undefined) this.#noteCancellation(trial);
    trial.placements.forEach(({ index, target }) => {
      Object.assign(target, { trial: undefined });
      const isAlive = target.isResponding || trial.run === undefined;
      if (isAlive) this.#crashTracker.removeReport({ step: trial.step, index }, target.incarnation);
    });
    this.#state.isPlanDue = true;
  }
}
