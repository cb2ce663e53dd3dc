/**
 * Which runs may be preempted so that teams get their shares.
 *
 * Load answered: runs of teams at several times their usual rate that hold the fleet for 5 s and longer while teams
 * far below their share wait. Work that is stopped is waste, so little of it may be lost.
 */

/** Part of its expected duration up to which a run without a checkpoint may be preempted. */
const MAX_LOST_FRACTION = 0.25;

/** A stop takes up to 900 ms; a run that ends by itself within that time frees its capacity as soon. */
const MAX_STOP_MS = 1_000;

/** What is known of a run. */
export interface RunProgress {
  readonly expectedMs: number;
  /** Time since its start. */
  readonly ranMs: number;
  /** Progress as reported by its target. */
  readonly percent: number;
  readonly hasCheckpoint: boolean;
}

/**
 * Checks whether a run of a team beyond its share may be preempted.
 * @param progress - what is known of the run
 * @returns true when little is lost and it would not end within the time to stop it
 */
export function isWorthPreempting(progress: RunProgress): boolean {
  const { expectedMs, ranMs, percent, hasCheckpoint } = progress;
  const done = Math.max(percent / 100, ranMs / Math.max(expectedMs, 1));
  const remainingMs = expectedMs * (1 - done);
  return remainingMs > MAX_STOP_MS && (hasCheckpoint || done < MAX_LOST_FRACTION);
}
