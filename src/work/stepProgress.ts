/** Progress of the tasks of one step in one occurrence: done tasks, failed runs and checkpoints. */

import type { Checkpoint } from '../types/ids';
import { formatRanges, parseRanges } from './indexRanges';

/** Stored form of a step's progress; empty fields are omitted. */
export interface StoredStepProgress {
  /** Tasks that are done, as ranges. */
  readonly done?: string | undefined;
  /** Numbers of the failed runs by task. */
  readonly failedRuns?: Readonly<Record<string, readonly number[]>> | undefined;
  /** Last checkpoint by task, for tasks with a run that ended before completion. */
  readonly checkpoints?: Readonly<Record<string, string>> | undefined;
}

/** Progress of the tasks of one step. Every change is idempotent. */
export class StepProgress {
  #taskCount: number;

  #done: Set<number>;

  #failedRuns = new Map<number, Set<number>>();

  #checkpoints = new Map<number, Checkpoint>();

  /**
   * @param taskCount - number of tasks of the step
   * @param stored - its stored progress, if there is any
   */
  constructor(taskCount: number, stored: StoredStepProgress = {}) {
    this.#taskCount = taskCount;
    this.#done = parseRanges(stored.done ?? '');
    Object.entries(stored.failedRuns ?? {}).forEach(([index, runs]) => {
      this.#failedRuns.set(Number(index), new Set(runs));
    });
    Object.entries(stored.checkpoints ?? {}).forEach(([index, checkpoint]) => {
      this.#checkpoints.set(Number(index), checkpoint as Checkpoint);
    });
  }

  /** Whether every task is done. */
  get isDone(): boolean {
    return this.#done.size >= this.#taskCount;
  }

  /**
   * @param index - the task
   * @returns true when the task is done
   */
  isTaskDone(index: number): boolean {
    return this.#done.has(index);
  }

  /**
   * @param index - the task
   * @returns the number of its failed runs
   */
  getFailureCount(index: number): number {
    return this.#failedRuns.get(index)?.size ?? 0;
  }

  /**
   * Counts the failed runs of a gang, whose members share a run number.
   * @returns the number of distinct failed runs of the step
   */
  getGangFailureCount(): number {
    const runs = new Set<number>();
    this.#failedRuns.forEach((failed) => failed.forEach((run) => runs.add(run)));
    return runs.size;
  }

  /**
   * @param index - the task
   * @returns the checkpoint to resume from, if there is one
   */
  getCheckpoint(index: number): Checkpoint | undefined {
    return this.#checkpoints.get(index);
  }

  /** @returns the checkpoint that was set last, as a checkpoint of any member is valid for the whole gang */
  getGangCheckpoint(): Checkpoint | undefined {
    return [...this.#checkpoints.values()].at(-1);
  }

  /**
   * Marks a task as done.
   * @param index - the task
   * @returns false when it was done already
   */
  setDone(index: number): boolean {
    if (this.#done.has(index)) return false;
    this.#done.add(index);
    this.#checkpoints.delete(index);
    return true;
  }

  /** Marks all tasks as done. */
  setAllDone(): void {
    for (let index = 0; index < this.#taskCount; index += 1) this.#done.add(index);
    this.#checkpoints.clear();
  }

  /**
   * Records a failed run.
   * @param index - the task
   * @param run - the run number
   * @returns false when it was recorded already
   */
  addFailure(index: number, run: number): boolean {
    const runs = this.#failedRuns.get(index) ?? new Set<number>();
    this.#failedRuns.set(index, runs);
    if (runs.has(run)) return false;
    runs.add(run);
    return true;
  }

  /**
   * Records the checkpoint of a run that ended before completion.
   * @param index - the task
   * @param checkpoint - opaque text from which the next run resumes
   * @returns false when the task is done or the checkpoint was recorded already
   */
  setCheckpoint(index: number, checkpoint: Checkpoint): boolean {
    if (this.#done.has(index) || this.#checkpoints.get(index) === checkpoint) return false;
    this.#checkpoints.delete(index);
    this.#checkpoints.set(index, checkpoint);
    return true;
  }

  /** @returns the stored form */
  toStored(): StoredStepProgress {
    const failedRuns = Object.fromEntries(
      [...this.#failedRuns].map(([index, runs]) => [String(index), [...runs]]),
    );
    const checkpoints = Object.fromEntries(
      [...this.#checkpoints].map(([index, checkpoint]) => [String(index), checkpoint]),
    );
    return {
      ...(this.#done.size > 0 ? { done: formatRanges(this.#done) } : {}),
      ...(this.#failedRuns.size > 0 ? { failedRuns } : {}),
      ...(this.#checkpoints.size > 0 ? { checkpoints } : {}),
    };
  }
}
