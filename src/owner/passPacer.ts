/**
 * Decides when planning passes are due. Their duration grows with the backlog, so a fixed interval would leave no time
 * for calls and answers just when most of them wait.
 */

/** Minimum interval between passes, so that a burst of events leads to a single pass. */
const MIN_INTERVAL_MS = 8;

/** Added to the interval for each waiting step. */
const INTERVAL_PER_STEP_MS = 0.25;

/** Upper bound of that interval, as waiting steps get neither targets nor advice between passes. */
const MAX_INTERVAL_MS = 60;

/** Pause after a pass as a multiple of its duration, so that two thirds of the time are left to other work. */
const PAUSE_FACTOR = 2;

/** Upper bound of that pause, so that urgent tasks do not wait longer. */
const MAX_PAUSE_MS = 150;

/** Interval of passes that run without a preceding change. */
const REPLAN_INTERVAL_MS = 200;

/** Keeps the times of the passes. */
export class PassPacer {
  #nextPassAtMs = 0;

  #nextReplanAtMs = 0;

  /**
   * Checks whether a pass is due though nothing has changed.
   * @param nowMs - elapsed time of this process
   * @returns true once in each interval
   */
  takeReplan(nowMs: number): boolean {
    if (nowMs < this.#nextReplanAtMs) return false;
    this.#nextReplanAtMs = nowMs + REPLAN_INTERVAL_MS;
    return true;
  }

  /**
   * Checks whether a pass may run.
   * @param nowMs - elapsed time of this process
   * @returns false until the pause after the last one is over
   */
  isPassAllowed(nowMs: number): boolean {
    return nowMs >= this.#nextPassAtMs;
  }

  /**
   * Sets the time of the next pass.
   * @param nowMs - elapsed time of this process when the pass began
   * @param waitingStepCount - number of waiting steps when it began
   * @param durationMs - processor time that it has taken
   */
  onPass(nowMs: number, waitingStepCount: number, durationMs: number): void {
    const intervalMs = MIN_INTERVAL_MS + waitingStepCount * INTERVAL_PER_STEP_MS;
    const pauseMs = Math.min(PAUSE_FACTOR * durationMs, MAX_PAUSE_MS);
    const pacedMs = Math.max(Math.min(intervalMs, MAX_INTERVAL_MS), pauseMs);
    this.#nextPassAtMs = nowMs + durationMs + pacedMs;
  }
}
