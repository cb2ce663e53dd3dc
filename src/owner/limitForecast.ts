/** Forecasts when teams that have reached their limits may start tasks again, from the ends of their present runs. */

import type { TeamId } from '../types/ids';
import { getExpectedDurationMs } from './expectedDuration';
import type { Run } from './run';
import type { StepState } from './stepState';
import type { SubmissionRecord } from './submissionRecord';

/** A forecast is used again for this long. */
const VALID_MS = 100;

/**
 * Estimates when a run ends.
 * @param run - the run
 * @param nowMs - elapsed time of this process
 * @returns the remaining time, which may be negative; infinite for a lasting one
 */
export function getRunRemainingEstimateMs(
  { step, percent, percentReportedAtMs, sentAtMs }: Run,
  nowMs: number,
): number {
  if (step.isLongRunning) return Number.POSITIVE_INFINITY;
  const ranMs = percentReportedAtMs - sentAtMs;
  const totalMs = percent > 0 ? (ranMs * 100) / percent : getExpectedDurationMs(step);
  return sentAtMs + totalMs - nowMs;
}

/** Keeps the forecasts of all teams for a short time. */
export class LimitForecast {
  #open: ReadonlySet<SubmissionRecord>;

  #nextEndMs = new Map<TeamId, number>();

  #calculatedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param open - the submissions without an outcome
   */
  constructor(open: ReadonlySet<SubmissionRecord>) {
    this.#open = open;
  }

  /**
   * Checks whether a run of the team of a step is expected to end soon.
   * @param step - a step that the limit of its team keeps back
   * @param withinMs - the time in which the run has to end
   * @param nowMs - elapsed time of this process
   * @returns true when one is expected to end by then
   */
  isEndExpected(step: StepState, withinMs: number, nowMs: number): boolean {
    if (nowMs >= this.#calculatedAtMs + VALID_MS) this.#calculate(nowMs);
    const nextEndMs = this.#nextEndMs.get(step.record.submission.teamId);
    return nextEndMs !== undefined && nextEndMs < nowMs + withinMs;
  }

  #calculate(nowMs: number): void {
    this.#calculatedAtMs = nowMs;
    this.#nextEndMs.clear();
    this.#open.forEach(({ submission: { teamId }, steps }) => {
      for (const step of steps) {
        step.getRuns().forEach((run) => {
          const endMs = nowMs + getRunRemainingEstimateMs(run, nowMs);
          const knownMs = this.#nextEndMs.get(teamId) ?? Number.POSITIVE_INFINITY;
          if (endMs < knownMs) this.#nextEndMs.set(teamId, endMs);
        });
      }
    });
  }
}
