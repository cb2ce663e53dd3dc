/** Owners in simulations. */

import { OWNER_AUTHORITY_MS } from '../../src/owner/constants';
import type { OwnerCore } from '../../src/owner/core';

/** An owner; a former one goes on until it is rejected or its authority expires, which the host checks. */
export interface Owner {
  readonly core: OwnerCore;
  readonly epoch: number;
  isStopped: boolean;
  /** From then on no owner before it may act, as far as it knows. */
  formerOwnersEndAtMs: number;
  authorizedUntilMs: number;
  /** Its process is suspended until then. */
  suspendedUntilMs: number;
  /** When it receives the last change of the registry; changes arrive in order. */
  registryReadAtMs: number;
}

/** Creates an owner that has just taken over. */
export function createOwner(core: OwnerCore, epoch: number, nowMs: number): Owner {
  return {
    ...{ core, epoch, isStopped: false, suspendedUntilMs: 0, registryReadAtMs: 0 },
    authorizedUntilMs: Number.POSITIVE_INFINITY,
    formerOwnersEndAtMs: nowMs + OWNER_AUTHORITY_MS,
  };
}
