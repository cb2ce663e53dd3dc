/**
 * Learnt speeds of targets. Answers targets whose runs take 0.8 to 1.3 times the mean: with a moving average of each
 * target alone, the variation between tasks of one step hides the speed until a target has ended tens of runs.
 */

import { RecentMean } from './recentMean';

/** Observations that the mean of a target or kind counts at most, so that a change of speed is followed. */
const MAX_TARGET_COUNT = 32;
const MAX_KIND_COUNT = 256;
const MAX_OVERALL_COUNT = 1_024;

/** A single run is counted as at most this many times as slow or as fast, as it may have been held up. */
const MAX_RATIO = 4;

/** Targets are compared once this many of them have ended this many runs. */
const MIN_TARGET_COUNT = 8;
const MIN_COMPARED_TARGETS = 3;

/** A smaller standard deviation of speeds makes no difference to the choice of a target. */
const MIN_SPREAD = 0.07;

/**
 * Standard deviations by which the variance between targets has to exceed that of equal ones. It is checked each second
 * for days, so a chance of one in thousands would do harm.
 */
const SIGNIFICANT_DEVIATIONS = 8;

/** Estimates of the slowness of targets; 1 is usual, and 2 takes twice as long. */
export class SpeedEstimates {
  #targets = new Map<string, RecentMean>();

  #kinds = new Map<string, RecentMean>();

  /** Of all runs: only the speeds of targets relative to each other are known. */
  #overall = new RecentMean(MAX_OVERALL_COUNT);

  /**
   * Records a run.
   * @param targetId - its target
   * @param kind - the kind of the target
   * @param ratio - its duration relative to the one expected on a target of usual speed
   */
  add(targetId: string, kind: string, ratio: number): void {
    if (!Number.isFinite(ratio) || ratio <= 0) return;
    const bounded = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
    const ofTarget = this.#targets.get(targetId) ?? new RecentMean(MAX_TARGET_COUNT);
    const ofKind = this.#kinds.get(kind) ?? new RecentMean(MAX_KIND_COUNT);
    ofTarget.add(bounded);
    ofKind.add(bounded);
    this.#overall.add(bounded);
    this.#targets.set(targetId, ofTarget);
    this.#kinds.set(kind, ofKind);
  }

  /**
   * Estimates how slow a target is.
   * @param targetId - the target
   * @param kind - its kind
   * @returns the factor; that of its kind while it has ended no runs
   */
  get(targetId: string, kind: string): number {
    const usual = this.#overall.mean;
    const ofKind = this.#kinds.get(kind)?.getShrunk(usual) ?? usual;
    return (this.#targets.get(targetId)?.getShrunk(ofKind) ?? ofKind) / usual;
  }

  /**
   * Checks whether targets differ in speed, by a one-way analysis of variance.
   * @param targetIds - the targets of a service
   * @returns true when their means are further apart than the variation between tasks explains
   */
  areUneven(targetIds: readonly string[]): boolean {
    const means = targetIds.flatMap((targetId) => {
      const mean = this.#targets.get(targetId);
      return mean === undefined || mean.count < MIN_TARGET_COUNT ? [] : [mean];
    });
    if (means.length < MIN_COMPARED_TARGETS) return false;
    const total = means.reduce((sum, { count }) => sum + count, 0);
    const overall = means.reduce((sum, { count, mean }) => sum + count * mean, 0) / total;
    const within = means.reduce((sum, { count, variance }) => sum + count * variance, 0) / total;
    const between = means.reduce((sum, { count, mean }) => sum + count * (mean - overall) ** 2, 0);
    if (between / total < MIN_SPREAD ** 2) return false;
    const freedom = means.length - 1;
    return between > within * (freedom + SIGNIFICANT_DEVIATIONS * Math.sqrt(2 * freedom));
  }

  /**
   * Forgets targets.
   * @param isKnown - checks whether a target is still in use
   */
  prune(isKnown: (targetId: string) => boolean): void {
    this.#targets.forEach((_mean, targetId) => {
      if (!isKnown(targetId)) this.#targets.delete(targetId);
    });
  }
}
