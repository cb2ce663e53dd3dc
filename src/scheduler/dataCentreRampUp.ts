/** Enables the targets of a data centre gradually when it returns to service. */

import type { DataCentre } from '../config/types';
import type { Target } from '../placement/types';
import { getHash } from '../types/hash';
import type { DataCentreId } from '../types/ids';

/** Number of steps in which the targets of a data centre are enabled. */
export const RAMP_UP_STEP_COUNT = 10;

/** Interval between two steps. */
export const RAMP_UP_STEP_INTERVAL_MS = 300;

/** Tracks when this process saw each data centre return to service. */
export class DataCentreRampUp {
  #inService = new Map<DataCentreId, boolean>();

  #returnedMs = new Map<DataCentreId, number>();

  /**
   * Applies the data centres of a newer configuration. A data centre that is seen for the first time
   * is enabled without a ramp-up, since either this process has just started or the data centre is new.
   * @param dataCentres - data centres of the sheet
   * @param nowMs - current time of this process's monotonic clock
   */
  update(dataCentres: readonly DataCentre[], nowMs: number): void {
    dataCentres.forEach(({ dataCentreId, inService }) => {
      const wasOut = this.#inService.get(dataCentreId) === false;
      if (wasOut && inService) this.#returnedMs.set(dataCentreId, nowMs);
      this.#inService.set(dataCentreId, inService);
    });
  }

  /**
   * Determines whether the step of a target has been reached. The step depends only on the target's
   * id, so that all schedulers enable the same targets.
   * @param target - the target
   * @param nowMs - current time of this process's monotonic clock
   * @returns true if the ramp-up allows starts on the target
   */
  isEnabled(target: Target, nowMs: number): boolean {
    const returnedMs = this.#returnedMs.get(target.dataCentreId);
    if (returnedMs === undefined) return true;
    const step = getHash(target.targetId) % RAMP_UP_STEP_COUNT;
    return nowMs >= returnedMs + step * RAMP_UP_STEP_INTERVAL_MS;
  }
}
