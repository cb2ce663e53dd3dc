/** Owners in simulations. */

import type { OwnerCore } from '../../src/owner/core';

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

/** Creates an owner that has just taken over. */
export function createOwner(core: OwnerCore, epoch: number): Owner {
  return {
    ...{ core, epoch, isStopped: false, suspendedUntilMs: 0, registryReadAtMs: 0 },
    authorizedUntilMs: Number.POSITIVE_INFINITY,
  };
}
