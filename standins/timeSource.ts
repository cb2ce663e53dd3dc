/** Clock and timers of a stand-in, either real or controlled by a test. */

/** A clock with timers. */
export interface TimeSource {
  /** Current time in milliseconds from an arbitrary origin. */
  readonly nowMs: number;
  /**
   * Schedules an action to run after a delay.
   * @param delayMs - the delay
   * @param action - the action
   */
  after(delayMs: number, action: () => void): void;
}

/** System clock, with timers that do not keep the process running. */
export const systemTimeSource: TimeSource = {
  get nowMs() {
    return performance.now();
  },
  after(delayMs, action) {
    setTimeout(action, Math.max(0, delayMs)).unref();
  },
};
