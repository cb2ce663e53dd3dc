/**
 * When a second copy of a running task pays. Answers targets that have turned slow: without copies a
 * step waits for the slowest of its tasks.
 */

import { MIN_SPECULATION_AGE_MS, STRAGGLER_SLOWDOWN, SLOW_TARGET_THRESHOLD } from './constants';
import type { Run } from './run';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

/** Estimates are too rough to tell; other tasks of the step do, or other steps on the same target. */
function isSlow(step: StepState, run: Run, target: TargetState, nowMs: number): boolean {
  const { meanDurationMs } = step;
  if (meanDurationMs === undefined && target.slowdown <= SLOW_TARGET_THRESHOLD) return false;
  const usualMs = meanDurationMs ?? step.spec.estimateMs;
  return nowMs - run.sentAtMs > Math.max(MIN_SPECULATION_AGE_MS, usualMs * STRAGGLER_SLOWDOWN);
}

/** Each copy may fail and use up an attempt, so a task that has failed is not copied. */
function isAffordable(step: StepState, index: number): boolean {
  return step.record.queue.attemptLimit > 1 && step.progress.getFailureCount(index) === 0;
}

/**
 * Finds the runs of a step of which a copy should be started where room is left.
 * @param step - the step
 * @param getTarget - finds the target of a run
 * @param nowMs - our clock
 * @returns the runs
 */
export function getRunsToCopy(
  step: StepState,
  getTarget: (run: Run) => TargetState | undefined,
  nowMs: number,
): readonly Run[] {
  const { policy } = step.spec;
  if (policy.kind !== 'batch' || !policy.isSpeculative || step.waiting.size > 0) return [];
  return [...step.runs.values()].flatMap(([run, copy]) => {
    if (run === undefined || copy !== undefined || run.phase !== 'running') return [];
    const target = getTarget(run);
    if (target === undefined || !isAffordable(step, run.index)) return [];
    return isSlow(step, run, target, nowMs) ? [run] : [];
  });
}
