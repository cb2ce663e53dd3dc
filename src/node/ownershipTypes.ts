/** Events, effects and modes of the ownership state machine, which elects the owner of the fleet. */

import type * as E from 'fp-ts/Either';
import type { Epoch, NodeId } from '../types/ids';
import type { VoterSet } from './voterSet';

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
  /** The stored voter set; undefined for an owner that was announced and whose row has not been read. */
  readonly voterSet?: VoterSet | undefined;
  /** The store's clock when the rows were read; undefined when it is not known. */
  readonly storeMs?: number | undefined;
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

/** What the peers that were asked about the owner have answered. */
export interface PeerAnswers {
  readonly askedCount: number;
  readonly answeredCount: number;
  /** Peers that still hear from the owner. */
  readonly heardCount: number;
  /** Whether the owner itself has answered on a new connection. */
  readonly isOwnerReached?: boolean;
  /** Whether the owner has promised to rely on the store alone until it has stored another voter set. */
  readonly isOwnerYielding?: boolean;
  /** Version of the voter set against which the peers were asked to vote, and those that have done so. */
  readonly votersVersion?: number;
  readonly votedIds?: readonly NodeId[];
}

/** What a claim without the votes of a vote quorum depends on, and leaves for its successors; see voterSet.ts. */
export interface VotelessClaim {
  /** Version of the alive row, which the owner must not have renewed. */
  readonly aliveVersion: number;
  /** On the store's clock: until then former owners may act; undefined when the store does not tell its clock. */
  readonly formerActsUntilMs: number | undefined;
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
  | { readonly kind: 'peersAnswered'; readonly epoch: Epoch; readonly answers: PeerAnswers }
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
      /** Whether the owner has promised to rely on the store alone for good. */
      readonly isYielding?: boolean | undefined;
    }
  /** The owner was called on a new connection after the usual one was lost. */
  | { readonly kind: 'ownerProbed'; readonly epoch: Epoch; readonly isOwning: boolean }
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
  /** The voters have confirmed this owner since `sinceMs`. */
  | { readonly kind: 'leaseConfirmed'; readonly epoch: Epoch; readonly sinceMs: number }
  | { readonly kind: 'superseded'; readonly epoch: Epoch; readonly reason: string }
  | { readonly kind: 'stopRequested' }
);

/** Side effects that the state machine requests. */
export type OwnershipEffect =
  | { readonly kind: 'readOwnerRow' }
  | { readonly kind: 'openLink'; readonly address: string; readonly epoch: Epoch }
  | { readonly kind: 'closeLink' }
  /** Ask peers whether they hear the owner, and for their votes if they do not. */
  | {
      readonly kind: 'askPeers';
      readonly row: OwnerRow;
      readonly suspicion: SuspicionReason;
      /** Votes are asked for only when a version is given. */
      readonly votersVersion: number | undefined;
      readonly votedIds: readonly NodeId[];
    }
  | { readonly kind: 'probeOwner'; readonly address: string; readonly epoch: Epoch }
  | {
      readonly kind: 'claim';
      readonly epoch: Epoch;
      readonly expectedVersion: number;
      /** Version of the voter set against which the votes were cast; undefined when it has not been read. */
      readonly votersVersion?: number | undefined;
      /** Set for a claim without votes. */
      readonly voteless?: VotelessClaim | undefined;
      readonly silenceSinceEpoch: Epoch;
    }
  | { readonly kind: 'renew'; readonly epoch: Epoch; readonly rowVersion: number }
  | {
      readonly kind: 'beginOwning';
      readonly epoch: Epoch;
      readonly rowVersion: number;
      /** Version of the former owner's voter set; undefined when it is not known. */
      readonly votersVersion?: number | undefined;
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
  | {
      readonly kind: 'claiming';
      readonly epoch: Epoch;
      readonly silenceSinceEpoch: Epoch;
      readonly votersVersion: number | undefined;
    }
  | { readonly kind: 'owning'; readonly epoch: Epoch; readonly rowVersion: number };
