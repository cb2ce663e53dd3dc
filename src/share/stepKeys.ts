/**
 * Sort keys of waiting steps. The first difference decides: rate, priority, feasibility, share of the team, remaining
 * work with aging, due time.
 *
 * Load answered: demand of up to twice the capacity. Work that can no longer be in time takes capacity from work that
 * can; among the rest, small submissions give more value for each core-second (0.3 + 0.7 times their work).
 */

/** A submission that ends within this many times its objective is late but still counts for a part. */
const LATE_FACTOR = 3;

/** Ranks by the value that a submission can still have; a higher one comes later. */
export const FEASIBILITY = { inTime: 0, late: 1, lost: 2 } as const;

/** Sort keys of a step. Keys of a priority that is not contended are 0 where the former order had none. */
export interface StepKeys {
  /** 1 when the submission exceeds the rate of its team. */
  readonly excess: number;
  readonly priority: number;
  readonly rank: number;
  /** 1 when its team yields to others. */
  readonly yielding: number;
  /** Remaining work, reduced by aging. */
  readonly work: number;
  readonly dueAtMs: number;
}

/** Times of a submission or of one of its occurrences. */
export interface SubmissionTimes {
  readonly dueAtMs: number;
  readonly objectiveMs: number;
  /** Expected duration of the longest chain of its remaining work. */
  readonly remainingMs: number;
}

/**
 * Gets the rank of a submission by the value that it can still have.
 * @param times - its times
 * @param wallMs - milliseconds since 1970
 * @returns the rank
 */
export function getFeasibility(
  { dueAtMs, objectiveMs, remainingMs }: SubmissionTimes,
  wallMs: number,
): number {
  const endMs = wallMs + remainingMs;
  if (endMs <= dueAtMs) return FEASIBILITY.inTime;
  const lostAtMs = dueAtMs + (LATE_FACTOR - 1) * objectiveMs;
  return endMs <= lostAtMs ? FEASIBILITY.late : FEASIBILITY.lost;
}

/**
 * Reduces the work of a submission by its age, so that large ones are not passed over for ever.
 * @param workMillisMs - remaining work in thousandths of a core times milliseconds
 * @param waitedMs - how long the step has waited
 * @param objectiveMs - objective of the submission
 * @returns the key; 0 once the step has waited for its objective
 */
export function getAgedWork(workMillisMs: number, waitedMs: number, objectiveMs: number): number {
  return waitedMs >= objectiveMs ? 0 : workMillisMs;
}

/**
 * Compares the keys of two steps.
 * @param left - keys of one step
 * @param right - keys of the other
 * @returns a negative number when the first is to be scheduled first
 */
export function compareStepKeys(left: StepKeys, right: StepKeys): number {
  return (
    left.excess - right.excess ||
    left.priority - right.priority ||
    left.rank - right.rank ||
    left.yielding - right.yielding ||
    left.work - right.work ||
    left.dueAtMs - right.dueAtMs
  );
}

/** Progress of one step of a submission. */
export interface StepRemainder {
  readonly after: readonly number[];
  /** Expected duration of one of its tasks. */
  readonly taskMs: number;
  /** Tasks without a run that are not done. */
  readonly waitingCount: number;
  /** Remaining fraction of each run. */
  readonly runFractions: readonly number[];
  /** Processors of a task, in thousandths of a core. */
  readonly cpuMillis: number;
}

/** What is left of a submission. */
export interface Remainder {
  /** Thousandths of a core times milliseconds. */
  readonly workMillisMs: number;
  /** Longest chain. */
  readonly chainMs: number;
}

/**
 * Computes what is left of a submission.
 * @param steps - its steps; one that is done has neither waiting tasks nor runs
 * @returns the remaining work and the longest chain
 */
export function getRemainder(steps: readonly StepRemainder[]): Remainder {
  const ends = new Map<number, number>();
  const getEndMs = (number: number): number => {
    const known = ends.get(number);
    if (known !== undefined) return known;
    // Guards against a cycle, which validation excludes.
    ends.set(number, 0);
    const step = steps[number];
    if (step === undefined) return 0;
    const slowest = step.runFractions.reduce((most, fraction) => Math.max(most, fraction), 0);
    const ownMs = step.taskMs * (step.waitingCount > 0 ? 1 : slowest);
    const endMs =
      ownMs + step.after.reduce((latest, other) => Math.max(latest, getEndMs(other)), 0);
    ends.set(number, endMs);
    return endMs;
  };
  return steps.reduce(
    (sum, { taskMs, cpuMillis, waitingCount, runFractions }, number) => ({
      workMillisMs:
        sum.workMillisMs +
        taskMs * cpuMillis * runFractions.reduce((total, part) => total + part, waitingCount),
      chainMs: Math.max(sum.chainMs, getEndMs(number)),
    }),
    { workMillisMs: 0, chainMs: 0 },
  );
}
