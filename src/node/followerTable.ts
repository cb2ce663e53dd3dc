/** The nodes connected to the owner: its lanes to the advice service and its possible successors. */

import type { NodeId } from '../types/ids';
import type { PeerLinkHandle } from '../peer/types';

/** A node without a heartbeat for this long is removed: it is no longer an advice lane, nor a successor. */
const FOLLOWER_TIMEOUT_MS = 900;

/** A healthy owner hands over to a node with at least this many times its processor capacity. */
const STRONGER_PROCESSOR_RATIO = 1.5;

/** A stronger node must have been connected for this long, so that its restart is complete. */
const MIN_CONNECTED_MS = 2_000;

/** One connected node. */
export interface Follower {
  readonly nodeId: NodeId;
  readonly link: PeerLinkHandle;
  /** Start time of the node, in milliseconds since 1970. */
  readonly startedAtMs: number;
  /** Processor capacity of its Vm, in thousandths of a core. */
  readonly processorMillis: number;
  readonly connectedAtMs: number;
  isStoreReachable: boolean;
  lastHeartbeatAtMs: number;
}

/** What a node reports about itself in a heartbeat, and the connection that carried it. */
export type FollowerHeartbeat = Pick<
  Follower,
  'nodeId' | 'link' | 'startedAtMs' | 'processorMillis' | 'isStoreReachable'
>;

/**
 * Orders the node with the most processor capacity first; among equals the most recently started one,
 * as nodes are restarted in turn and that one has its restart behind it.
 */
function compareSuccessors(left: Follower, right: Follower): number {
  if (left.processorMillis !== right.processorMillis) {
    return right.processorMillis - left.processorMillis;
  }
  return right.startedAtMs - left.startedAtMs;
}

/** Connected nodes by id. */
export class FollowerTable {
  #followers = new Map<NodeId, Follower>();

  /** Number of connected nodes. */
  get count(): number {
    return this.#followers.size;
  }

  get nodeIds(): readonly NodeId[] {
    return [...this.#followers.keys()];
  }

  get links(): readonly PeerLinkHandle[] {
    return [...this.#followers.values()].map(({ link }) => link);
  }

  /**
   * Gets the connection to a node.
   * @param nodeId - the node
   * @returns undefined when it is not connected
   */
  getLink(nodeId: NodeId): PeerLinkHandle | undefined {
    return this.#followers.get(nodeId)?.link;
  }

  /**
   * Records a heartbeat.
   * @param heartbeat - the node's report
   * @param nowMs - current time
   * @returns true when the node is new or has reconnected
   */
  note(heartbeat: FollowerHeartbeat, nowMs: number): boolean {
    const known = this.#followers.get(heartbeat.nodeId);
    if (known !== undefined && known.link === heartbeat.link) {
      known.lastHeartbeatAtMs = nowMs;
      known.isStoreReachable = heartbeat.isStoreReachable;
      return false;
    }
    this.#followers.set(heartbeat.nodeId, {
      ...heartbeat,
      connectedAtMs: nowMs,
      lastHeartbeatAtMs: nowMs,
    });
    return true;
  }

  /**
   * Removes the node whose connection has closed.
   * @param link - the connection
   * @returns the node's id, or undefined when the connection belongs to no node in the table
   */
  removeByLink(link: PeerLinkHandle): NodeId | undefined {
    const follower = [...this.#followers.values()].find((known) => known.link === link);
    if (follower !== undefined) this.#followers.delete(follower.nodeId);
    return follower?.nodeId;
  }

  /**
   * Removes the nodes whose heartbeats have stopped.
   * @param nowMs - current time
   * @returns the removed entries
   */
  removeExpired(nowMs: number): readonly Follower[] {
    const expired = [...this.#followers.values()].filter(
      ({ lastHeartbeatAtMs }) => nowMs >= lastHeartbeatAtMs + FOLLOWER_TIMEOUT_MS,
    );
    expired.forEach(({ nodeId }) => this.#followers.delete(nodeId));
    return expired;
  }

  /** Removes all nodes. */
  clear(): void {
    this.#followers.clear();
  }

  /**
   * Chooses the next owner for a planned stop of this node.
   * @returns undefined when no connected node reaches the store
   */
  getSuccessorId(): NodeId | undefined {
    return this.#getEligible().sort(compareSuccessors)[0]?.nodeId;
  }

  /**
   * Finds a node with enough more processor capacity to justify a hand-over.
   * @param processorMillis - processor capacity of this node's Vm
   * @param nowMs - current time
   * @returns undefined when there is none
   */
  tryGetStrongerId(processorMillis: number, nowMs: number): NodeId | undefined {
    const stronger = this.#getEligible().filter(
      (follower) =>
        follower.processorMillis >= processorMillis * STRONGER_PROCESSOR_RATIO &&
        nowMs >= follower.connectedAtMs + MIN_CONNECTED_MS,
    );
    return stronger.sort(compareSuccessors)[0]?.nodeId;
  }

  #getEligible(): Follower[] {
    return [...this.#followers.values()].filter(({ isStoreReachable }) => isStoreReachable);
  }
}
