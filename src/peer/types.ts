/** Calls between the nodes of one deployment. */

import type { Epoch, NodeId, QueueId, StepKey, SubmissionId, TargetId } from '../types/ids';
import type { Advice, AdviceFailure, SubmissionView } from '../owner/types';
import type { RowTransaction, StoreFailure } from '../store/types';
import type { OperatorSnapshot } from '../node/operatorSnapshot';

/** Calls that a node sends, by method, with their parameters. */
export interface PeerCalls {
  /** From a node to the owner, on the connection that it keeps open. */
  heartbeat: {
    readonly nodeId: NodeId;
    readonly epoch: Epoch;
    /** Version of the operator's rows that the node acts on. */
    readonly operatorVersion: number;
    readonly isStoreReachable: boolean;
    /** Milliseconds since 1970; a planned stop hands over to the youngest node. */
    readonly startedAtMs: number;
    /** Processor of the node's Vm, in thousandths of a core; the strongest node owns the fleet. */
    readonly processorMillis: number;
  };
  submitted: { readonly text: string };
  cancelled: { readonly submissionId: SubmissionId };
  getView: { readonly submissionId: SubmissionId };
  getWaiting: { readonly queueId: QueueId };
  getOperator: Record<string, never>;
  /** Performs a transaction for a node that the store turns away. */
  transact: { readonly transaction: RowTransaction };
  /** From the owner to a node: ask the advice service. */
  advise: {
    readonly stepKey: StepKey;
    readonly targetIds: readonly TargetId[];
    readonly timeoutMs: number;
  };
  /** From any node to any other: does it hear the owner of this epoch? */
  isOwnerHeard: { readonly epoch: Epoch };
  /** From a new owner to every node. */
  announce: {
    readonly epoch: Epoch;
    readonly nodeId: NodeId;
    readonly address: string;
    readonly rowVersion: number;
  };
  /** From an owner that stops by plan. */
  resign: { readonly epoch: Epoch; readonly successorId: NodeId };
}

/** What the calls are answered with. */
export interface PeerReplies {
  heartbeat: {
    /** The answerer owns the fleet under this epoch; 0 when it does not own it. */
    readonly ownedEpoch: number;
    readonly operatorVersion: number;
    /** For how long the store has not answered the owner; 0 while it does. */
    readonly storeLostForMs: number;
  };
  submitted: Record<string, never>;
  cancelled: Record<string, never>;
  getView: SubmissionView;
  getWaiting: { readonly count: number };
  getOperator: { readonly snapshot: OperatorSnapshot | null };
  transact: TransactReply;
  advise: AdviseReply;
  isOwnerHeard: { readonly isHeard: boolean };
  announce: Record<string, never>;
  resign: Record<string, never>;
}

/** The outcome of a transaction, in a form that survives JSON. */
export type TransactReply =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'failed'; readonly failure: StoreFailure };

/** The outcome of a call for advice, in a form that survives JSON. */
export type AdviseReply =
  | { readonly kind: 'advice'; readonly advice: Advice }
  | { readonly kind: 'failed'; readonly failure: AdviceFailure };

/** Name of a call. */
export type PeerMethod = keyof PeerCalls;

/** Answers one method. */
export type PeerHandler<M extends PeerMethod> = (
  params: PeerCalls[M],
  link: PeerLinkHandle,
) => Promise<PeerReplies[M]> | PeerReplies[M];

/** Answers every method that one side of a connection understands. */
export type PeerHandlers = { readonly [M in PeerMethod]?: PeerHandler<M> };

/** One side of an open connection. */
export interface PeerLinkHandle {
  /**
   * Calls the other side.
   * @param method - what to ask
   * @param params - with what
   * @param timeoutMs - how long to wait for the answer
   * @returns the answer; rejects when there is none
   */
  call<M extends PeerMethod>(
    method: M,
    params: PeerCalls[M],
    timeoutMs: number,
  ): Promise<PeerReplies[M]>;
  /** Ends the connection. */
  close(): void;
  /** True once the connection has ended. */
  readonly isClosed: boolean;
}
