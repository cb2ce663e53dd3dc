/** Scheduling state of one step in one occurrence of a submission. */

import type { Checkpoint, StepKey } from '../types/ids';
import type { StepProgress } from '../work/stepProgress';
import { toStepKey } from '../work/taskKeys';
import { getChargedDemand } from '../work/types';
import type { StepSpec, TaskDemand } from '../work/types';
import type { StepDurationState } from './learntDurations';
import { getConfirmedAtMs } from './run';
import type { Run, RunKey } from './run';
import { StepAdvice } from './stepAdvice';
import type { SubmissionRecord } from './submissionRecord';

function getPlacementClass(
  { dataRack, isFiller, policy }: StepSpec,
  { cpuMillis, memoryMb, accelerators }: TaskDemand,
): string {
  const latencyTargetMs = policy.kind === 'standing' ? policy.latencyTargetMs : 0;
  return [cpuMillis, memoryMb, accelerators, isFiller, latencyTargetMs > 0, dataRack].join('|');
}

/** When a run that has ended was confirmed, and when its end was detected, on the owner's clock. */
interface LastConfirmed {
  readonly confirmedAtMs: number;
  readonly endedAtMs: number;
}

/** Waiting tasks, runs and advice of one step. */
export class StepState {
  #waiting = new Set<number>();

  #runs = new Map<number, Run[]>();

  #runCountByTarget = new Map<string, number>();

  #endedAtMs = new Map<RunKey, number>();

  #lastConfirmed = new Map<number, LastConfirmed>();

  #lastRunNumber = 0;

  #doneCount = 0;

  #doneDurationMs = 0;

  readonly key: StepKey;

  readonly charge: TaskDemand;

  /** Whether there is an upper bound of the response times of its tasks. */
  readonly isLatencySensitive: boolean;

  /** Names all properties of the tasks on which their placement depends, apart from a limit per target. */
  readonly placementClass: string;

  readonly advice = new StepAdvice();

  /** Time since which all dependencies are done; undefined before that. */
  readyAtMs: number | undefined;

  /** Whether a former owner may have started tasks of the step that no target has listed yet. */
  mayRunUnseen = false;

  /** Start time of the latest run of any of its tasks. */
  lastStartAtMs = 0;

  /** Number of its runs that are to be moved to other targets. */
  relocatingCount = 0;

  /** What is known of the durations of its tasks, if durations are learnt. */
  durationState: StepDurationState | undefined;

  /**
   * @param record - the submission
   * @param occurrence - number of the occurrence
   * @param number - number of the step
   * @param spec - its specification
   * @param progress - progress of its tasks
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
    this.placementClass = getPlacementClass(spec, this.charge);
    this.isLatencySensitive = spec.policy.kind === 'standing' && spec.policy.latencyTargetMs > 0;
    for (let index = 0; index < spec.taskCount; index += 1) {
      if (!progress.isTaskDone(index)) this.#waiting.add(index);
    }
  }

  /**
   * Whether no task may be started yet, as it may run unseen, a later owner would not look for it, or the submission
   * may have been cancelled.
   */
  get isHeld(): boolean {
    const { isServiceRecorded, isCancellationUnread } = this.record;
    return this.mayRunUnseen || !isServiceRecorded || isCancellationUnread;
  }

  /** Tasks that are not done and have no run. */
  get waiting(): ReadonlySet<number> {
    return this.#waiting;
  }

  /** Number of tasks for which targets are needed: those that wait and those that are to be moved. */
  get unplacedCount(): number {
    return this.#waiting.size + this.relocatingCount;
  }

  /** Runs by task; a task with speculative copies has more than one. */
  get runs(): ReadonlyMap<number, readonly Run[]> {
    return this.#runs;
  }

  /** Whether all tasks run as a gang. */
  get isGang(): boolean {
    return this.spec.policy.kind === 'gang';
  }

  /** Whether the tasks are long-running and are restarted however they end. */
  get isLongRunning(): boolean {
    return this.spec.policy.kind === 'standing';
  }

  /** Whether every task is done. */
  get isDone(): boolean {
    return this.progress.isDone;
  }

  /**
   * Counts the failures that count towards the attempt limit of a task.
   * @param index - the task
   * @returns the number of its failed runs; for a gang, of all members together
   */
  getFailureCount(index: number): number {
    return this.isGang ? this.progress.getGangFailureCount() : this.progress.getFailureCount(index);
  }

  /** Time by which the objective has to be met, in milliseconds since 1970. */
  get dueAtMs(): number {
    return this.record.getReleasedAtMs(this.occurrence) + this.record.objectiveMs;
  }

  /** Mean duration of successful runs; undefined before the first. */
  get meanDurationMs(): number | undefined {
    return this.#doneCount === 0 ? undefined : this.#doneDurationMs / this.#doneCount;
  }

  /**
   * Records the duration of a successful run.
   * @param durationMs - its duration
   */
  addDuration(durationMs: number): void {
    this.#doneCount += 1;
    this.#doneDurationMs += durationMs;
  }

  /**
   * Allocates the number of the next run, which is higher than that of every known run.
   * @param lowest - the lowest number that this owner may use
   * @returns the number
   */
  allocateRunNumber(lowest: number): number {
    this.#lastRunNumber = Math.max(this.#lastRunNumber + 1, lowest);
    return this.#lastRunNumber;
  }

  /**
   * Adds a run that was started by this owner or listed by a target.
   * @param run - the run
   */
  addRun(run: Run): void {
    this.#lastRunNumber = Math.max(this.#lastRunNumber, run.run);
    this.#waiting.delete(run.index);
    const runs = this.#runs.get(run.index) ?? [];
    if (runs.includes(run)) return;
    runs.push(run);
    this.#runs.set(run.index, runs);
    this.#runCountByTarget.set(run.targetId, this.countRunsOn(run.targetId) + 1);
  }

  /**
   * Removes a run that has ended. Its task waits again unless it is done or has another run.
   * @param run - the run
   * @param nowMs - elapsed time of this process
   */
  removeRun(run: Run, nowMs: number): void {
    this.#endedAtMs.set(run.key, nowMs);
    this.#setLastConfirmed(run, nowMs);
    const runs = this.#runs.get(run.index) ?? [];
    const remaining = runs.filter((other) => other !== run);
    if (remaining.length < runs.length) this.#removeFromCount(run.targetId);
    if (remaining.length > 0) {
      this.#runs.set(run.index, remaining);
      return;
    }
    this.#runs.delete(run.index);
    if (!this.progress.isTaskDone(run.index)) this.#waiting.add(run.index);
  }

  #setLastConfirmed(run: Run, endedAtMs: number): void {
    const confirmedAtMs = getConfirmedAtMs(run);
    if (confirmedAtMs === undefined) return;
    this.#lastConfirmed.set(run.index, { confirmedAtMs, endedAtMs });
  }

  /**
   * Gets the times of the last run of a task that was confirmed and has ended.
   * @param index - the task
   * @returns the times, or undefined when this owner knows of no such run
   */
  getLastConfirmed(index: number): LastConfirmed | undefined {
    return this.#lastConfirmed.get(index);
  }

  /**
   * Finds the task that has been without a confirmed run for longest, as far as this owner knows.
   * @param indexes - waiting tasks of the step
   * @returns the task and since when it waits, on the owner's clock; undefined when there is none
   */
  getLongestWait(
    indexes: Iterable<number>,
  ): { readonly index: number; readonly sinceMs: number } | undefined {
    const readyAtMs = this.readyAtMs ?? Number.NEGATIVE_INFINITY;
    let longest: { readonly index: number; readonly sinceMs: number } | undefined;
    for (const index of indexes) {
      const endedAtMs = this.#lastConfirmed.get(index)?.endedAtMs;
      const sinceMs = Math.max(readyAtMs, endedAtMs ?? Number.NEGATIVE_INFINITY);
      if (longest === undefined || sinceMs < longest.sinceMs) longest = { index, sinceMs };
      if (endedAtMs === undefined) break;
    }
    return longest;
  }

  /**
   * @param key - a run
   * @returns the time at which its end was detected; undefined while it may be running
   */
  getEndedAtMs(key: RunKey): number | undefined {
    return this.#endedAtMs.get(key);
  }

  /** Removes done tasks from the waiting ones. */
  dropDoneTasks(): void {
    this.#waiting.forEach((index) => {
      if (this.progress.isTaskDone(index)) this.#waiting.delete(index);
    });
  }

  /**
   * Gets the checkpoint from which a new run of a task resumes.
   * @param index - the task
   * @returns the checkpoint, if there is one
   */
  getCheckpoint(index: number): Checkpoint | undefined {
    return this.isGang ? this.progress.getGangCheckpoint() : this.progress.getCheckpoint(index);
  }

  /** @returns all runs of the step */
  getRuns(): Run[] {
    return [...this.#runs.values()].flat();
  }

  /**
   * Counts the step's runs on one target.
   * @param targetId - the target
   * @returns the number of runs charged there
   */
  countRunsOn(targetId: string): number {
    return this.#runCountByTarget.get(targetId) ?? 0;
  }

  #removeFromCount(targetId: string): void {
    const count = this.countRunsOn(targetId) - 1;
    if (count > 0) this.#runCountByTarget.set(targetId, count);
    else this.#runCountByTarget.delete(targetId);
  }
}
