/** A plain scheduler on the targets of the model of ownership. Its waits are those of the real owner's state. */

import { DEFAULT_MAX_LEASE_MS, LEASE_MS } from '../../src/owner/constants';
import { OwnerState } from '../../src/owner/ownerState';
import { toEpoch } from '../../src/types/ids';
import type { FencedTarget } from './fencedTarget';
import type { OwnershipModel } from './ownershipModel';
import type { OwnershipNode } from './ownershipNode';

const POLL_INTERVAL_MS = 200;

/** A target that has not answered for this long is silent. */
const SILENT_MS = 700;

/** Margin that an owner adds to a lease that it takes for expired. */
const EXPIRY_MARGIN_MS = 150;

interface KnownTarget {
  readonly target: FencedTarget;
  isResolved: boolean;
  answeredAtMs: number;
  /** When the lease that was asked for last expires if its call was carried out. */
  leaseEndMs: number;
  taskIds: Set<string>;
  /** One call is in flight at a time; the answer of one that was given up is ignored. */
  callCount: number;
  pendingSinceMs: number | undefined;
}

/** Keeps each task running on one target, for one epoch of an owner. */
export class ModelScheduler {
  #model: OwnershipModel;

  #node: OwnershipNode;

  #epoch: number;

  #state: OwnerState;

  #targets: readonly KnownTarget[];

  #isStopped = false;

  constructor(model: OwnershipModel, node: OwnershipNode, epoch: number) {
    this.#model = model;
    this.#node = node;
    this.#epoch = epoch;
    const { nowMs } = model.time;
    const record = {
      ...{ isComplete: true, targets: [], malformed: [] },
      readAt: { storeMs: nowMs, sentAtMs: nowMs },
      formerActsUntilMs: model.store.formerActsUntilMs,
    };
    this.#state = new OwnerState(toEpoch(epoch), DEFAULT_MAX_LEASE_MS, record);
    this.#setClocks();
    this.#state.setFormerOwners(record);
    this.#targets = [...model.targets.values()].map((target) => ({
      ...{ target, isResolved: false, answeredAtMs: -Infinity, leaseEndMs: -Infinity },
      taskIds: new Set<string>(),
      ...{ callCount: 0, pendingSinceMs: undefined },
    }));
  }

  start(): void {
    const run = () => {
      if (this.#isStopped) return;
      this.#work();
      this.#node.after(POLL_INTERVAL_MS, run);
    };
    run();
  }

  stop(): void {
    this.#isStopped = true;
  }

  #setClocks(): void {
    const { nowMs } = this.#model.time;
    const storeUnconfirmedForMs = this.#node.core.getStoreUnconfirmedForMs(nowMs);
    this.#state.setClocks({ nowMs, wallMs: nowMs, steadyMs: nowMs, storeUnconfirmedForMs });
  }

  #work(): void {
    this.#setClocks();
    this.#releaseSilent();
    this.#startWaiting();
    this.#targets.forEach((known) => this.#call(known));
  }

  #releaseSilent(): void {
    const { provenMs, unresolvedUntilMs } = this.#state;
    this.#targets.forEach((known) => {
      const silent = known;
      if (this.#isResponding(silent)) return;
      if (!silent.isResolved && provenMs >= unresolvedUntilMs) silent.isResolved = true;
      if (provenMs <= silent.leaseEndMs + EXPIRY_MARGIN_MS) return;
      silent.taskIds.clear();
    });
  }

  #isResponding({ answeredAtMs }: KnownTarget): boolean {
    return this.#model.time.nowMs < answeredAtMs + SILENT_MS;
  }

  #startWaiting(): void {
    if (this.#targets.some(({ isResolved }) => !isResolved)) return;
    const running = new Set(this.#targets.flatMap(({ taskIds }) => [...taskIds]));
    const responding = this.#targets.filter(
      (known) => this.#isResponding(known) && known.pendingSinceMs === undefined,
    );
    if (responding.length === 0) return;
    this.#model.taskIds
      .filter((taskId) => !running.has(taskId))
      .forEach((taskId) => {
        const known = responding[this.#model.random.nextInt(responding.length)];
        if (known === undefined || known.pendingSinceMs !== undefined) return;
        known.taskIds.add(taskId);
        this.#call(known, taskId);
      });
  }

  #call(called: KnownTarget, startedId?: string): void {
    const known = called;
    const { target } = known;
    const { nowMs } = this.#model.time;
    const isPending = nowMs < (known.pendingSinceMs ?? -Infinity) + SILENT_MS;
    if (isPending || !this.#node.isActing) return;
    known.pendingSinceMs = nowMs;
    known.callCount += 1;
    const { callCount } = known;
    // A silent target is only asked, so that its lease ends.
    const isRenewal = this.#isResponding(known);
    const call = { epoch: this.#epoch, isRenewal, startedId };
    if (isRenewal) known.leaseEndMs = Math.max(known.leaseEndMs, nowMs + 100 + LEASE_MS);
    this.#model.sendRaw(this.#node.nodeId, target.targetId, () => {
      const listed = target.call(call, this.#model.time.nowMs);
      this.#model.sendRaw(target.targetId, this.#node.nodeId, () =>
        this.#node.run(() => {
          if (known.callCount === callCount) this.#onAnswered(known, listed);
        }),
      );
    });
  }

  #onAnswered(answered: KnownTarget, listed: readonly string[] | undefined): void {
    if (this.#isStopped) return;
    const known = answered;
    if (listed === undefined) {
      const reason = 'a target has seen a later epoch';
      this.#node.dispatch({ kind: 'superseded', epoch: toEpoch(this.#epoch), reason });
      return;
    }
    known.pendingSinceMs = undefined;
    known.answeredAtMs = this.#model.time.nowMs;
    known.isResolved = true;
    // A start that was given up has arrived by now, or never will.
    known.taskIds = new Set(listed);
  }
}
