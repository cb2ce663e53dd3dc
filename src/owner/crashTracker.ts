/** Keeps the reports of crashed targets: who may have caused a crash, who is cleared and who is given up. */

import { toTaskKey } from '../work/taskKeys';
import { isBystanderReport } from '../work/stepProgress';
import type { CrashReport } from '../work/stepProgress';
import {
  countSuspects,
  CRASH_DELAY_MS,
  getSuspectRuns,
  isGivenUp,
  isSole,
  isUnlikelyCause,
} from './crashEvidence';
import type { OwnerState } from './ownerState';
import { toRunKey } from './run';
import type { Run } from './run';
import type { StepState } from './stepState';
import { toIncarnation } from './incarnationName';
import type { TargetState } from './targetState';
import type { TrialPlacement } from './trial';
import type { TargetFailure } from './types';

/** Losses of targets without a recent start make crashes within this time before and after them doubtful. */
const DOUBT_WINDOW_MS = 15_000;

/** All runs of a target are reported once it has been lost for this long; most interruptions are shorter. */
const REPORT_DELAY_MS = 100;

/** A task and its step. */
export interface TaskRef {
  readonly step: StepState;
  readonly index: number;
}

function isInTrial({ trial }: TargetState, { step, index }: TaskRef): boolean {
  if (trial?.step !== step) return false;
  return trial.placements.some((placement) => placement.index === index);
}

/** Records which tasks may have crashed their targets, durably and once for each crash. */
export class CrashTracker {
  #state: OwnerState;

  /** Tasks with a report, by target incarnation. */
  #tasks = new Map<string, Set<TaskRef>>();

  /** Incarnations whose runs the stored reports may name, also if they are being removed. */
  #reportedIncarnations = new Set<string>();

  /** Times at which targets without a recent start were lost, by incarnation. */
  #unexplainedLosses = new Map<string, number>();

  /**
   * @param state - the shared state of the owner
   */
  constructor(state: OwnerState) {
    this.#state = state;
  }

  /**
   * Takes over the stored reports of a step.
   * @param step - the step
   * @returns the tasks that a former owner had not given up yet
   */
  addStored(step: StepState): readonly TaskRef[] {
    return [...step.progress.crashes].flatMap(([index, crashes]) => {
      crashes.forEach((crash) => this.#addTask(crash, { step, index }));
      return isGivenUp(crashes) ? [{ step, index }] : [];
    });
  }

  /**
   * Handles reports that belong to submissions which have not been read.
   * @param incarnations - the incarnations that they name
   */
  addUnread(incarnations: readonly string[]): void {
    incarnations.forEach((incarnation) => this.#reportedIncarnations.add(incarnation));
  }

  /**
   * Handles a request that a target did not answer. Tasks that were started right before the loss are suspected.
   * @param target - the target
   * @param failure - how the request failed
   */
  onNoAnswer(target: TargetState, failure: TargetFailure): void {
    const { nowMs } = this.#state;
    const lost = target;
    const isFirst = lost.lostAtMs === undefined;
    lost.lostAtMs ??= nowMs;
    const isClosed =
      (failure.kind === 'lost' || failure.kind === 'notSent') &&
      failure.isConnectionClosed === true;
    if (lost.entry.isDraining) return;
    const suspects = getSuspectRuns(lost, isClosed && failure.kind === 'lost' && isFirst, nowMs);
    if (suspects.length === 0) {
      if (isFirst && lost.isContacted) this.#unexplainedLosses.set(lost.incarnation, nowMs);
      return;
    }
    if (!isClosed || lost.wasConnectionClosed) return;
    lost.wasConnectionClosed = true;
    this.#unexplainedLosses.delete(lost.incarnation);
    this.#report(lost, suspects);
  }

  /**
   * Handles an answer of a target: it has not crashed, and a task whose trial it has survived is cleared.
   * @param target - the target
   * @param sentAtMs - when the answered request was sent
   */
  onAnswered(target: TargetState, sentAtMs: number): void {
    const answering = target;
    answering.lostAtMs = undefined;
    answering.wasConnectionClosed = false;
    this.#unexplainedLosses.delete(answering.incarnation);
    this.#voidReports(answering);
    this.#tasks.get(answering.incarnation)?.forEach((task) => {
      this.#checkAlive(answering, task, sentAtMs);
    });
  }

  /**
   * Reports all runs of a target that has been silent for some time. A later owner then knows what may run there
   * and need not keep other work waiting until the target is back.
   * @param lost - a target that does not respond
   */
  onStillLost(lost: TargetState): void {
    const target = lost;
    if (target.areRunsReported || target.lostAtMs === undefined) return;
    // A later owner would take the reported runs for all of them.
    if (target.hasUnreadRuns) return;
    const delayMs = this.#state.isHandingOver ? 0 : REPORT_DELAY_MS;
    if (this.#state.nowMs < target.lostAtMs + delayMs) return;
    target.areRunsReported = true;
    // A run of a task that is done, or of an ended submission, is being stopped and is not started again.
    const runs = [...target.runs.values()].filter(
      ({ step, index }) => step.record.outcome === undefined && !step.progress.isTaskDone(index),
    );
    runs.forEach(({ step, index, run }) => {
      const { incarnation } = target;
      const known = CrashTracker.#getReport({ step, index }, incarnation);
      const added = { incarnation, recordedAtMs: this.#state.wallMs, isUnlikely: true };
      this.#setReport({ step, index }, { ...(known ?? added), run, runCount: runs.length });
    });
  }

  /**
   * Handles the end of a target's lease: its runs have ended, so a later owner must not take them for running.
   * @param target - a target that still does not answer
   */
  onLeaseExpired(target: TargetState): void {
    [...(this.#tasks.get(target.incarnation) ?? [])].forEach((task) =>
      this.#forgetRun(task, target.incarnation),
    );
  }

  /**
   * Gets the runs that a former owner has reported for a target.
   * @param target - a target that this owner has not polled yet
   * @returns the tasks with their run numbers, or undefined when not all of them are known
   */
  getReportedRuns(
    target: TargetState,
  ): readonly (TaskRef & { readonly run: number })[] | undefined {
    const reports = [...(this.#tasks.get(target.incarnation) ?? [])].flatMap(({ step, index }) => {
      const crash = CrashTracker.#getReport({ step, index }, target.incarnation);
      return crash?.run === undefined ? [] : [{ step, index, run: crash.run, crash }];
    });
    const isComplete =
      reports.length > 0 &&
      reports.every(
        ({ step, index, crash }) => crash.runCount === reports.length && step.waiting.has(index),
      );
    return isComplete ? reports : undefined;
  }

  /**
   * Checks whether a later owner may find reports that name the runs of an incarnation.
   * @param incarnation - an incarnation, which may have ended
   * @returns false when no report that this owner has read or written names any
   */
  mayBeReported(incarnation: string): boolean {
    return this.#reportedIncarnations.has(incarnation);
  }

  /**
   * Handles the end of a target incarnation, other than a planned one.
   * @param target - the target; its runs have not been released yet
   * @returns the tasks to give up
   */
  onCrashed(target: TargetState): readonly TaskRef[] {
    if (target.entry.isDraining) {
      this.#removeReports(target.incarnation);
      return [];
    }
    this.#state.count('targets_crashed');
    // The time of a loss that was silent or not noticed is known less well.
    if (!target.wasConnectionClosed) {
      const suspects = getSuspectRuns(target, false, this.#state.nowMs);
      // The registry may list an incarnation again that has ended; it was never contacted.
      if (suspects.length === 0 && target.isContacted)
        this.#unexplainedLosses.set(target.incarnation, this.#state.nowMs);
      this.#report(target, suspects);
    }
    this.#tasks.get(target.incarnation)?.forEach((task) => {
      const { trial } = target;
      const isReserved = trial?.step === task.step && trial.run === undefined;
      if (isReserved) this.removeReport(task, target.incarnation);
    });
    return this.#confirm(target.incarnation, target);
  }

  /**
   * Confirms the stored reports of earlier incarnations at the address of a target.
   * @param target - a target that has been registered
   * @returns the tasks to give up
   */
  onRegistered(target: TargetState): readonly TaskRef[] {
    const prefix = toIncarnation(target.entry.address, 0).slice(0, -1);
    const earlier = [...this.#tasks.keys()].filter(
      (incarnation) => incarnation.startsWith(prefix) && incarnation !== target.incarnation,
    );
    return earlier.flatMap((incarnation) => this.#confirm(incarnation, undefined));
  }

  /**
   * Records that a suspected task is about to be started on a target.
   * @param step - the step of the task
   * @param placement - the task and the target
   */
  reportTrial(step: StepState, { index, target }: TrialPlacement): void {
    this.#setReport(
      { step, index },
      { incarnation: target.incarnation, recordedAtMs: this.#state.wallMs },
    );
  }

  /**
   * Removes the report of one incarnation.
   * @param task - the task
   * @param incarnation - an incarnation that the task did not crash
   */
  removeReport(task: TaskRef, incarnation: string): void {
    this.#tasks.get(incarnation)?.delete(task);
    if (task.step.progress.removeCrash(task.index, incarnation)) this.#markDirty(task.step);
  }

  /** @returns the suspected tasks for operators */
  dump(): readonly object[] {
    return [...this.#state.open].flatMap((record) =>
      [...record.steps].flatMap((step) =>
        [...step.progress.crashes].map(([index, crashes]) => ({
          task: toTaskKey(step.key, index),
          sinceMs: crashes[0]?.recordedAtMs,
          crashes,
        })),
      ),
    );
  }

  /** Reports the runs that may have caused a loss. */
  #report(target: TargetState, suspects: readonly Run[]): void {
    if (suspects.length === 0) return;
    const { incarnation, wasConnectionClosed } = target;
    if (wasConnectionClosed) this.#addCrashingQueues(suspects);
    const suspectCount = wasConnectionClosed ? countSuspects(suspects) : undefined;
    const recordedAtMs = this.#state.wallMs;
    const tasks = suspects.map((run) => {
      const { step, index, taskKey: task } = run;
      const ageMs = Math.round((target.lostAtMs ?? this.#state.nowMs) - run.sentAtMs);
      const likelihood = isUnlikelyCause(run, suspects) ? { isUnlikely: true } : {};
      this.#setReport(
        { step, index },
        { incarnation, recordedAtMs, suspectCount, ageMs, run: run.run, ...likelihood },
      );
      return { task, ageMs, ...likelihood };
    });
    this.#state.log(
      'tasks suspected of a lost target',
      {
        targetId: target.id,
        incarnation,
        isConnectionClosed: wasConnectionClosed,
        tasks,
        runCount: target.runs.size,
      },
      'warn',
    );
    this.#state.count('tasks_suspected', suspects.length);
    suspects.forEach((run) => this.#exonerateOthers(run, incarnation));
  }

  /** Remembers the queues of the most likely causes. */
  #addCrashingQueues(suspects: readonly Run[]): void {
    suspects
      .filter((run) => !isUnlikelyCause(run, suspects))
      .forEach(({ step }) => {
        this.#state.crashingQueues.set(step.record.queue.id, this.#state.nowMs);
      });
  }

  /**
   * A task that was lost with a target of its own was most likely the cause of its earlier losses too, so the other
   * suspects of those are released.
   */
  #exonerateOthers({ step, index }: TaskRef, latestIncarnation: string): void {
    const crashes = step.progress.crashes.get(index) ?? [];
    const latest = CrashTracker.#getReport({ step, index }, latestIncarnation);
    if (latest === undefined || !isSole(latest)) return;
    crashes
      .filter(({ incarnation }) => incarnation !== latestIncarnation)
      .forEach(({ incarnation }) => {
        this.#tasks.get(incarnation)?.forEach((other) => {
          const isSame = other.step === step && (step.isGang || other.index === index);
          if (!isSame) this.#exonerate(other, incarnation);
        });
      });
  }

  /** While the incarnation may be alive, the report still tells a later owner what may run there. */
  #exonerate(task: TaskRef, incarnation: string): void {
    const crash = CrashTracker.#getReport(task, incarnation);
    if (crash === undefined) return;
    if (crash.isConfirmed === true) this.removeReport(task, incarnation);
    else this.#setReport(task, { ...crash, isUnlikely: true });
  }

  /** An answer proves that the incarnation is alive, unless the task's trial there has just begun or is due. */
  #checkAlive(target: TargetState, task: TaskRef, sentAtMs: number): void {
    const { step, index } = task;
    if (!isInTrial(target, task)) {
      this.removeReport(task, target.incarnation);
      return;
    }
    const run = target.trial?.run;
    if (run === undefined) return;
    const taskKey = toTaskKey(step.key, index);
    const tried = target.runs.get(toRunKey(taskKey, run));
    if (tried?.confirmedAtMs === undefined || tried.phase !== 'running') return;
    if (sentAtMs < tried.confirmedAtMs + CRASH_DELAY_MS) return;
    this.#tasks.get(target.incarnation)?.delete(task);
    step.progress.clearCrashes(index);
    this.#markDirty(step);
    this.#state.count('tasks_cleared');
    this.#state.log('task cleared of the suspicion', { task: taskKey, targetId: target.id });
  }

  /** Confirms all reports of an incarnation. */
  #confirm(incarnation: string, target: TargetState | undefined): readonly TaskRef[] {
    const tasks = [...(this.#tasks.get(incarnation) ?? [])];
    this.#tasks.delete(incarnation);
    const isDoubtful = this.#isDoubtful();
    return tasks.filter(({ step, index }) => {
      const crash = CrashTracker.#getReport({ step, index }, incarnation);
      if (crash === undefined || step.record.outcome !== undefined) return false;
      if (isBystanderReport(crash)) {
        this.removeReport({ step, index }, incarnation);
        return false;
      }
      if (crash.isConfirmed !== true) {
        step.progress.setCrash(index, {
          ...crash,
          isConfirmed: true,
          ...(isDoubtful ? { isDoubtful } : {}),
        });
        this.#markDirty(step);
      }
      const known = step.progress.crashes.get(index) ?? [];
      this.#state.log('target crashed under a suspected task', {
        task: toTaskKey(step.key, index),
        targetId: target?.id,
        incarnation,
        crashes: known,
      });
      return isGivenUp(known);
    });
  }

  #isDoubtful(): boolean {
    const { nowMs } = this.#state;
    this.#unexplainedLosses.forEach((atMs, incarnation) => {
      if (nowMs > atMs + DOUBT_WINDOW_MS) this.#unexplainedLosses.delete(incarnation);
    });
    return this.#unexplainedLosses.size > 0;
  }

  /** The target is used again once no stored report tells a later owner that it holds only the reported runs. */
  #voidReports(answering: TargetState): void {
    const target = answering;
    if (!target.areRunsReported) return;
    target.areRunsReported = false;
    const tasks = [...(this.#tasks.get(target.incarnation) ?? [])];
    tasks.forEach((task) => {
      if (isInTrial(target, task)) this.#forgetRun(task, target.incarnation);
      else this.removeReport(task, target.incarnation);
    });
    target.voidedReports = tasks.map(({ step: { record } }) => ({
      record,
      change: record.changeCount,
    }));
  }

  /** Keeps the suspicion of a report, but not what it tells of a run. */
  #forgetRun(task: TaskRef, incarnation: string): void {
    const crash = CrashTracker.#getReport(task, incarnation);
    if (crash === undefined) return;
    if (isBystanderReport(crash)) this.removeReport(task, incarnation);
    else this.#setReport(task, { ...crash, run: undefined, runCount: undefined });
  }

  static #getReport({ step, index }: TaskRef, incarnation: string): CrashReport | undefined {
    const crashes = step.progress.crashes.get(index) ?? [];
    return crashes.find((crash) => crash.incarnation === incarnation);
  }

  #removeReports(incarnation: string): void {
    this.#tasks.get(incarnation)?.forEach((task) => this.removeReport(task, incarnation));
    this.#tasks.delete(incarnation);
  }

  #setReport(task: TaskRef, crash: CrashReport): void {
    const { step, index } = task;
    if (step.progress.isTaskDone(index) || step.record.outcome !== undefined) return;
    this.#addTask(crash, task);
    step.progress.setCrash(index, crash);
    this.#markDirty(step);
  }

  #addTask({ incarnation, run }: CrashReport, task: TaskRef): void {
    if (run !== undefined) this.#reportedIncarnations.add(incarnation);
    const tasks = this.#tasks.get(incarnation) ?? new Set<TaskRef>();
    this.#tasks.set(incarnation, tasks);
    const isKnown = [...tasks].some(
      ({ step, index }) => step === task.step && index === task.index,
    );
    if (!isKnown) tasks.add(task);
  }

  #markDirty({ record }: StepState): void {
    this.#state.writer.markDirty(record, this.#state.nowMs);
  }
}
