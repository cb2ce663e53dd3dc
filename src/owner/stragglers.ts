/**
 * Detects stragglers, runs for which a speculative copy is worthwhile. Without copies a step completes only when
 * its slowest task does, which may run on a target that has become slow.
 */

import { MIN_SPECULATION_AGE_MS, STRAGGLER_SLOWDOWN, SLOW_TARGET_THRESHOLD } from './constants';
import { getExpectedDurationMs, getUsualQuantileMs } from './expectedDuration';
import type { Run } from './run';
import type { StepState } from './stepState';
import type { TargetState } from './targetState';

function getStragglerAgeMs(expectedMs: number): number {
  return Math.max(MIN_SPECULATION_AGE_MS, expectedMs * STRAGGLER_SLOWDOWN);
}

/**
 * Compares a run with what has been learnt of such steps. If most runs of the step have lasted as long, the step is a
 * long one, and copies would take as long.
 */
function isBeyondUsual(step: StepState, run: Run, usualMs: number, nowMs: number): boolean {
  const isBeyond = ({ sentAtMs }: Run) => nowMs - sentAtMs > getStragglerAgeMs(usualMs);
  if (!isBeyond(run)) return false;
  const runs = step.getRuns();
  return runs.length === 1 || runs.filter(isBeyond).length * 2 <= runs.length;
}

/**
 * A run is compared with completed tasks of its step. Estimates are too inaccurate by themselves and are used
 * only on a target on which runs of other steps have been slow.
 */
function isStraggler(step: StepState, run: Run, target: TargetState, nowMs: number): boolean {
  const { meanDurationMs } = step;
  if (meanDurationMs === undefined && target.slowdown <= SLOW_TARGET_THRESHOLD) {
    const usualMs = getUsualQuantileMs(step);
    return usualMs !== undefined && isBeyondUsual(step, run, usualMs, nowMs);
  }
  const expectedMs = meanDurationMs ?? getExpectedDurationMs(step);
  return nowMs - run.sentAtMs > getStragglerAgeMs(expectedMs);
}

/**
 * A failed copy uses up an attempt, so a task that has failed before is not copied, nor is one that may crash its
 * target.
 */
function hasSpareAttempt(step: StepState, index: number): boolean {
  if (step.progress.isSuspect(index)) return false;
  return step.record.queue.attemptLimit > 1 && step.progress.getFailureCount(index) === 0;
}

/**
 * Finds the runs of a step that should get a speculative copy.
 * @param step - the step
 * @param getTarget - looks up the target of a run
 * @param nowMs - elapsed time of this process
 * @returns the runs
 */
export function findStragglers(
  step: StepState,
  getTarget: (run: Run) => TargetState | undefined,
  nowMs: number,
): readonly Run[] {
  const { policy } = step.spec;
  if (policy.kind !== 'batch' || !policy.isSpeculative || step.waiting.size > 0) return [];
  return [...step.runs.values()].flatMap(([run, copy]) => {
    if (run === undefined || copy !== undefined || run.phase !== 'running') return [];
    const target = getTarget(run);
    if (target === undefined || !hasSpareAttempt(step, run.index)) return [];
    return isStraggler(step, run, target, nowMs) ? [run] : [];
  });
}
