/** Progress of the tasks of one step in one occurrence: done tasks, failed runs and checkpoints. */

import type { Checkpoint } from '../types/ids';
import { formatRanges, parseRanges } from './indexRanges';

/**
 * A target incarnation that ended, or may have ended, right after it had started a task. It is also recorded before
 * a suspected task is started, so that a later owner knows of a crash that this one does not live to record.
 */
export interface CrashReport {
  /** Address and start time of the incarnation. */
  readonly incarnation: string;
  /** Milliseconds since 1970. */
  readonly recordedAtMs: number;
  /** Whether the incarnation is known to have ended; until then it may be alive and the report is void. */
  readonly isConfirmed?: boolean | undefined;
  /**
   * Number of tasks, a gang counting as one, that had just been started there; undefined when no owner saw the
   * connection close.
   */
  readonly suspectCount?: number | undefined;
  /** Age of the task's run when the loss was noticed. */
  readonly ageMs?: number | undefined;
  /** Number of the run that was lost; undefined for a trial that has not started. */
  readonly run?: number | undefined;
  /** Number of runs that the incarnation held; with as many reports, a later owner knows all of them. */
  readonly runCount?: number | undefined;
  /** Whether other tasks had been started there later, so that one report alone is no reason for a trial. */
  readonly isUnlikely?: boolean | undefined;
  /** Whether targets without recent starts were lost around the same time, so that the task need not be the cause. */
  readonly isDoubtful?: boolean | undefined;
}

/**
 * Checks whether a report only tells what ran on a lost target.
 * @param crash - the report
 * @returns true when the task had been started long before the loss
 */
export function isBystanderReport({ isUnlikely, ageMs }: CrashReport): boolean {
  return isUnlikely === true && ageMs === undefined;
}

/** Stored form of a step's progress; empty fields are omitted. */
export interface StoredStepProgress {
  /** Tasks that are done, as ranges. */
  readonly done?: string | undefined;
  /** Numbers of the failed runs by task. */
  readonly failedRuns?: Readonly<Record<string, readonly number[]>> | undefined;
  /** Last checkpoint by task, for tasks with a run that ended before completion. */
  readonly checkpoints?: Readonly<Record<string, string>> | undefined;
  /** Crashes that a task may have caused, by task. */
  readonly crashes?: Readonly<Record<string, readonly CrashReport[]>> | undefined;
}

/** Progress of the tasks of one step. Every change is idempotent. */
export class StepProgress {
  #taskCount: number;

  #done: Set<number>;

  #failedRuns = new Map<number, Set<number>>();

  #checkpoints = new Map<number, Checkpoint>();

  #crashes = new Map<number, readonly CrashReport[]>();

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
    Object.entries(stored.crashes ?? {}).forEach(([index, crashes]) => {
      if (!this.#done.has(Number(index))) this.#crashes.set(Number(index), crashes);
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

  /** Tasks that are suspected of having crashed a target, with the reports. */
  get crashes(): ReadonlyMap<number, readonly CrashReport[]> {
    return this.#crashes;
  }

  /**
   * @param index - the task
   * @returns true when a target has probably crashed because of it, so that it is started only in a trial
   */
  isSuspect(index: number): boolean {
    const crashes = (this.#crashes.get(index) ?? []).filter((crash) => !isBystanderReport(crash));
    return crashes.length > 1 || crashes.some(({ isUnlikely }) => isUnlikely !== true);
  }

  /** Whether any task is a suspect. */
  get hasSuspect(): boolean {
    if (this.#crashes.size === 0) return false;
    return [...this.#crashes.keys()].some((index) => this.isSuspect(index));
  }

  /**
   * Adds a report, or replaces that of the same incarnation, so that a crash counts once.
   * @param index - the task
   * @param crash - the report
   */
  setCrash(index: number, crash: CrashReport): void {
    const others = (this.#crashes.get(index) ?? []).filter(
      ({ incarnation }) => incarnation !== crash.incarnation,
    );
    this.#crashes.set(index, [...others, crash]);
  }

  /**
   * Removes the report of an incarnation that has turned out to be alive.
   * @param index - the task
   * @param incarnation - the incarnation
   * @returns false when there is none
   */
  removeCrash(index: number, incarnation: string): boolean {
    const crashes = this.#crashes.get(index) ?? [];
    const others = crashes.filter((crash) => crash.incarnation !== incarnation);
    if (others.length === crashes.length) return false;
    if (others.length === 0) this.#crashes.delete(index);
    else this.#crashes.set(index, others);
    return true;
  }

  /**
   * Ends the suspicion against a task.
   * @param index - the task
   */
  clearCrashes(index: number): void {
    this.#crashes.delete(index);
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
    this.#crashes.delete(index);
    return true;
  }

  /** Marks all tasks as done. */
  setAllDone(): void {
    for (let index = 0; index < this.#taskCount; index += 1) this.#done.add(index);
    this.#checkpoints.clear();
    this.#crashes.clear();
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
      ...(this.#crashes.size > 0 ? { crashes: Object.fromEntries(this.#crashes) } : {}),
    };
  }
}
