/** What an owner's host needs of its node. */

import type * as E from 'fp-ts/Either';
import type { Advice, AdviceFailure } from '../owner/types';
import type { NodeId, StepKey, TargetId } from '../types/ids';

/** Callbacks of the node that the host runs on. */
export interface OwnerHostCallbacks {
  /** True while this node may act as the owner. */
  isAuthorized(): boolean;
  /** How long before a time the call was sent by which the store has confirmed the ownership last, in milliseconds. */
  getStoreUnconfirmedForMs?(nowMs: number): number;
  /** Queries the advice service through the given node. */
  advise(
    nodeId: NodeId,
    stepKey: StepKey,
    targetIds: readonly TargetId[],
    timeoutMs: number,
  ): Promise<E.Either<AdviceFailure, Advice>>;
  /** Called when this owner may resign, after a handover was requested. */
  onHandoverPrepared(): void;
  /** Called when another node has become the owner. */
  onSuperseded(reason: string): void;
}
