/** One process of the model of ownership: the wiring of a node around the real state machine. */

import * as E from 'fp-ts/Either';
import { LeaseQuorum } from '../../src/node/leaseQuorum';
import { OwnershipCore } from '../../src/node/ownership';
import { OwnerQueries } from '../../src/node/ownerQueries';
import type { OwnershipEffect, OwnershipEvent } from '../../src/node/ownershipTypes';
import type { DistributiveOmit } from '../../src/types/distributiveOmit';
import type { NodeId } from '../../src/types/ids';
import { assertNever } from '../../src/types/debug';
import type { OwnershipModel } from './ownershipModel';
import { ModelScheduler } from './modelScheduler';

const TICK_MS = 50;
const HEARTBEAT_MS = 200;
const HEARTBEAT_TIMEOUT_MS = 600;
const CONNECT_TIMEOUT_MS = 400;
const STORE_TIMEOUT_MS = 1_500;
const STORE_LOST_MS = 650;

/** Without an answer for this long the store counts as failing. */
const STORE_HEDGE_MS = 200;

const FOLLOWER_TIMEOUT_MS = 900;
const MEMBERS_INTERVAL_MS = 10_000;

const UNAVAILABLE = E.left({ kind: 'unavailable' as const, detail: 'timeout' });

type EventBody = DistributiveOmit<OwnershipEvent, 'nowMs'>;

/** A connection from a node to the owner. */
export interface Link {
  readonly from: OwnershipNode;
  readonly to: OwnershipNode;
  isOpen: boolean;
  /** Delivers nothing any more, without a reset. */
  isSilent: boolean;
}

interface Heartbeat {
  readonly nodeId: NodeId;
  readonly epoch: number;
  readonly startedAtMs: number;
  readonly isStoreReachable: boolean;
  readonly acknowledgedMs: number | undefined;
  readonly votedVersion: number;
  readonly isLeaving: boolean;
}

/** A process. */
export class OwnershipNode {
  readonly nodeId: NodeId;

  readonly startedAtMs: number;

  readonly core: OwnershipCore;

  readonly queries: OwnerQueries;

  #model: OwnershipModel;

  #isUp = true;

  #isStopping = false;

  #frozenUntilMs = 0;

  #members: readonly { nodeId: NodeId; address: string; processorMillis: number }[] = [];

  #link: Link | undefined;

  #acknowledgedMs: number | undefined;

  #ownerStoreLostForMs = 0;

  #isHeartbeatPending = false;

  #lease: LeaseQuorum | undefined;

  #followers = new Map<NodeId, { link: Link; heartbeatAtMs: number; isStoreReachable: boolean }>();

  #storeFailingSinceMs: number | undefined;

  /** Set while this process owns the fleet and has read the stored state. */
  #scheduler: ModelScheduler | undefined;

  constructor(model: OwnershipModel, nodeId: NodeId) {
    this.#model = model;
    this.nodeId = nodeId;
    this.startedAtMs = Math.round(model.time.nowMs) + 1;
    this.core = new OwnershipCore(nodeId, () => this.isStoreReachable);
    this.queries = new OwnerQueries({
      ...{ selfId: nodeId, core: this.core },
      getNowMs: () => model.time.nowMs,
      getMembers: () => this.#members,
      isStoreReachable: () => this.isStoreReachable,
      getOwnerStoreLostForMs: () => this.#ownerStoreLostForMs,
      yieldLease: () => this.#lease?.yield(model.time.nowMs),
      query: (address, query, timeoutMs) => model.query(this, address, query, timeoutMs),
    });
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  get isStopping(): boolean {
    return this.#isStopping;
  }

  get isStoreReachable(): boolean {
    return this.#storeLostForMs === 0;
  }

  /** Whether it would write a call to a target now. */
  get isActing(): boolean {
    const { nowMs } = this.#model.time;
    return this.#isUp && nowMs >= this.#frozenUntilMs && this.core.isAuthorized(nowMs);
  }

  get #storeLostForMs(): number {
    if (this.#storeFailingSinceMs === undefined) return 0;
    const failingMs = this.#model.time.nowMs - this.#storeFailingSinceMs;
    return failingMs < STORE_LOST_MS ? 0 : failingMs;
  }

  start(): void {
    this.#repeat(TICK_MS, () => this.#tick());
    this.#repeat(HEARTBEAT_MS, () => this.#sendHeartbeat());
    this.#repeat(MEMBERS_INTERVAL_MS, () => this.#readMembers());
  }

  /** Ends the process. Its connections are reset unless the machine loses its power. */
  end(isReset: boolean): void {
    this.#isUp = false;
    if (isReset) this.resetLinks();
  }

  /** The process is suspended; what arrives waits for it. */
  freeze(durationMs: number): void {
    this.#frozenUntilMs = this.#model.time.nowMs + durationMs;
  }

  /** Resets the connection to the owner and those of followers. */
  resetLinks(isSilent = false): void {
    const links = [...this.#followers.values()].map(({ link }) => link);
    if (this.#link !== undefined) links.push(this.#link);
    links.forEach((link) => this.#model.resetLink(link, isSilent));
  }

  /** A planned stop: hands the ownership over and ends after a while. */
  stop(graceMs: number): void {
    this.#isStopping = true;
    this.#model.registered.delete(this.nodeId);
    this.dispatch({ kind: 'stopRequested' });
    this.#handOver();
    this.after(graceMs, () => this.#model.kill(this, true));
  }

  /** Runs an action on this process, when it is not suspended; never after its end. */
  after(delayMs: number, action: () => void): void {
    this.#model.time.after(delayMs, () => this.run(action));
  }

  run(action: () => void): void {
    if (!this.#isUp) return;
    const remainingMs = this.#frozenUntilMs - this.#model.time.nowMs;
    if (remainingMs > 0) this.after(remainingMs, action);
    else action();
  }

  dispatch(event: EventBody): void {
    const { nowMs } = this.#model.time;
    const effects = this.core.reduce({ ...event, nowMs } as OwnershipEvent);
    effects.forEach((effect) => this.#perform(effect));
  }

  onLinkClosed(link: Link): void {
    if (this.#link === link) {
      this.#link = undefined;
      this.dispatch({ kind: 'linkLost', epoch: this.core.epoch, detail: 'closed' });
    }
    if (this.#followers.get(link.from.nodeId)?.link === link)
      this.#followers.delete(link.from.nodeId);
  }

  #repeat(intervalMs: number, action: () => void): void {
    const run = () => {
      action();
      this.after(intervalMs, run);
    };
    this.after(this.#model.random.nextFraction() * Math.min(intervalMs, TICK_MS), run);
  }

  #tick(): void {
    const { nowMs } = this.#model.time;
    this.dispatch({ kind: 'tick' });
    const { mode } = this.core;
    if (mode.kind !== 'owning' || this.#lease === undefined) return;
    [...this.#followers].forEach(([nodeId, { link, heartbeatAtMs }]) => {
      if (nowMs < heartbeatAtMs + FOLLOWER_TIMEOUT_MS) return;
      this.#followers.delete(nodeId);
      this.#model.resetLink(link, false);
    });
    if (this.core.isStorelessLimitReached(nowMs)) this.#lease.yield(nowMs);
    if (this.isStoreReachable) this.#writeVoters(this.#lease, mode.rowVersion);
    const sinceMs = this.#lease.tryGetConfirmedMs(nowMs);
    if (sinceMs !== undefined)
      this.dispatch({ kind: 'leaseConfirmed', epoch: mode.epoch, sinceMs });
  }

  #writeVoters(lease: LeaseQuorum, rowVersion: number): void {
    const write = lease.tryCreateWrite(
      this.#model.time.nowMs,
      this.#members.length,
      this.#model.storeDelayMs > 100,
    );
    if (write === undefined) return;
    this.#callStore(
      () => this.#model.store.writeVoters(rowVersion, write.expectedVersion, write.value),
      (outcome) => lease.onWritten(write, outcome),
      () => lease.onWritten(write, E.left({ kind: 'unknown', detail: 'timeout' })),
    );
  }

  #sendHeartbeat(): void {
    const link = this.#link;
    const { mode } = this.core;
    const isHeard =
      mode.kind === 'following' || (mode.kind === 'suspecting' && mode.suspicion === 'resigned');
    if (link === undefined || this.#isHeartbeatPending || !isHeard) return;
    const { epoch } = mode.row;
    this.#isHeartbeatPending = true;
    const heartbeat: Heartbeat = {
      ...{ nodeId: this.nodeId, epoch, startedAtMs: this.startedAtMs },
      isStoreReachable: this.isStoreReachable,
      acknowledgedMs: this.#acknowledgedMs,
      votedVersion: this.core.votedVersion,
      isLeaving: this.#isStopping,
    };
    const { to: owner } = link;
    this.after(HEARTBEAT_TIMEOUT_MS, () => {
      if (this.#link === link) this.#isHeartbeatPending = false;
    });
    this.#model.sendOnLink(link, this, owner, () => {
      const reply = owner.onHeartbeat(heartbeat, link);
      this.#model.sendOnLink(link, owner, this, () => {
        if (this.#link !== link) return;
        this.#isHeartbeatPending = false;
        this.#acknowledgedMs = reply.ownerMs;
        this.#ownerStoreLostForMs = reply.storeLostForMs;
        const { ownedEpoch, storeLostForMs } = reply;
        this.dispatch({ kind: 'heartbeatAnswered', epoch, ownedEpoch, storeLostForMs });
      });
    });
  }

  onHeartbeat(heartbeat: Heartbeat, link: Link) {
    const { nowMs } = this.#model.time;
    const { ownedEpoch } = this.core;
    if (this.#lease !== undefined && ownedEpoch === heartbeat.epoch) {
      const { nodeId, isStoreReachable } = heartbeat;
      this.#lease.note(heartbeat, nowMs);
      this.#followers.set(nodeId, { link, heartbeatAtMs: nowMs, isStoreReachable });
    }
    return { ownedEpoch, storeLostForMs: this.#storeLostForMs, ownerMs: nowMs };
  }

  #readMembers(): void {
    this.#callStore(
      () => [...this.#model.registered],
      (nodeIds) => {
        this.#members = nodeIds.map((nodeId) => ({
          ...{ nodeId, address: nodeId, processorMillis: 500 },
        }));
        this.dispatch({ kind: 'membersKnown', candidates: this.#members });
      },
      () => this.#readMembers(),
    );
  }

  #handOver(): void {
    const { mode } = this.core;
    if (mode.kind !== 'owning') return;
    const successor = [...this.#followers].find(
      ([, { link, isStoreReachable }]) => isStoreReachable && !link.from.isStopping,
    );
    if (successor === undefined) return;
    const [successorId] = successor;
    const isYielding = this.isStoreReachable;
    if (isYielding) this.#lease?.resign();
    const resigned = { epoch: mode.epoch, successorId, isYielding };
    this.#followers.forEach(({ link }) => {
      const { from } = link;
      this.#model.sendOnLink(link, this, from, () =>
        from.dispatch({ kind: 'resigned', ...resigned }),
      );
    });
  }

  #perform(effect: OwnershipEffect): void {
    switch (effect.kind) {
      case 'readOwnerRow':
        this.#callStore(
          () => this.#model.store.read(this.#model.time.nowMs),
          (row) => this.dispatch({ kind: 'rowRead', result: E.right(row) }),
          () => this.dispatch({ kind: 'rowRead', result: UNAVAILABLE }),
        );
        return;
      case 'openLink':
        this.#openLink(effect.address as NodeId, effect.epoch);
        return;
      case 'closeLink':
        this.#closeLink();
        return;
      case 'askPeers': {
        const { epoch } = effect.row;
        this.queries
          .ask(effect)
          .then((answers) =>
            this.run(() => this.dispatch({ kind: 'peersAnswered', epoch, answers })),
          )
          .catch((error: unknown) => this.#model.violations.push(String(error)));
        return;
      }
      case 'probeOwner': {
        const { address, epoch } = effect;
        this.queries
          .probe(address, epoch)
          .then((isOwning) =>
            this.run(() => this.dispatch({ kind: 'ownerProbed', epoch, isOwning })),
          )
          .catch((error: unknown) => this.#model.violations.push(String(error)));
        return;
      }
      case 'claim':
        this.#callStore(
          () => this.#model.store.claim(this.nodeId, effect, this.#model.time.nowMs),
          (result) => this.dispatch({ kind: 'claimed', epoch: effect.epoch, result }),
          () => this.dispatch({ kind: 'claimed', epoch: effect.epoch, result: UNAVAILABLE }),
        );
        return;
      case 'renew': {
        const { epoch, rowVersion } = effect;
        const sentAtMs = this.#model.time.nowMs;
        this.#callStore(
          () => this.#model.store.renew(rowVersion),
          (result) => this.dispatch({ kind: 'renewed', epoch, sentAtMs, result }),
          () => this.dispatch({ kind: 'renewed', epoch, sentAtMs, result: UNAVAILABLE }),
        );
        return;
      }
      case 'beginOwning': {
        const { epoch, rowVersion, votersVersion } = effect;
        this.#closeLink();
        this.#followers.clear();
        this.#lease = new LeaseQuorum(epoch, votersVersion ?? 0, this.#model.time.nowMs);
        const announcement = {
          ...{ kind: 'announced' as const, epoch, nodeId: this.nodeId },
          ...{ address: this.nodeId, rowVersion },
        };
        this.#members.forEach(({ nodeId }) => {
          const node = this.#model.nodes.get(nodeId);
          if (node !== undefined && node !== this)
            this.#model.send(this, node, () => node.dispatch(announcement));
        });
        this.#startScheduler(epoch);
        if (this.#isStopping) this.#handOver();
        return;
      }
      case 'endOwning':
        this.#lease = undefined;
        this.#scheduler?.stop();
        return;
      case 'log':
        this.#model.log(this, effect.message, effect.fields);
        return;
      default:
        assertNever(effect);
    }
  }

  /** The stored state is read first, as often as it takes. */
  #startScheduler(epoch: number): void {
    this.#scheduler?.stop();
    this.#callStore(
      () => this.#model.store.formerActsUntilMs,
      () => {
        if (this.core.ownedEpoch !== epoch) return;
        this.#scheduler = new ModelScheduler(this.#model, this, epoch);
        this.#scheduler.start();
      },
      () => {
        if (this.core.ownedEpoch === epoch) this.#startScheduler(epoch);
      },
    );
  }

  #openLink(ownerId: NodeId, epoch: number): void {
    const owner = this.#model.nodes.get(ownerId);
    const fail = () => {
      if (this.core.epoch === epoch && this.#link === undefined)
        this.dispatch({ kind: 'linkLost', epoch: this.core.epoch, detail: 'timeout' });
    };
    if (owner === undefined) {
      this.after(1, fail);
      return;
    }
    let isConnected = false;
    this.after(CONNECT_TIMEOUT_MS, () => {
      if (!isConnected) fail();
    });
    // The system of a suspended process accepts connections.
    this.#model.sendRaw(this.nodeId, ownerId, () => {
      this.#model.sendRaw(ownerId, this.nodeId, () => {
        this.run(() => {
          if (isConnected || this.core.epoch !== epoch) return;
          isConnected = true;
          this.#closeLink();
          this.#link = { from: this, to: owner, isOpen: true, isSilent: false };
          this.#acknowledgedMs = undefined;
          this.#isHeartbeatPending = false;
          this.dispatch({ kind: 'linkOpened', epoch: this.core.epoch });
        });
      });
    });
  }

  #closeLink(): void {
    const link = this.#link;
    this.#link = undefined;
    if (link !== undefined) this.#model.resetLink(link, false);
  }

  /** Calls the store. The answer may be lost, and the call may then be performed later. */
  #callStore<T>(perform: () => T, onResult: (result: T) => void, onFailure: () => void): void {
    const sentAtMs = this.#model.time.nowMs;
    let isSettled = false;
    this.after(STORE_HEDGE_MS, () => {
      if (!isSettled) this.#storeFailingSinceMs ??= sentAtMs;
    });
    this.after(STORE_TIMEOUT_MS, () => {
      if (isSettled) return;
      isSettled = true;
      onFailure();
    });
    this.#model.callStore(this, perform, (result) => {
      if (isSettled) return;
      isSettled = true;
      this.#storeFailingSinceMs = undefined;
      onResult(result);
    });
  }
}
