/** Owners in simulations. */

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
