/** Events, effects and modes of the ownership state machine, which elects the owner of the fleet. */

import type * as E from 'fp-ts/Either';
import type { Epoch, NodeId } from '../types/ids';

/** The owner of the fleet as recorded in the store. */
export interface OwnerRow {
  readonly nodeId: NodeId;
  readonly address: string;
  readonly epoch: Epoch;
  /** Version of the owner row; 0 when there has never been an owner. */
  readonly version: number;
  /** Version of the alive row, which the owner rewrites periodically. */
  readonly aliveVersion: number;
  /** Epoch since which all owners have kept the record of silent targets; undefined after one that does not. */
  readonly silenceSinceEpoch?: Epoch | undefined;
}

/** Why a read or write of the owner row failed. */
export type OwnerRowFailure =
  { readonly kind: 'conflict' } | { readonly kind: 'unavailable'; readonly detail: string };

/** A node that may become the owner. */
export interface OwnerCandidate {
  readonly nodeId: NodeId;
  /** Processor capacity of its Vm, in thousandths of a core. */
  readonly processorMillis: number;
}

/** Counts of the peers that were asked about the owner, that answered, and that still hear from it. */
export interface PeerAnswerCounts {
  readonly askedCount: number;
  readonly answeredCount: number;
  readonly heardCount: number;
}

/** Input events of the state machine. */
export type OwnershipEvent = { readonly nowMs: number } & (
  | { readonly kind: 'tick' }
  | { readonly kind: 'membersKnown'; readonly candidates: readonly OwnerCandidate[] }
  | {
      readonly kind: 'rowRead';
      /** A right value of undefined: there has never been an owner. */
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
  | { readonly kind: 'peersAnswered'; readonly epoch: Epoch; readonly answers: PeerAnswerCounts }
  | {
      readonly kind: 'announced';
      readonly epoch: Epoch;
      readonly nodeId: NodeId;
      readonly address: string;
      /** Version of the row that names the new owner. */
      readonly rowVersion: number;
      readonly silenceSinceEpoch?: Epoch | undefined;
    }
  /** The owner hands the ownership over, to the named successor if there is one. */
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
  /** A majority of the nodes has sent this owner a heartbeat since `sinceMs`. */
  | { readonly kind: 'majorityHeard'; readonly epoch: Epoch; readonly sinceMs: number }
  | { readonly kind: 'superseded'; readonly epoch: Epoch; readonly reason: string }
  | { readonly kind: 'stopRequested' }
);

/** Side effects that the state machine requests. */
export type OwnershipEffect =
  | { readonly kind: 'readOwnerRow' }
  | { readonly kind: 'openLink'; readonly address: string; readonly epoch: Epoch }
  | { readonly kind: 'closeLink' }
  | { readonly kind: 'askPeers'; readonly epoch: Epoch }
  | {
      readonly kind: 'claim';
      readonly epoch: Epoch;
      readonly expectedVersion: number;
      readonly silenceSinceEpoch: Epoch;
    }
  | { readonly kind: 'renew'; readonly epoch: Epoch; readonly rowVersion: number }
  | {
      readonly kind: 'beginOwning';
      readonly epoch: Epoch;
      readonly rowVersion: number;
      readonly silenceSinceEpoch: Epoch;
    }
  | { readonly kind: 'endOwning'; readonly epoch: Epoch; readonly reason: string }
  | {
      readonly kind: 'log';
      readonly message: string;
      readonly fields: Readonly<Record<string, unknown>>;
    };

/** Why a node considers the owner in need of replacement. */
export type SuspicionReason =
  'linkLost' | 'silent' | 'notOwning' | 'withoutStore' | 'resigned' | 'none';

/** Modes of the state machine, with the data that an operator sees in the state dump. */
export type OwnershipMode =
  | { readonly kind: 'searching' }
  | { readonly kind: 'following'; readonly row: OwnerRow }
  | { readonly kind: 'suspecting'; readonly row: OwnerRow; readonly suspicion: SuspicionReason }
  | { readonly kind: 'claiming'; readonly epoch: Epoch; readonly silenceSinceEpoch: Epoch }
  | { readonly kind: 'owning'; readonly epoch: Epoch; readonly rowVersion: number };
