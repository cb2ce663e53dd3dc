/** Options and owners of simulations of the owner. */

import type { OwnerCore } from '../../src/owner/core';
import type { Team } from '../../src/work/types';
import type { NetworkOptions } from './networkModel';
import type { WorldFaults } from './worldFaults';

/** Options of a simulation. */
export interface WorldOptions {
  readonly seed: number;
  readonly targetCount: number;
  readonly faults: WorldFaults;
  readonly teams?: readonly Team[];
  /** Simulates connections and a registry that lags behind; without it both are immediate. */
  readonly network?: NetworkOptions;
}

/** An owner; a former one goes on until it is rejected or its authority expires, which the host checks. */
export interface Owner {
  readonly core: OwnerCore;
  readonly epoch: number;
  isStopped: boolean;
  authorizedUntilMs: number;
  /** Its process is suspended until then. */
  suspendedUntilMs: number;
  /** When it receives the last change of the registry; changes arrive in order. */
  registryReadAtMs: number;
}
