/** The JSON-RPC protocol between the nodes of one deployment. */

import type { Epoch, NodeId, QueueId, StepKey, SubmissionId, TargetId, TeamId } from '../types/ids';
import type { Advice, AdviceFailure, HandedAdvice, SubmissionView } from '../owner/types';
import type { RowTransaction, StoredText, StoreFailure } from '../store/types';
import type { OperatorSnapshot } from '../node/operatorSnapshot';
import type { DelegatedOutcome } from '../node/acceptance';

/** Parameters of the calls, by method. */
export interface PeerCalls {
  /** Sent by a node to the owner on its persistent connection. */
  heartbeat: {
    readonly nodeId: NodeId;
    readonly epoch: Epoch;
    /** Version of the operator state that the node uses. */
    readonly operatorVersion: number;
    readonly isStoreReachable: boolean;
    /**
     * Start time, in milliseconds since 1970. Among equally strong nodes, an owner that stops hands over
     * to the most recently started one.
     */
    readonly startedAtMs: number;
    /**
     * Processor capacity of the node's Vm, in thousandths of a core. Nodes with more of it are preferred
     * as owner.
     */
    readonly processorMillis: number;
    /**
     * Reading of the owner's clock in the last answer that the node has received on this connection, which proves
     * that the node follows the owner since then; not sent by earlier builds.
     */
    readonly acknowledgedMs?: number | undefined;
    /** Version of the last voter set against which the node has voted; not sent by earlier builds. */
    readonly votedVersion?: number | undefined;
    /** Whether the node is being stopped; not sent by earlier builds. */
    readonly isLeaving?: boolean | undefined;
  };
  submitted: { readonly text: string };
  cancelled: { readonly submissionId: SubmissionId };
  /** A cancellation that was stored ahead of its submission; nodes of earlier builds refuse it. */
  cancelledAhead: { readonly row: StoredText };
  getView: {
    readonly submissionId: SubmissionId;
    /** Team whose rate is asked for if the submission is not known; not sent by earlier builds. */
    readonly teamId?: TeamId | undefined;
  };
  getWaiting: { readonly queueId: QueueId };
  getOperator: Record<string, never>;
  /** Performs a transaction for a node whose own calls to the store are rejected. */
  transact: { readonly transaction: RowTransaction };
  /** Sent by a gate while the store is slow: create this row together with those of other gates. */
  storeRow: {
    readonly table: string;
    readonly key: string;
    readonly value: string;
    /** Time in which the gate needs the outcome. */
    readonly timeoutMs: number;
  };
  /** Answered at once, to tell a busy node from a lost one. */
  ping: Record<string, never>;
  /** Sent by the owner: query the advice service. */
  advise: {
    readonly stepKey: StepKey;
    readonly targetIds: readonly TargetId[];
    readonly timeoutMs: number;
  };
  /** Sent by any node to a peer: does it receive heartbeat answers from the owner of this epoch? */
  isOwnerHeard: OwnerQuery;
  /** Sent by a new owner to every node. */
  announce: {
    readonly epoch: Epoch;
    readonly nodeId: NodeId;
    readonly address: string;
    readonly rowVersion: number;
    /** Epoch since which all owners have kept the record of silent targets; not sent by earlier builds. */
    readonly silenceSinceEpoch?: Epoch | undefined;
  };
  /** Sent by an owner that hands over, for a planned stop or to a stronger node. */
  resign: {
    readonly epoch: Epoch;
    readonly successorId: NodeId;
    /**
     * Whether the owner relies on the store alone from now on, so that the successor needs no votes; not sent by
     * earlier builds.
     */
    readonly isYielding?: boolean | undefined;
    /** Advice that the successor can use; sent to the successor only, and not by earlier builds. */
    readonly advice?: readonly HandedAdvice[];
  };
}

/** Question about the owner of an epoch, and request to vote for its replacement. */
export interface OwnerQuery {
  readonly epoch: Epoch;
  /** The asking node only checks whether the owner can be reached; not sent by earlier builds. */
  readonly isProbe?: boolean | undefined;
  /** Voter set against which a vote is asked for; not sent when none is needed, and by earlier builds. */
  readonly votersVersion?: number | undefined;
  /** The owner has reported that it does not reach the store, which the asking node does. */
  readonly isOwnerWithoutStore?: boolean | undefined;
}

/** Answer to an {@link OwnerQuery}. */
export interface OwnerQueryReply {
  readonly isHeard: boolean;
  /** The answering node has voted: it does not confirm the owner any more. */
  readonly isVoting?: boolean | undefined;
  /** The answering node is that owner and relies on the store alone from now on. */
  readonly isYielding?: boolean | undefined;
}

/** Answer of an owner that has taken a notice. */
export interface NoticeReply {
  /** Epoch of the owner; nodes of earlier builds do not report it. */
  readonly epoch?: Epoch;
}

/** Results of the calls, by method. */
export interface PeerReplies {
  heartbeat: {
    /** Epoch that the answering node owns or is claiming; 0 when it is not the owner. */
    readonly ownedEpoch: number;
    readonly operatorVersion: number;
    /** How long the answering node has not reached the store; 0 while it does. */
    readonly storeLostForMs: number;
    /** Whether the store answers the node late; nodes of earlier builds do not report it. */
    readonly isStoreSlow?: boolean;
    /** Reading of the owner's clock; nodes of earlier builds do not report it. */
    readonly ownerMs?: number | undefined;
    /** Load summary of the owner, which the node checks; not sent by earlier builds. */
    readonly load?: unknown;
  };
  submitted: NoticeReply;
  cancelled: NoticeReply;
  cancelledAhead: NoticeReply;
  getView: SubmissionView;
  getWaiting: { readonly count: number };
  getOperator: { readonly snapshot: OperatorSnapshot | null };
  transact: TransactReply;
  storeRow: DelegatedOutcome;
  ping: Record<string, never>;
  advise: AdviseReply;
  isOwnerHeard: OwnerQueryReply;
  announce: {
    /** The last epoch that the answering node has owned in its process; nodes of earlier builds do not report it. */
    readonly endedEpoch?: number | undefined;
    /** Whether no owner before that epoch may act any more. */
    readonly areFormerOwnersEnded?: boolean | undefined;
  };
  resign: Record<string, never>;
}

/** The outcome of a transaction, in JSON form. */
export type TransactReply =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'failed'; readonly failure: StoreFailure };

/** The outcome of an advice call, in JSON form. */
export type AdviseReply =
  | { readonly kind: 'advice'; readonly advice: Advice }
  | { readonly kind: 'failed'; readonly failure: AdviceFailure };

/** Method name of a call. */
export type PeerMethod = keyof PeerCalls;

/** Handles the calls of one method. */
export type PeerHandler<M extends PeerMethod> = (
  params: PeerCalls[M],
  link: PeerLinkHandle,
) => Promise<PeerReplies[M]> | PeerReplies[M];

/** The handlers of one side of a connection; calls of other methods are rejected. */
export type PeerHandlers = { readonly [M in PeerMethod]?: PeerHandler<M> };

/** One side of an open connection. */
export interface PeerLinkHandle {
  /**
   * Calls the other side.
   * @param method - the method
   * @param params - its parameters
   * @param timeoutMs - timeout for the answer
   * @returns the answer; rejects on failure and after the timeout
   */
  call<M extends PeerMethod>(
    method: M,
    params: PeerCalls[M],
    timeoutMs: number,
  ): Promise<PeerReplies[M]>;
  /** Closes the connection. */
  close(): void;
  /** True once the connection has closed. */
  readonly isClosed: boolean;
}
