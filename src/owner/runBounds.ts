/** Bounds how long runs can go on at a target that is not heard from any more. */

import type { OwnerState } from './ownerState';
import type { Run } from './run';
import type { TargetState } from './targetState';

/**
 * Checks whether the incarnation that a start was sent to is known to have outlived the call. A call belongs to the
 * process that accepted its connection, which is the one that was alive before and after.
 */
function hasOutlivedCall(
  { aliveAtMs }: TargetState,
  { formerIncarnations, callEndedAtMs }: Run,
): boolean {
  if (formerIncarnations.length > 0 || callEndedAtMs === undefined) return false;
  return aliveAtMs > callEndedAtMs;
}

/**
 * Checks whether the known lease of a target covers a run. A start that the target has neither answered nor listed may
 * have taken its lease on the clock of a later incarnation. It is bound by the lease once the target has left the
 * registry, as that would show one that is alive, or once the known incarnation is seen to have outlived the call.
 */
function isCoveredByLease(target: TargetState, run: Run): boolean {
  return (
    run.isListed ||
    run.confirmedAtMs !== undefined ||
    !target.isRegistered ||
    hasOutlivedCall(target, run)
  );
}

/**
 * Gets the time by which a run is over if its target is not heard from any more.
 * @param state - the owner's state
 * @param target - the target
 * @param run - one of its runs
 * @returns the latest time on the owner's steady clock; infinite when nothing bounds it
 */
export function getRunEndMs(
  { maxUnlistedMs }: Pick<OwnerState, 'maxUnlistedMs'>,
  target: TargetState,
  run: Run,
): number {
  const expiryMs = target.lease.getExpiryMs();
  if (isCoveredByLease(target, run)) return expiryMs;
  return Math.max(expiryMs, run.sentSteadyMs + maxUnlistedMs);
}

/**
 * Checks whether a target that has listed its runs holds nothing that a later owner would have to learn: no run, no
 * start that may have taken place, and no end that is not stored.
 * @param state - the owner's state
 * @param target - the target
 * @returns false when it may hold something, or has not answered this owner
 */
export function isVacant({ steadyMs }: Pick<OwnerState, 'steadyMs'>, target: TargetState): boolean {
  if (!target.isContacted || target.runs.size > 0 || !target.areAllEndsDurable) return false;
  if (target.trial !== undefined || target.lease.mayBeInherited(steadyMs)) return false;
  if (target.orphanRuns.size === 0 && !target.hasUnseenEnds) return true;
  return !target.isResponding && target.lease.isExpired(steadyMs);
}

/**
 * Gets the time by which a target holds no runs of any owner if it is not heard from any more.
 * @param state - the owner's state
 * @param target - the target
 * @returns the latest time on the owner's steady clock; infinite when nothing bounds it
 */
export function getSilentEndMs(
  state: Pick<OwnerState, 'maxUnlistedMs' | 'getUnresolvedUntilMs' | 'steadyMs'>,
  target: TargetState,
): number {
  if (isVacant(state, target)) return state.steadyMs;
  const endsMs = [...target.runs.values()].map((run) => getRunEndMs(state, target, run));
  const expiryMs = target.lease.getExpiryMs();
  if (target.isContacted) return Math.max(expiryMs, ...endsMs);
  // This owner may still have granted leases, before it had to ask for all runs again.
  const grantedMs = Number.isFinite(expiryMs) ? expiryMs : Number.NEGATIVE_INFINITY;
  return Math.max(state.getUnresolvedUntilMs(target.entry), grantedMs, ...endsMs);
}
