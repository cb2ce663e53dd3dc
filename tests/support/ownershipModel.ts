/**
 * Nodes that elect an owner, in virtual time: the state machine, the voter set and the questions are the real ones; the
 * network, the store and the wiring of a node are modelled.
 */

import * as E from 'fp-ts/Either';
import { OWNER_AUTHORITY_MS, STORELESS_END_DELAY_MS } from '../../src/owner/constants';
import type { OwnerQuery, OwnerQueryReply } from '../../src/peer/types';
import type { NodeId } from '../../src/types/ids';
import type { Random } from '../../src/types/random';
import { OwnershipNode } from './ownershipNode';
import type { Link } from './ownershipNode';
import { OwnershipStore } from './ownershipStore';
import { FencedTarget } from './fencedTarget';
import { VirtualTime } from './virtualTime';

/** Name of the store in cuts. */
export const STORE = 'store' as NodeId;

/** A call whose answer is lost may be performed this much later. */
const MAX_LATE_MS = 6_000;

const STEP_MS = 1;

/** A one-way cut: what the first group sends does not reach the second. */
export interface Cut {
  readonly from: ReadonlySet<NodeId>;
  readonly to: ReadonlySet<NodeId>;
}

/** Nodes, store and network. */
export class OwnershipModel {
  readonly time = new VirtualTime();

  readonly store = new OwnershipStore();

  readonly random: Random;

  /** All processes that are up. */
  readonly nodes = new Map<NodeId, OwnershipNode>();

  /** Names in the list of nodes; those of lost nodes stay. */
  readonly registered = new Set<NodeId>();

  readonly targets = new Map<NodeId, FencedTarget>();

  /** Tasks that last, each of which has to run on one target. */
  readonly taskIds: string[] = [];

  readonly cuts = new Set<Cut>();

  readonly violations: string[] = [];

  readonly lines: string[] = [];

  /** Share of store calls whose answer is lost; half of them are performed late. */
  lostAnswerShare = 0;

  storeDelayMs = 3;

  isStoreUp = true;

  constructor(random: Random) {
    this.random = random;
  }

  /** Processes that would write a call to a target now. */
  get actingNodes(): readonly OwnershipNode[] {
    return [...this.nodes.values()].filter((node) => node.isActing);
  }

  addNode(name: string): OwnershipNode {
    const node = new OwnershipNode(this, name as NodeId);
    this.nodes.set(node.nodeId, node);
    this.registered.add(node.nodeId);
    node.start();
    return node;
  }

  addTargets(targetCount: number, taskCount: number): void {
    for (let number = 1; number <= targetCount; number += 1) {
      const target = new FencedTarget(`target-${number}`);
      this.targets.set(target.targetId, target);
    }
    for (let number = 1; number <= taskCount; number += 1) this.taskIds.push(`task-${number}`);
  }

  /** Tasks that run on a target now. */
  get runningTaskIds(): readonly string[] {
    const { nowMs } = this.time;
    return [...this.targets.values()].flatMap((target) => target.getTaskIds(nowMs));
  }

  /** Ends a process; its connections are reset unless the machine loses its power. */
  kill(node: OwnershipNode, isReset: boolean): void {
    if (this.nodes.get(node.nodeId) === node) this.nodes.delete(node.nodeId);
    node.end(isReset);
  }

  log(node: OwnershipNode, message: string, fields: Readonly<Record<string, unknown>>): void {
    const time = Math.round(this.time.nowMs);
    this.lines.push(`${time} ${node.nodeId} ${message} ${JSON.stringify(fields)}`);
  }

  /** Delivers to a machine, whose system takes it whatever its process does. */
  sendRaw(from: NodeId, to: NodeId, deliver: () => void): void {
    if (!this.#isReachable(from, to)) return;
    this.time.after(0.5 + this.random.nextFraction() * 6, deliver);
  }

  /** Delivers to a process. */
  send(from: OwnershipNode, to: OwnershipNode, deliver: () => void): void {
    this.sendRaw(from.nodeId, to.nodeId, () => to.run(deliver));
  }

  sendOnLink(link: Link, from: OwnershipNode, to: OwnershipNode, deliver: () => void): void {
    if (!link.isOpen || link.isSilent) return;
    this.send(from, to, () => {
      if (link.isOpen) deliver();
    });
  }

  /** Ends a connection. A side that is cut off, or when the connection falls silent, does not notice. */
  resetLink(link: Link, isSilent: boolean): void {
    const { from, to } = link;
    if (isSilent) Object.assign(link, { isSilent: true });
    if (isSilent || !link.isOpen) return;
    Object.assign(link, { isOpen: false });
    this.send(from, to, () => to.onLinkClosed(link));
    this.send(to, from, () => from.onLinkClosed(link));
  }

  query(
    from: OwnershipNode,
    address: string,
    query: OwnerQuery,
    timeoutMs: number,
  ): Promise<E.Either<string, OwnerQueryReply>> {
    return new Promise((resolve) => {
      const to = this.nodes.get(address as NodeId);
      from.after(timeoutMs, () => resolve(E.left('timeout')));
      if (to === undefined) {
        this.sendRaw(from.nodeId, address as NodeId, () => resolve(E.left('refused')));
        return;
      }
      this.send(from, to, () => {
        to.queries
          .answer(query)
          .then((reply) => this.send(to, from, () => resolve(E.right(reply))))
          .catch((error: unknown) => this.violations.push(String(error)));
      });
    });
  }

  callStore<T>(from: OwnershipNode, perform: () => T, onResult: (result: T) => void): void {
    if (!this.isStoreUp || !this.#isReachable(from.nodeId, STORE)) return;
    const isAnswerLost = this.random.nextFraction() < this.lostAnswerShare;
    const isLate = isAnswerLost && this.random.nextInt(2) === 0;
    const lateMs = isLate ? this.random.nextFraction() * MAX_LATE_MS : 0;
    this.time.after(this.storeDelayMs + lateMs, () => {
      const result = perform();
      if (isAnswerLost || !this.#isReachable(STORE, from.nodeId)) return;
      this.time.after(this.storeDelayMs, () => from.run(() => onResult(result)));
    });
  }

  /** Runs for a while; promises that settle in between are followed. */
  async runFor(durationMs: number): Promise<void> {
    await this.#runUntil(this.time.nowMs + durationMs);
  }

  async #runUntil(untilMs: number): Promise<void> {
    if (this.time.nowMs >= untilMs) return undefined;
    this.time.runUntil(Math.min(untilMs, this.time.nowMs + STEP_MS));
    await Promise.resolve();
    this.#check();
    return this.#runUntil(untilMs);
  }

  #isReachable(from: NodeId, to: NodeId): boolean {
    return ![...this.cuts].some((cut) => cut.from.has(from) && cut.to.has(to));
  }

  #check(): void {
    this.#checkRuns();
    this.#checkFormerOwners();
  }

  #checkRuns(): void {
    const running = new Set<string>();
    this.runningTaskIds.forEach((taskId) => {
      const what = `${taskId} runs twice`;
      if (running.has(taskId) && !this.violations.includes(what)) {
        this.lines.push(`${Math.round(this.time.nowMs)} ${what}`);
        this.violations.push(what);
      }
      running.add(taskId);
    });
  }

  /** What a successor assumes of former owners. */
  #checkFormerOwners(): void {
    const { nowMs } = this.time;
    this.actingNodes.forEach(({ nodeId, core }) => {
      const next = this.store.takeovers.find(({ epoch }) => epoch > core.epoch);
      if (next === undefined) return;
      const allowedMs = next.isVoteless ? STORELESS_END_DELAY_MS : OWNER_AUTHORITY_MS;
      if (nowMs <= next.committedAtMs + allowedMs) return;
      const lateMs = Math.round(nowMs - next.committedAtMs);
      const what = `${nodeId} acts for epoch ${core.epoch} after ${next.nodeId} took over`;
      if (!this.violations.some((violation) => violation.startsWith(what)))
        this.violations.push(`${what}, ${lateMs} ms later`);
    });
  }
}
