/** Events and effects of the reducer that decides who owns the fleet. */

import type * as E from 'fp-ts/Either';
import type { Epoch, NodeId } from '../types/ids';

/** Who owns the fleet, as the store says. */
export interface OwnerRow {
  readonly nodeId: NodeId;
  readonly address: string;
  readonly epoch: Epoch;
  /** Version of the row; 0 when there has never been an owner. */
  readonly version: number;
  /** Version of the row that the owner writes again and again while it lives. */
  readonly aliveVersion: number;
}

/** Why the store gave no answer about the owner. */
export type OwnerRowFailure =
  { readonly kind: 'conflict' } | { readonly kind: 'unavailable'; readonly detail: string };

/** A node that may own the fleet. */
export interface OwnerCandidate {
  readonly nodeId: NodeId;
  /** Processor of its Vm, in thousandths of a core. */
  readonly processorMillis: number;
}

/** Answers of the other nodes to whether they hear the owner. */
export interface PeerVerdict {
  readonly askedCount: number;
  readonly answeredCount: number;
  readonly heardCount: number;
}

/** What happens to ownership. */
export type OwnershipEvent = { readonly nowMs: number } & (
  | { readonly kind: 'tick' }
  | { readonly kind: 'membersKnown'; readonly candidates: readonly OwnerCandidate[] }
  | {
      readonly kind: 'rowRead';
      /** Undefined inside the outcome: there has never been an owner. */
      readonly result: E.Either<OwnerRowFailure, OwnerRow | undefined>;
    }
  | { readonly kind: 'linkOpened'; readonly epoch: Epoch }
  | { readonly kind: 'linkLost'; readonly epoch: Epoch; readonly detail: string }
  | {
      readonly kind: 'heartbeatAnswered';
      readonly epoch: Epoch;
      readonly ownedEpoch: number;
      readonly storeLostForMs: number;
    }
  | { readonly kind: 'peersAnswered'; readonly epoch: Epoch; readonly verdict: PeerVerdict }
  | {
      readonly kind: 'announced';
      readonly epoch: Epoch;
      readonly nodeId: NodeId;
      readonly address: string;
      /** Version of the row that names the new owner. */
      readonly rowVersion: number;
    }
  /** The owner stops by plan and has named who should follow it. */
  | {
      readonly kind: 'resigned';
      readonly epoch: Epoch;
      readonly successorId: NodeId | undefined;
    }
  | {
      readonly kind: 'claimed';
      readonly epoch: Epoch;
      readonly result: E.Either<OwnerRowFailure, number>;
    }
  | {
      readonly kind: 'renewed';
      readonly epoch: Epoch;
      readonly sentAtMs: number;
      readonly result: E.Either<OwnerRowFailure, number>;
    }
  /** Most nodes have sent the owner a heartbeat since this moment. */
  | { readonly kind: 'majorityHeard'; readonly epoch: Epoch; readonly sinceMs: number }
  | { readonly kind: 'superseded'; readonly epoch: Epoch; readonly reason: string }
  | { readonly kind: 'stopRequested' }
);

/** What the reducer asks to be done. */
export type OwnershipEffect =
  | { readonly kind: 'readOwnerRow' }
  | { readonly kind: 'openLink'; readonly address: string; readonly epoch: Epoch }
  | { readonly kind: 'closeLink' }
  | { readonly kind: 'askPeers'; readonly epoch: Epoch }
  | { readonly kind: 'claim'; readonly epoch: Epoch; readonly expectedVersion: number }
  | { readonly kind: 'renew'; readonly epoch: Epoch; readonly rowVersion: number }
  | { readonly kind: 'beginOwning'; readonly epoch: Epoch; readonly rowVersion: number }
  | { readonly kind: 'endOwning'; readonly epoch: Epoch; readonly reason: string }
  | {
      readonly kind: 'log';
      readonly message: string;
      readonly fields: Readonly<Record<string, unknown>>;
    };

/** Why a node thinks that the owner has to be replaced. */
export type Suspicion = 'linkLost' | 'silent' | 'notOwning' | 'withoutStore' | 'resigned' | 'none';

/** What a node is doing about ownership. */
export type OwnershipMode =
  | { readonly kind: 'searching' }
  | { readonly kind: 'following'; readonly row: OwnerRow }
  | { readonly kind: 'suspecting'; readonly row: OwnerRow; readonly suspicion: Suspicion }
  | { readonly kind: 'claiming'; readonly epoch: Epoch }
  | { readonly kind: 'owning'; readonly epoch: Epoch; readonly rowVersion: number };
