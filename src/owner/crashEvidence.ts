/**
 * Decides from the reports of crashed targets whether a task is given up, and which runs a crash is attributed to.
 *
 * Load pattern: a few tasks end the process of each target that starts them, within about 10 ms, while the fleet is
 * full and targets also crash for other reasons. A target runs ten tasks or more, of which one or a few have just been
 * started.
 */

import type { CrashReport } from '../work/stepProgress';
import type { Run } from './run';
import type { TargetState } from './targetState';

/** A task that ends its target does so within this time of its start. */
export const CRASH_DELAY_MS = 100;

/** Delay of the event loop and the network until the close of a connection is noticed. */
const CLOSE_DETECTION_MS = 50;

/** With no more suspects than this, each of them is likely enough to spare the other runs on a target. */
const LIKELY_SUSPECTS = 2;

/** Crashes that suffice when they were alike: a task that crashes its targets does so after the same time. */
const ALIKE_CRASHES = 2;

/** Crashes, two alike ones with the task alone, that suffice although other targets were lost at the time. */
const DOUBTFUL_CRASHES = 3;

/** Crashes, two alike ones with the task alone in one, that suffice although no owner has seen the others. */
const UNSEEN_CRASHES = 4;

/** Crashes that suffice in any case. */
const MAX_CRASHES = 5;

/** Difference between the delays of two crashes by the same task, as an owner sees them. */
const DELAY_TOLERANCE_MS = 25;

/**
 * @param crash - a report
 * @returns true when the task, or its gang, was the only work that had just been started on the target
 */
export function isSole(crash: CrashReport): boolean {
  return crash.suspectCount === 1;
}

/** Checks whether a task crashed two targets after the same time, the first of them alone. */
function isAlike(crash: CrashReport, other: CrashReport): boolean {
  if (crash === other || !isSole(crash) || other.suspectCount === undefined) return false;
  const ageMs = crash.ageMs ?? Number.POSITIVE_INFINITY;
  const otherAgeMs = other.ageMs ?? Number.POSITIVE_INFINITY;
  return ageMs <= CRASH_DELAY_MS && Math.abs(otherAgeMs - ageMs) <= DELAY_TOLERANCE_MS;
}

function hasAlikePair(crashes: readonly CrashReport[]): boolean {
  return crashes.some((crash) => crashes.some((other) => isAlike(crash, other)));
}

/**
 * Checks whether the reports suffice to give a task up.
 * @param crashes - the reports of the task
 * @returns true when it, and not another cause, crashes its targets
 */
export function isGivenUp(crashes: readonly CrashReport[]): boolean {
  const confirmed = crashes.filter(
    ({ isConfirmed, isUnlikely }) => isConfirmed === true && isUnlikely !== true,
  );
  const { length } = confirmed;
  if (length >= MAX_CRASHES) return true;
  if (length >= UNSEEN_CRASHES && hasAlikePair(confirmed)) return true;
  if (length >= DOUBTFUL_CRASHES && hasAlikePair(confirmed.filter(isSole))) return true;
  const clear = confirmed.filter(({ isDoubtful }) => isDoubtful !== true);
  return length >= ALIKE_CRASHES && hasAlikePair(clear);
}

/** A start without an answer may be carried out at any time until its stop is confirmed. */
function mayBeginAtAnyTime(run: Run): boolean {
  return run.confirmedAtMs === undefined && run.phase !== 'starting';
}

/**
 * Finds the runs that may have caused the loss of their target.
 * @param target - a target that has just been lost
 * @param isClosedInFlight - whether a connection was closed while a request was in flight, which tells the time
 * @param nowMs - current time on the owner's clock
 * @returns the runs that were started right before it
 */
export function getSuspectRuns(
  target: TargetState,
  isClosedInFlight: boolean,
  nowMs: number,
): readonly Run[] {
  const answeredAtMs = target.lastAnsweredAtMs;
  const earliestLossMs = isClosedInFlight
    ? Math.max(answeredAtMs, nowMs - CLOSE_DETECTION_MS)
    : answeredAtMs;
  // A start can end one incarnation at the most, and one that has moved was suspected of the end of the first.
  return [...target.runs.values()]
    .filter(({ formerIncarnations }) => formerIncarnations.length === 0)
    .filter((run) => mayBeginAtAnyTime(run) || run.sentAtMs >= earliestLossMs - CRASH_DELAY_MS);
}

/**
 * Counts the tasks among which the cause of a loss is sought.
 * @param runs - the suspected runs
 * @returns their number; the members of a gang count as one
 */
export function countSuspects(runs: readonly Run[]): number {
  return new Set(runs.map((run) => (run.step.isGang ? run.step : run))).size;
}

/**
 * Checks whether a run is an unlikely cause of a loss, as others had been started later.
 * @param run - a suspected run
 * @param suspects - all suspected runs
 * @returns true when the last start there was clearly later
 */
export function isUnlikelyCause(run: Run, suspects: readonly Run[]): boolean {
  if (mayBeginAtAnyTime(run)) return false;
  const lastSentAtMs = Math.max(...suspects.map(({ sentAtMs }) => sentAtMs));
  return run.sentAtMs < lastSentAtMs - DELAY_TOLERANCE_MS;
}

/**
 * Orders suspected tasks by how likely they are the cause, most likely first: those seen in more crashes, then those
 * with fewer other suspects, then those that had been started last.
 * @param left - reports of one task
 * @param right - reports of another
 * @returns as a comparator
 */
export function compareSuspicion(
  left: readonly CrashReport[],
  right: readonly CrashReport[],
): number {
  const getFewest = (crashes: readonly CrashReport[]) =>
    Math.min(...crashes.map(({ suspectCount }) => suspectCount ?? Number.MAX_SAFE_INTEGER));
  const getYoungest = (crashes: readonly CrashReport[]) =>
    Math.min(...crashes.map(({ ageMs }) => ageMs ?? Number.MAX_SAFE_INTEGER));
  return (
    right.length - left.length ||
    getFewest(left) - getFewest(right) ||
    getYoungest(left) - getYoungest(right)
  );
}

/**
 * Checks whether a trial is likely to crash its target, so that it should wait until others have left it.
 * @param crashes - reports of the task
 * @returns true when few others are suspected of the same crash
 */
export function isLikelyCause(crashes: readonly CrashReport[]): boolean {
  return crashes.some(({ suspectCount }) => (suspectCount ?? LIKELY_SUSPECTS) <= LIKELY_SUSPECTS);
}
