/** The passing of time for a stand-in: real, or driven by a test. */

/** Reads a clock and runs actions later. */
export interface Timeline {
  /** Milliseconds since an arbitrary start. */
  readonly nowMs: number;
  /**
   * Runs an action after a delay.
   * @param delayMs - the delay
   * @param action - what to do then
   */
  after(delayMs: number, action: () => void): void;
}

/** Real time, with timers that do not keep the process alive. */
export const realTimeline: Timeline = {
  get nowMs() {
    return performance.now();
  },
  after(delayMs, action) {
    setTimeout(action, Math.max(0, delayMs)).unref();
  },
};
