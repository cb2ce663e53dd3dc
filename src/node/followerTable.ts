/** The nodes that are connected to the owner: its lanes to the advice service and its successors. */

import type { NodeId } from '../types/ids';
import type { PeerLinkHandle } from '../peer/types';

/** A node that has not sent a heartbeat for this long is no lane and no supporter. */
export const NODE_SILENCE_MS = 900;

/** A node with this many times the processor takes the fleet over from one that is up and well. */
const POWER_RATIO = 1.5;

/** Before it is handed the fleet a node has been connected this long, so that a restart is over. */
const SETTLED_MS = 2_000;

/** One connected node. */
export interface Follower {
  readonly nodeId: NodeId;
  readonly link: PeerLinkHandle;
  /** Milliseconds since 1970. */
  readonly startedAtMs: number;
  /** Processor of its Vm, in thousandths of a core. */
  readonly processorMillis: number;
  readonly connectedAtMs: number;
  isStoreReachable: boolean;
  heardAtMs: number;
}

/** What a node says of itself in a heartbeat. */
export type FollowerNews = Pick<
  Follower,
  'nodeId' | 'link' | 'startedAtMs' | 'processorMillis' | 'isStoreReachable'
>;

/** The strongest node first; of equals the youngest, as nodes are restarted in turn. */
function compareSuccessors(left: Follower, right: Follower): number {
  if (left.processorMillis !== right.processorMillis) {
    return right.processorMillis - left.processorMillis;
  }
  return right.startedAtMs - left.startedAtMs;
}

/** Connected nodes by their ids. */
export class FollowerTable {
  #followers = new Map<NodeId, Follower>();

  /** How many nodes are connected. */
  get count(): number {
    return this.#followers.size;
  }

  /** Their ids. */
  get nodeIds(): readonly NodeId[] {
    return [...this.#followers.keys()];
  }

  /** Their connections. */
  get links(): readonly PeerLinkHandle[] {
    return [...this.#followers.values()].map(({ link }) => link);
  }

  /**
   * Gets the connection to a node.
   * @param nodeId - which node
   * @returns undefined when it is not connected
   */
  getLink(nodeId: NodeId): PeerLinkHandle | undefined {
    return this.#followers.get(nodeId)?.link;
  }

  /**
   * Takes a heartbeat.
   * @param news - what the node says
   * @param nowMs - our clock
   * @returns true when the node is new or has connected anew
   */
  note(news: FollowerNews, nowMs: number): boolean {
    const known = this.#followers.get(news.nodeId);
    if (known !== undefined && known.link === news.link) {
      known.heardAtMs = nowMs;
      known.isStoreReachable = news.isStoreReachable;
      return false;
    }
    this.#followers.set(news.nodeId, { ...news, connectedAtMs: nowMs, heardAtMs: nowMs });
    return true;
  }

  /**
   * Forgets the node behind a connection that has ended.
   * @param link - the connection
   * @returns the node, if one was known
   */
  dropLink(link: PeerLinkHandle): NodeId | undefined {
    const follower = [...this.#followers.values()].find((known) => known.link === link);
    if (follower !== undefined) this.#followers.delete(follower.nodeId);
    return follower?.nodeId;
  }

  /**
   * Forgets the nodes that have gone silent.
   * @param nowMs - our clock
   * @returns what was known of them
   */
  dropSilent(nowMs: number): readonly Follower[] {
    const silent = [...this.#followers.values()].filter(
      ({ heardAtMs }) => nowMs >= heardAtMs + NODE_SILENCE_MS,
    );
    silent.forEach(({ nodeId }) => this.#followers.delete(nodeId));
    return silent;
  }

  /** Forgets all. */
  clear(): void {
    this.#followers.clear();
  }

  /**
   * Chooses who should own the fleet when this node stops.
   * @returns undefined when no other node reaches the store
   */
  getSuccessorId(): NodeId | undefined {
    return this.#getAble().sort(compareSuccessors)[0]?.nodeId;
  }

  /**
   * Chooses a node that is much better suited to own the fleet than this one.
   * @param processorMillis - processor of this node's Vm
   * @param nowMs - our clock
   * @returns undefined when there is none
   */
  tryGetStrongerId(processorMillis: number, nowMs: number): NodeId | undefined {
    const stronger = this.#getAble().filter(
      (follower) =>
        follower.processorMillis >= processorMillis * POWER_RATIO &&
        nowMs >= follower.connectedAtMs + SETTLED_MS,
    );
    return stronger.sort(compareSuccessors)[0]?.nodeId;
  }

  #getAble(): Follower[] {
    return [...this.#followers.values()].filter(({ isStoreReachable }) => isStoreReachable);
  }
}
