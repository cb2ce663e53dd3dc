/** Drawn histories of nodes, store and network, in which owners are lost, cut off, suspended and replaced. */

import type { NodeId } from '../../src/types/ids';
import { Random } from '../../src/types/random';
import { OwnershipModel, STORE } from './ownershipModel';
import type { Cut } from './ownershipModel';
import type { OwnershipNode } from './ownershipNode';

const WARM_UP_MS = 4_000;
const TROUBLE_MS = 30_000;
const MAX_PAUSE_MS = 2_500;
const MAX_CUT_MS = 12_000;
const MAX_FREEZE_MS = 6_000;
const MAX_OUTAGE_MS = 9_000;
const MAX_DOWN_MS = 3_000;
const GRACE_MS = 2_000;
const MASS_LOSS_DOWN_MS = 2_000;

type Action = (history: OwnershipHistory) => void;

/** A history in progress. */
export class OwnershipHistory {
  readonly model: OwnershipModel;

  readonly random: Random;

  #nameCount = 0;

  constructor(seed: number, nodeCount: number) {
    this.random = new Random(seed);
    this.model = new OwnershipModel(new Random(seed + 1_000_003));
    for (let count = 0; count < nodeCount; count += 1) this.addNode();
  }

  addNode(): void {
    this.#nameCount += 1;
    // Departed nodes are not always the first ones in the list.
    const rank = this.random.nextInt(90) + 10;
    this.model.addNode(`node-${rank}-${this.#nameCount}`);
  }

  /** The present owner, or any node. */
  pickOwner(): OwnershipNode | undefined {
    return this.model.actingNodes[0] ?? this.pickNode();
  }

  pickNode(): OwnershipNode | undefined {
    const nodes = [...this.model.nodes.values()];
    return nodes[this.random.nextInt(Math.max(1, nodes.length))];
  }

  draw(maxMs: number): number {
    return 50 + this.random.nextFraction() * maxMs;
  }

  /** Half of the actions concern the owner. */
  pick(): OwnershipNode | undefined {
    return this.random.nextInt(2) === 0 ? this.pickOwner() : this.pickNode();
  }

  cut(inside: ReadonlySet<NodeId>, way: 'both' | 'in' | 'out', durationMs: number): void {
    const all = [...this.model.registered, ...this.model.targets.keys(), STORE];
    const outside = new Set(all.filter((name) => !inside.has(name)));
    const cuts: Cut[] = [];
    if (way !== 'out') cuts.push({ from: outside, to: inside });
    if (way !== 'in') cuts.push({ from: inside, to: outside });
    cuts.forEach((cut) => this.model.cuts.add(cut));
    this.model.time.after(durationMs, () => cuts.forEach((cut) => this.model.cuts.delete(cut)));
  }

  /** Draws a group of nodes with the owner in it, and the store or not. */
  drawGroup(): Set<NodeId> {
    const group = new Set<NodeId>();
    const owner = this.pickOwner();
    if (owner !== undefined) group.add(owner.nodeId);
    this.model.nodes.forEach(({ nodeId }) => {
      if (this.random.nextInt(2) === 0) group.add(nodeId);
    });
    this.model.targets.forEach(({ targetId }) => {
      if (this.random.nextInt(2) === 0) group.add(targetId);
    });
    if (this.random.nextInt(3) === 0) group.add(STORE);
    return group;
  }

  async play(actions: readonly Action[]): Promise<void> {
    await this.model.runFor(WARM_UP_MS);
    await this.#playUntil(actions, this.model.time.nowMs + TROUBLE_MS);
  }

  async #playUntil(actions: readonly Action[], untilMs: number): Promise<void> {
    if (this.model.time.nowMs >= untilMs) return undefined;
    actions[this.random.nextInt(actions.length)]?.(this);
    await this.model.runFor(this.draw(MAX_PAUSE_MS));
    return this.#playUntil(actions, untilMs);
  }
}

/** Actions by name. */
export const ACTIONS = {
  cut: (history) => {
    const ways = ['both', 'both', 'in', 'out'] as const;
    const way = ways[history.random.nextInt(ways.length)] ?? 'both';
    history.cut(history.drawGroup(), way, history.draw(MAX_CUT_MS));
  },
  storeCut: (history) => {
    const node = history.pick();
    if (node === undefined) return;
    const [inside, outside] = [new Set([node.nodeId]), new Set([STORE])];
    const cut = { from: inside, to: outside };
    history.model.cuts.add(cut);
    history.model.time.after(history.draw(MAX_CUT_MS), () => history.model.cuts.delete(cut));
  },
  outage: (history) => {
    const { model } = history;
    model.isStoreUp = false;
    model.time.after(history.draw(MAX_OUTAGE_MS), () => {
      model.isStoreUp = true;
    });
  },
  slowStore: (history) => {
    const { model } = history;
    model.storeDelayMs = history.random.nextFraction() * 400;
    model.lostAnswerShare = history.random.nextFraction() * 0.5;
    model.time.after(history.draw(MAX_OUTAGE_MS), () => {
      model.storeDelayMs = 3;
      model.lostAnswerShare = 0;
    });
  },
  freeze: (history) => history.pick()?.freeze(history.draw(MAX_FREEZE_MS)),
  restart: (history) => {
    const node = history.pick();
    if (node === undefined) return;
    history.model.kill(node, history.random.nextInt(2) === 0);
    history.model.time.after(history.draw(MAX_DOWN_MS), () => {
      if (!history.model.nodes.has(node.nodeId)) history.model.addNode(node.nodeId);
    });
  },
  replace: (history) => {
    const node = history.pick();
    if (node === undefined || node.isStopping) return;
    history.addNode();
    if (history.random.nextInt(2) === 0) history.model.kill(node, history.random.nextInt(2) === 0);
    else node.stop(GRACE_MS);
  },
  reset: (history) => history.pick()?.resetLinks(history.random.nextInt(2) === 0),
  resetAll: (history) => {
    const isSilent = history.random.nextInt(2) === 0;
    history.model.nodes.forEach((node) => node.resetLinks(isSilent));
  },
} satisfies Record<string, Action>;

/** Most or all nodes are lost at once, and others come. */
export const MASS_LOSS_ACTIONS: readonly Action[] = [
  (history) => {
    const { model, random } = history;
    const isReset = random.nextInt(2) === 0;
    const gapMs = random.nextInt(2) === 0 ? 0 : 50;
    const keptCount = random.nextInt(3);
    const lost = [...model.nodes.values()].slice(keptCount);
    lost.forEach((node, index) => {
      model.time.after(index * gapMs, () => model.kill(node, isReset));
      model.time.after(MASS_LOSS_DOWN_MS, () => history.addNode());
    });
  },
];
