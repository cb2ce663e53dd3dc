/** One step of one occurrence of a submission while it has tasks to run. */

import type { Checkpoint, StepKey } from '../types/ids';
import type { StepProgress } from '../work/stepProgress';
import { toStepKey } from '../work/taskNames';
import { getChargedDemand } from '../work/types';
import type { StepSpec, TaskDemand } from '../work/types';
import type { Run, RunKey } from './run';
import { StepAdvice } from './stepAdvice';
import type { SubmissionRecord } from './submissionRecord';

/** A step: which of its tasks wait, which run, and what the advice service said of it. */
export class StepState {
  #waiting = new Set<number>();

  #runs = new Map<number, Run[]>();

  #closedAtMs = new Map<RunKey, number>();

  #lastRun = 0;

  #doneCount = 0;

  #doneMs = 0;

  readonly key: StepKey;

  readonly charge: TaskDemand;

  readonly advice = new StepAdvice();

  /** Since when all earlier steps are done; undefined before. */
  readyAtMs: number | undefined;

  /** A former owner may have started tasks of it that no target has listed yet. */
  mayRunUnseen = false;

  /** Start of the latest run of any of its tasks. */
  lastStartAtMs = 0;

  /**
   * @param record - the submission
   * @param occurrence - number of the occurrence
   * @param number - number of the step
   * @param spec - what was asked for
   * @param progress - what is known of its tasks
   */
  constructor(
    readonly record: SubmissionRecord,
    readonly occurrence: number,
    readonly number: number,
    readonly spec: StepSpec,
    readonly progress: StepProgress,
  ) {
    this.key = toStepKey(record.submission.id, occurrence, number);
    this.charge = getChargedDemand(spec);
    for (let index = 0; index < spec.taskCount; index += 1) {
      if (!progress.isTaskDone(index)) this.#waiting.add(index);
    }
  }

  /** Tasks that are neither done nor charged anywhere. */
  get waiting(): ReadonlySet<number> {
    return this.#waiting;
  }

  /** Runs by task; more than one only for copies. */
  get runs(): ReadonlyMap<number, readonly Run[]> {
    return this.#runs;
  }

  /** True for a gang. */
  get isGang(): boolean {
    return this.spec.policy.kind === 'gang';
  }

  /** True for tasks that last. */
  get isStanding(): boolean {
    return this.spec.policy.kind === 'standing';
  }

  /** True when every task is done. */
  get isDone(): boolean {
    return this.progress.isDone;
  }

  /**
   * Counts what counts towards the attempts of a task.
   * @param index - the task
   * @returns its failed runs; for a gang those of all members together
   */
  getFailureCount(index: number): number {
    return this.isGang ? this.progress.getGangFailureCount() : this.progress.getFailureCount(index);
  }

  /** When its submission should be done, in milliseconds since 1970. */
  get dueAtMs(): number {
    return this.record.getReleasedAtMs(this.occurrence) + this.record.objectiveMs;
  }

  /** Mean duration of the runs that were done; undefined before the first. */
  get meanDurationMs(): number | undefined {
    return this.#doneCount === 0 ? undefined : this.#doneMs / this.#doneCount;
  }

  /**
   * Notes how long a run took that was done.
   * @param durationMs - its duration
   */
  addDuration(durationMs: number): void {
    this.#doneCount += 1;
    this.#doneMs += durationMs;
  }

  /**
   * Gets the number for the next run; it is higher than that of every run known.
   * @param lowest - the lowest number that this owner may give
   * @returns the number
   */
  takeRunNumber(lowest: number): number {
    this.#lastRun = Math.max(this.#lastRun + 1, lowest);
    return this.#lastRun;
  }

  /**
   * Notes a run that was given or found.
   * @param run - the run
   */
  addRun(run: Run): void {
    this.#lastRun = Math.max(this.#lastRun, run.run);
    this.#waiting.delete(run.index);
    const runs = this.#runs.get(run.index) ?? [];
    if (runs.includes(run)) return;
    runs.push(run);
    this.#runs.set(run.index, runs);
  }

  /**
   * Notes that a run no longer exists; its task waits again unless it is done or runs elsewhere.
   * @param run - the run
   * @param nowMs - our clock
   */
  removeRun(run: Run, nowMs: number): void {
    this.#closedAtMs.set(run.key, nowMs);
    const left = (this.#runs.get(run.index) ?? []).filter((other) => other !== run);
    if (left.length > 0) {
      this.#runs.set(run.index, left);
      return;
    }
    this.#runs.delete(run.index);
    if (!this.progress.isTaskDone(run.index)) this.#waiting.add(run.index);
  }

  /**
   * @param key - a run
   * @returns when it was found to have ended; undefined while it may run
   */
  getClosedAtMs(key: RunKey): number | undefined {
    return this.#closedAtMs.get(key);
  }

  /** Forgets waiting tasks that have become done. */
  dropDoneTasks(): void {
    this.#waiting.forEach((index) => {
      if (this.progress.isTaskDone(index)) this.#waiting.delete(index);
    });
  }

  /**
   * Gets what a new run of a task resumes from.
   * @param index - the task
   * @returns the checkpoint, if there is one
   */
  getCheckpoint(index: number): Checkpoint | undefined {
    return this.isGang ? this.progress.getGangCheckpoint() : this.progress.getCheckpoint(index);
  }

  /** @returns every run of the step */
  getRuns(): Run[] {
    return [...this.#runs.values()].flat();
  }

  /**
   * Counts the step's runs on one target.
   * @param targetId - the target
   * @returns how many are charged there
   */
  countOn(targetId: string): number {
    let count = 0;
    this.#runs.forEach((runs) => {
      runs.forEach((run) => {
        if (run.targetId === targetId) count += 1;
      });
    });
    return count;
  }
}
