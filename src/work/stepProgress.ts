/** What is known of the tasks of one step in one occurrence: ends, failed runs, checkpoints. */

import type { Checkpoint } from '../types/ids';
import { formatRanges, parseRanges } from './indexRanges';

/** A step's progress as it is stored; fields without content are left out. */
export interface StoredStepProgress {
  /** Tasks that are done, as ranges. */
  readonly done?: string | undefined;
  /** Numbers of the failed runs by task. */
  readonly failedRuns?: Readonly<Record<string, readonly number[]>> | undefined;
  /** Last checkpoint by task that has ended without being done. */
  readonly checkpoints?: Readonly<Record<string, string>> | undefined;
}

/** Progress of the tasks of one step. Every change is idempotent. */
export class StepProgress {
  #taskCount: number;

  #done: Set<number>;

  #failedRuns = new Map<number, Set<number>>();

  #checkpoints = new Map<number, Checkpoint>();

  /**
   * @param taskCount - how many tasks the step has
   * @param stored - what was stored of it, if anything
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

  /** True when every task is done. */
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
   * @returns how many of its runs have failed
   */
  getFailureCount(index: number): number {
    return this.#failedRuns.get(index)?.size ?? 0;
  }

  /**
   * Counts the runs of the whole step that have failed; the members of a gang share their run.
   * @returns the number of different failed runs
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

  /** @returns any task's checkpoint, as every member's is valid for a gang */
  getGangCheckpoint(): Checkpoint | undefined {
    return [...this.#checkpoints.values()].at(-1);
  }

  /**
   * Notes that a task is done.
   * @param index - the task
   * @returns false when it was known
   */
  setDone(index: number): boolean {
    if (this.#done.has(index)) return false;
    this.#done.add(index);
    this.#checkpoints.delete(index);
    return true;
  }

  /** Notes that every task is done. */
  setAllDone(): void {
    for (let index = 0; index < this.#taskCount; index += 1) this.#done.add(index);
    this.#checkpoints.clear();
  }

  /**
   * Notes a failed run.
   * @param index - the task
   * @param run - its number
   * @returns false when it was known
   */
  addFailure(index: number, run: number): boolean {
    const runs = this.#failedRuns.get(index) ?? new Set<number>();
    this.#failedRuns.set(index, runs);
    if (runs.has(run)) return false;
    runs.add(run);
    return true;
  }

  /**
   * Keeps the checkpoint of a run that ended without being done.
   * @param index - the task
   * @param checkpoint - the text to resume with
   * @returns false when it was known
   */
  setCheckpoint(index: number, checkpoint: Checkpoint): boolean {
    if (this.#done.has(index) || this.#checkpoints.get(index) === checkpoint) return false;
    this.#checkpoints.delete(index);
    this.#checkpoints.set(index, checkpoint);
    return true;
  }

  /** @returns what to store of the step */
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
