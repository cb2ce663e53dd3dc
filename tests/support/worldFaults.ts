/** Faults that simulations of the owner inject into calls and runs. */

/** Injected faults; each is the fraction of calls or runs that it affects. */
export interface WorldFaults {
  /** Requests that are performed but whose response is lost. */
  readonly lostAnswers: number;
  /** Requests without a response that are performed 2 to 8 s later. */
  readonly lateCalls: number;
  /** Runs that fail by themselves. */
  readonly failedRuns: number;
}

/** No faults. */
export const NO_FAULTS: WorldFaults = { lostAnswers: 0, lateCalls: 0, failedRuns: 0 };
