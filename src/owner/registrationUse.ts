/** Compares registrations of a target. */

import type { TargetEntry } from './types';

/**
 * Checks whether an entry changes what may be started on a target, as opposed to a heartbeat.
 * @param former - the entry in force
 * @param entry - a newer entry of the same incarnation
 * @returns true when address, service, data centre, state, labels or capacity differ
 */
export function isUseDifferent(former: TargetEntry, entry: TargetEntry): boolean {
  return (
    former.address !== entry.address ||
    former.serviceName !== entry.serviceName ||
    former.dataCentreId !== entry.dataCentreId ||
    former.isDraining !== entry.isDraining ||
    former.labels.join() !== entry.labels.join() ||
    former.capacity.cpuMillis !== entry.capacity.cpuMillis ||
    former.capacity.memoryMb !== entry.capacity.memoryMb ||
    former.capacity.accelerators !== entry.capacity.accelerators
  );
}
