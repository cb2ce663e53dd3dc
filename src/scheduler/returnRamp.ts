/** Opens the targets of a data centre that returns to service in steps. */

import type { DataCentre } from '../config/types';
import type { Target } from '../placement/types';
import { getHash } from '../types/hash';
import type { DataCentreId } from '../types/ids';

/** Targets of a returning data centre open in this many steps. */
export const RAMP_STEP_COUNT = 10;

/** Time between two steps. */
export const RAMP_STEP_MS = 300;

/** When each data centre returned, as this process saw it. */
export class ReturnRamp {
  #inService = new Map<DataCentreId, boolean>();

  #returnedMs = new Map<DataCentreId, number>();

  /**
   * Takes in the data centres of a newer configuration. One that is seen for the first time has no
   * ramp: this process has just started, or the data centre is new.
   * @param dataCentres - from the sheet
   * @param nowMs - this process's clock
   */
  update(dataCentres: readonly DataCentre[], nowMs: number): void {
    dataCentres.forEach(({ dataCentreId, inService }) => {
      const wasOut = this.#inService.get(dataCentreId) === false;
      if (wasOut && inService) this.#returnedMs.set(dataCentreId, nowMs);
      this.#inService.set(dataCentreId, inService);
    });
  }

  /**
   * Asks whether a target's turn has come. The step depends on its id alone, so that every owner
   * opens the same targets.
   * @param target - which target
   * @param nowMs - this process's clock
   * @returns true when work may start on it
   */
  isOpen(target: Target, nowMs: number): boolean {
    const returnedMs = this.#returnedMs.get(target.dataCentreId);
    if (returnedMs === undefined) return true;
    const step = getHash(target.targetId) % RAMP_STEP_COUNT;
    return nowMs >= returnedMs + step * RAMP_STEP_MS;
  }
}
