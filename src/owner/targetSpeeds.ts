/** Speeds of targets as learnt from the runs that have ended on them. */

import { SpeedEstimates } from '../packing/speeds';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Runs between two removals of targets that have left. */
const PRUNE_INTERVAL_RUNS = 10_000;

/** A run that has ended. */
interface EndedRun {
  readonly target: TargetState;
  readonly durationMs: number;
}

/** Steps with more tasks are compared in parts. */
const MAX_COMPARED_RUNS = 256;

/** The registration names the type of the target as its first label; another one names the rack. */
function getKind({ entry }: TargetState): string {
  return entry.labels[0] ?? '';
}

/**
 * Learns speeds by comparing runs with those of the same step, as estimates of durations are too inaccurate. All runs
 * of a step are compared at once: the first ones to end are the short ones, so that the others would all seem slow.
 */
export class TargetSpeeds {
  #estimates = new SpeedEstimates();

  #ended = new WeakMap<StepState, EndedRun[]>();

  #targets: ReadonlyMap<string, TargetState>;

  #runCount = 0;

  /** @param targets - the targets in use */
  constructor(targets: ReadonlyMap<string, TargetState>) {
    this.#targets = targets;
  }

  /**
   * Records a run that has ended by itself and was not resumed.
   * @param target - its target
   * @param step - its step
   * @param durationMs - its duration
   */
  addRun(target: TargetState, step: StepState, durationMs: number): void {
    const ended = this.#ended.get(step) ?? [];
    this.#ended.set(step, ended);
    ended.push({ target, durationMs });
    if (ended.length < Math.min(step.spec.taskCount, MAX_COMPARED_RUNS)) return;
    this.#ended.delete(step);
    if (ended.length > 1) this.#compare(ended);
  }

  #compare(ended: readonly EndedRun[]): void {
    const usualMs =
      ended.reduce((sum, run) => sum + run.durationMs / this.getSlowness(run.target), 0) /
      ended.length;
    ended.forEach(({ target, durationMs }) =>
      this.#estimates.add(target.id, getKind(target), durationMs / usualMs),
    );
    this.#runCount += ended.length;
    if (this.#runCount < PRUNE_INTERVAL_RUNS) return;
    this.#runCount = 0;
    this.#estimates.prune((targetId) => this.#targets.has(targetId));
  }

  /**
   * Gets how slow a target is.
   * @param target - the target
   * @returns the duration of its runs relative to that on a target of usual speed
   */
  getSlowness(target: TargetState): number {
    return this.#estimates.get(target.id, getKind(target));
  }

  /**
   * Checks whether targets differ in speed.
   * @param targets - the targets of a service
   * @returns true when runs have shown it
   */
  areUneven(targets: readonly TargetState[]): boolean {
    return this.#estimates.areUneven(targets.map(({ id }) => id));
  }
}
