/** One node: gate, ownership state machine, and the owner's scheduler while it owns the fleet. */

import { setTimeout } from 'node:timers/promises';
import * as E from 'fp-ts/Either';
import type { Advice, AdviceFailure, HandedAdvice, SubmissionView } from '../owner/types';
import type { PeerHandlers, PeerLinkHandle, PeerCalls, PeerReplies } from '../peer/types';
import { PeerServer } from '../peer/peerServer';
import { startSocketFirstInterval } from '../rpc/socketFirstInterval';
import type { SocketFirstInterval } from '../rpc/socketFirstInterval';
import type { Committed, RowTransaction, StoreOutcome } from '../store/types';
import { MonitoredStore } from '../store/monitoredStore';
import type { Epoch, NodeId, QueueId, StepKey, SubmissionId, TargetId, TeamId } from '../types/ids';
import { AcceptanceWriter } from './acceptance';
import type { DelegatedOutcome } from './acceptance';
import type { CallerAnswer, CallerCall } from './callerTypes';
import { tryParseRowKey } from './cancellationRows';
import { CommitterLinks } from './committerLinks';
import { Gate } from './gate';
import { decodeHandedAdvice } from './handedAdvice';
import { MemberList } from './memberList';
import type { Member } from './memberList';
import { OperatorFollower } from './operatorFollower';
import type { OperatorSnapshot } from './operatorSnapshot';
import { OwnerHost } from './ownerHost';
import { OwnerNotifier, toNotifiedOwner } from './ownerNotifier';
import type { NotifiedOwner } from './ownerNotifier';
import { OwnershipShell } from './ownershipShell';
import type { NodePorts } from './ports';
import { RelayedStore } from './relayedStore';
import { FollowerTable } from './followerTable';
import { LeaseQuorum } from './leaseQuorum';
import { writeVoterSet } from './ownerRows';
import { Router } from './router';
import { getSubmissionPart } from './tables';
import { throwRejection } from '../types/debug';

/** Interval of the ownership checks. */
const TICK_INTERVAL_MS = 50;

/** Interval of heartbeats to the owner; three fit in the time after which a silent owner is suspected. */
const HEARTBEAT_INTERVAL_MS = 200;

/** Minimum time from taking the ownership, or from a hand-over, to the next hand-over to a stronger node. */
const HANDOVER_CHECK_INTERVAL_MS = 3_000;

/** Timeout for the owner's answer to another node. */
const OWNER_TIMEOUT_MS = 500;

/** How long a caller's request waits for an owner while there is none. */
const OWNER_WAIT_MS = 600;

/** Interval at which a waiting request checks for an owner. */
const OWNER_POLL_INTERVAL_MS = 50;

/** Added to the timeout of an advice call that another node relays. */
const RELAY_MARGIN_MS = 200;

/** A node's id, address and capacity. */
export interface NodeIdentity {
  readonly nodeId: NodeId;
  /** Address on which it listens for other nodes. */
  readonly host: string;
  readonly port: number;
  /** Processor capacity of its Vm, in thousandths of a core. */
  readonly processorMillis: number;
}

/** A call of another node fails while the answer is not known, so that it asks again or gives up. */
function requireRead<T>(answer: T | undefined): T {
  if (answer === undefined) throw new Error('this node has not read the stored state yet');
  return answer;
}

/** Runs one node. */
export class ClusterNode {
  #ports: NodePorts;

  #self: Member;

  #identity: NodeIdentity;

  #store: MonitoredStore;

  #operator: OperatorFollower;

  #members: MemberList;

  #ownership: OwnershipShell;

  #server: PeerServer;

  #gate: Gate;

  #acceptance: AcceptanceWriter;

  #committers: CommitterLinks;

  #notifier: OwnerNotifier;

  #ownerHost: OwnerHost | undefined;

  /** Set while this node owns the fleet. */
  #lease: LeaseQuorum | undefined;

  #followers = new FollowerTable();

  /** The last ownership of this process that has ended. */
  #ended: Pick<OwnerHost, 'epoch' | 'areFormerOwnersEnded'> | undefined;

  /** What the owner of an epoch has handed over to this node. */
  #handed:
    | {
        readonly epoch: Epoch;
        readonly receivedAtMs: number;
        readonly advice: readonly HandedAdvice[];
      }
    | undefined;

  #handoverCheckedAtMs = 0;

  #timers: NodeJS.Timeout[] = [];

  #ticks: SocketFirstInterval | undefined;

  #isStopping = false;

  #isFetchingOperator = false;

  /**
   * @param identity - id, address and capacity of this node
   * @param ports - external dependencies
   */
  constructor(identity: NodeIdentity, ports: NodePorts) {
    const { nodeId, host, port, processorMillis } = identity;
    this.#identity = identity;
    this.#self = { nodeId, address: `${host}:${port}`, processorMillis };
    this.#store = new MonitoredStore(
      ports.store,
      ports.clock,
      ports.metrics,
      (isReachable, detail) =>
        ports.logger.warn({ detail }, isReachable ? 'store regained' : 'store lost'),
      () => this.#ownership.isOwnerStoreSlow,
    );
    this.#ports = { ...ports, store: this.#store };
    this.#operator = new OperatorFollower(this.#ports, (snapshot) =>
      this.#onOperatorSnapshot(snapshot),
    );
    this.#members = new MemberList({
      ...{ store: this.#store, self: this.#self },
      onChanged: (candidates) => this.#ownership.dispatch({ kind: 'membersKnown', candidates }),
      isHeard: (memberId) => this.#followers.getLink(memberId) !== undefined,
      isRemover: () => this.#ownerHost !== undefined,
      onRemoved: (nodeIds) =>
        ports.logger.info({ nodeIds }, 'departed nodes removed from the list of nodes'),
    });
    const handlers = this.#createHandlers();
    this.#ownership = new OwnershipShell(
      this.#ports,
      this.#self,
      ports.store,
      this.#members,
      handlers,
      {
        onBegin: (epoch, rowVersion, votersVersion) =>
          this.#beginOwning(epoch, rowVersion, votersVersion),
        onEnd: (reason) => this.#endOwning(reason),
        onFormerOwnersEnded: (epoch) => this.#onFormerOwnersEnded(epoch),
        onOperatorVersion: (version, link) => this.#onOperatorVersion(version, link),
        onLoad: (load) => this.#gate.onLoad(load),
        getOperatorVersion: () => this.#operator.snapshot.changeVersion,
        isStoreReachable: () => this.#store.isReachable,
        isStopping: () => this.#isStopping,
        yieldLease: () => this.#lease?.yield(ports.clock.nowMs()),
      },
    );
    this.#server = new PeerServer(handlers, (link) => this.#onFollowerClosed(link));
    this.#committers = new CommitterLinks({
      ...{ selfId: nodeId, clock: ports.clock, logger: ports.logger, metrics: ports.metrics },
      isStoreSlow: () => this.#store.isSlow || this.#ownership.isOwnerStoreSlow,
      isStoreLate: () => this.#store.isLate,
      getMembers: () => this.#members.members,
      getOwnerId: () => this.#ownership.core.followedId,
    });
    this.#acceptance = new AcceptanceWriter(
      new RelayedStore(
        this.#store,
        (transaction, timeoutMs) => this.#relayTransaction(transaction, timeoutMs),
        () => this.#store.isReachable,
      ),
      ports.clock,
      () => !this.#store.isReachable && !this.#ownership.isOwnerStoreReachable,
      this.#committers,
    );
    this.#notifier = new OwnerNotifier({
      ...{ logger: ports.logger, metrics: ports.metrics },
      getOwner: () => this.#getNotifiedOwner(),
      getNowMs: () => ports.clock.nowMs(),
    });
    this.#gate = new Gate({
      ...this.#ports,
      acceptance: this.#acceptance,
      owner: {
        getView: (submissionId, teamId) => this.#getView(submissionId, teamId),
        getWaitingCount: (queueId) => this.#getWaitingCount(queueId),
        notify: (notice) => this.#notifier.notify(notice),
      },
      getServingEpoch: () => this.#ownership.servingEpoch,
      isStoreSlow: () => this.#store.isSlow || this.#store.isLate,
      getStoreLostForMs: () => this.#store.unreachableForMs,
      getNodeCount: () => this.#members.members.length,
    });
  }

  /** True when the load balancer may send new connections to this node. */
  get isReady(): boolean {
    // States can be told only by the owner, to which other nodes may have a connection.
    if (this.#ownership.core.isCutFromLiveOwner(this.#ports.clock.nowMs())) return false;
    const canServe = this.#store.isReachable || this.#ownership.link !== undefined;
    return !this.#isStopping && this.#operator.snapshot.operator.config !== undefined && canServe;
  }

  /** Starts listening, following the store and checking the ownership. */
  async start(): Promise<void> {
    await this.#server.listen(this.#identity.host, this.#identity.port);
    this.#operator.start();
    this.#members.start();
    this.#ticks = startSocketFirstInterval(() => this.#tick(), TICK_INTERVAL_MS);
    this.#timers.push(setInterval(() => this.#ownership.sendHeartbeat(), HEARTBEAT_INTERVAL_MS));
    this.#ownership.dispatch({ kind: 'tick' });
  }

  /**
   * Answers a caller's request.
   * @param call - the request
   * @returns the answer
   */
  answer(call: CallerCall): Promise<CallerAnswer> {
    return this.#gate.answer(call);
  }

  /** Begins a planned stop: reports not ready and hands the ownership over to another node. */
  beginStop(): void {
    this.#isStopping = true;
    this.#ownership.dispatch({ kind: 'stopRequested' });
    this.#members.leave();
    if (this.#followers.getSuccessorId() !== undefined) this.#ownerHost?.prepareHandover();
  }

  /** Chooses the successor only now, as a node may have left during the preparation. */
  #onHandoverPrepared(epoch: Epoch): void {
    if (this.#ownerHost?.epoch !== epoch) return;
    const nowMs = this.#ports.clock.nowMs();
    const successorId = this.#isStopping
      ? this.#followers.getSuccessorId()
      : this.#followers.tryGetStrongerId(this.#self.processorMillis, nowMs);
    if (successorId === undefined) return;
    this.#handOver(successorId, this.#isStopping ? 'planned stop' : 'stronger node');
  }

  /** Asks the followers to replace this owner, which goes on working until the successor's claim. */
  #handOver(successorId: NodeId, reason: string): void {
    const { mode } = this.#ownership.core;
    if (mode.kind !== 'owning') return;
    this.#ports.logger.info({ epoch: mode.epoch, successorId, reason }, 'ownership handed over');
    const nowMs = this.#ports.clock.nowMs();
    const advice = this.#ownerHost?.core?.getHandedAdvice(nowMs) ?? [];
    // Without the store no successor can claim at once, and the voters are needed until one does.
    const isYielding = this.#store.isReachable;
    if (isYielding) this.#lease?.resign();
    const successorLink = this.#followers.getLink(successorId);
    this.#followers.links.forEach((link) => {
      const isSuccessor = link === successorLink;
      const params = {
        ...{ epoch: mode.epoch, successorId, isYielding },
        ...(isSuccessor ? { advice } : {}),
      };
      link.call('resign', params, OWNER_TIMEOUT_MS).catch((error: unknown) => {
        this.#ports.logger.info({ reason: String(error) }, 'resignation not delivered');
      });
    });
  }

  /** Hands over to a much stronger node, as a weak one may have become owner while it was down. */
  #tryHandOverToStronger(nowMs: number): void {
    if (this.#isStopping || nowMs < this.#handoverCheckedAtMs + HANDOVER_CHECK_INTERVAL_MS) return;
    const strongerId = this.#followers.tryGetStrongerId(this.#self.processorMillis, nowMs);
    if (strongerId === undefined) return;
    this.#handoverCheckedAtMs = nowMs;
    this.#ownerHost?.prepareHandover();
  }

  /** Stops all timers, followers and connections. */
  stop(): void {
    this.#ticks?.stop();
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#operator.stop();
    this.#members.stop();
    this.#ownerHost?.stop();
    this.#ownership.close();
    this.#committers.close();
    this.#server.close();
  }

  /** @returns the state dump for operators */
  dump(): unknown {
    return {
      nodeId: this.#self.nodeId,
      ownership: this.#ownership.core.mode,
      isReady: this.isReady,
      isStoreReachable: this.#store.isReachable,
      configVersion: this.#operator.snapshot.operator.config?.version,
      closedDataCentreIds: this.#operator.snapshot.operator.closedDataCentreIds,
      members: this.#members.members,
      followerIds: this.#followers.nodeIds,
      owner: this.#ownerHost?.core?.dump(),
    };
  }

  #tick(): void {
    this.#ownership.dispatch({ kind: 'tick' });
    this.#notifier.check();
    if (this.#ownerHost === undefined) return;
    this.#gate.onLoad(this.#ownerHost.core?.load.summary);
    const nowMs = this.#ports.clock.nowMs();
    this.#tryHandOverToStronger(nowMs);
    this.#followers.removeExpired(nowMs).forEach(({ nodeId, link }) => {
      this.#ports.logger.info({ nodeId }, 'node disconnected after missing heartbeats');
      link.close();
      this.#updateLanes();
    });
    this.#confirmLease(nowMs);
  }

  #confirmLease(nowMs: number): void {
    const { mode } = this.#ownership.core;
    if (mode.kind !== 'owning' || this.#lease === undefined) return;
    const { epoch, rowVersion } = mode;
    // A claim that was sent without votes may still take effect when this node reaches the store again.
    if (this.#ownership.core.isStorelessLimitReached(nowMs)) this.#lease.yield(nowMs);
    if (this.#store.isReachable) this.#writeVoterSet(this.#lease, rowVersion, nowMs);
    const sinceMs = this.#lease.tryGetConfirmedMs(nowMs);
    if (sinceMs === undefined) return;
    this.#ownership.dispatch({ kind: 'leaseConfirmed', epoch, sinceMs });
  }

  #writeVoterSet(lease: LeaseQuorum, rowVersion: number, nowMs: number): void {
    const write = lease.tryCreateWrite(nowMs, this.#members.members.length, this.#store.isSlow);
    if (write === undefined) return;
    writeVoterSet(this.#store, rowVersion, write).then((outcome) => {
      lease.onWritten(write, outcome);
      const { voterCount } = lease;
      const failure = E.isLeft(outcome) ? outcome.left.kind : undefined;
      this.#ports.logger.info({ voterCount, failure }, 'voter set written');
    }, throwRejection);
  }

  #beginOwning(epoch: Epoch, rowVersion: number, votersVersion: number | undefined): void {
    const { clock } = this.#ports;
    const { core } = this.#ownership;
    const nowMs = clock.nowMs();
    this.#followers.clear();
    this.#lease = new LeaseQuorum(epoch, votersVersion ?? 0, nowMs);
    this.#handoverCheckedAtMs = nowMs;
    this.#ownerHost = new OwnerHost(
      this.#ports,
      {
        isAuthorized: () => core.isAuthorized(clock.nowMs()),
        getStoreUnconfirmedForMs: (timeMs) => core.getStoreUnconfirmedForMs(timeMs),
        advise: (nodeId, stepKey, targetIds, timeoutMs) =>
          this.#advise(nodeId, stepKey, targetIds, timeoutMs),
        onHandoverPrepared: () => this.#onHandoverPrepared(epoch),
        onSuperseded: (reason) => this.#ownership.dispatch({ kind: 'superseded', epoch, reason }),
      },
      epoch,
      rowVersion,
      this.#operator.snapshot,
      this.#self.processorMillis,
    );
    this.#updateLanes();
    const handed = this.#handed;
    this.#handed = undefined;
    if (handed?.epoch === epoch - 1)
      this.#ownerHost.adoptAdvice(handed.advice, handed.receivedAtMs);
    this.#ownerHost.start().catch(throwRejection);
  }

  #onFormerOwnersEnded(epoch: Epoch): void {
    if (this.#ownerHost?.epoch === epoch) this.#ownerHost.confirmFormerOwnersEnded();
  }

  #endOwning(reason: string): void {
    this.#ports.logger.info({ reason }, 'owner stopped');
    this.#ownerHost?.stop();
    this.#ended = this.#ownerHost;
    this.#ownerHost = undefined;
    this.#lease = undefined;
    this.#followers.clear();
  }

  #updateLanes(): void {
    this.#ownerHost?.setLanes([this.#self.nodeId, ...this.#followers.nodeIds]);
  }

  #onOperatorSnapshot(snapshot: OperatorSnapshot): void {
    const { config } = snapshot.operator;
    if (config !== undefined) this.#gate.setRouter(new Router(config));
    this.#ownerHost?.setOperator(snapshot);
  }

  #onOperatorVersion(version: number, link: PeerLinkHandle): void {
    if (version <= this.#operator.snapshot.changeVersion || this.#isFetchingOperator) return;
    this.#isFetchingOperator = true;
    link
      .call('getOperator', {}, OWNER_TIMEOUT_MS)
      .then(({ snapshot }) => {
        if (snapshot !== null) this.#operator.adopt(snapshot);
      })
      .catch((error: unknown) => {
        this.#ports.logger.info({ reason: String(error) }, 'cannot fetch operator state');
      })
      .finally(() => {
        this.#isFetchingOperator = false;
      });
  }

  #createHandlers(): PeerHandlers {
    return {
      heartbeat: (params, link) => this.#onHeartbeat(params, link),
      submitted: ({ text }) => ({ epoch: this.#requireHost().take({ kind: 'submitted', text }) }),
      cancelled: ({ submissionId }) => ({
        epoch: this.#requireHost().take({ kind: 'cancelled', submissionId }),
      }),
      cancelledAhead: ({ row }) => ({
        epoch: this.#requireHost().take({ kind: 'cancelledAhead', row }),
      }),
      getView: ({ submissionId, teamId }) =>
        requireRead(this.#requireHost().getView(submissionId, teamId)),
      getWaiting: ({ queueId }) => ({
        count: requireRead(this.#requireHost().getWaitingCount(queueId)),
      }),
      getOperator: () => ({ snapshot: this.#operator.snapshot }),
      transact: ({ transaction }) => this.#transactForPeer(transaction),
      storeRow: (params) => this.#storeRowForPeer(params),
      ping: () => ({}),
      advise: async ({ stepKey, targetIds, timeoutMs }) => {
        const result = await this.#ports.advice.advise(stepKey, targetIds, timeoutMs);
        return E.isRight(result)
          ? { kind: 'advice', advice: result.right }
          : { kind: 'failed', failure: result.left };
      },
      isOwnerHeard: (query) => this.#ownership.queries.answer(query),
      announce: (params) => {
        this.#ownership.dispatch({ kind: 'announced', ...params });
        if (this.#ended === undefined || this.#ownerHost !== undefined) return {};
        const { epoch, areFormerOwnersEnded } = this.#ended;
        return { endedEpoch: epoch, areFormerOwnersEnded };
      },
      resign: ({ epoch, successorId, isYielding, advice }) => {
        const receivedAtMs = this.#ports.clock.nowMs();
        if (successorId === this.#self.nodeId)
          this.#handed = { epoch, receivedAtMs, advice: decodeHandedAdvice(advice) };
        this.#ownership.dispatch({ kind: 'resigned', epoch, successorId, isYielding });
        return {};
      },
    };
  }

  #requireHost(): OwnerHost {
    if (this.#ownerHost === undefined) throw new Error('this node does not own the fleet');
    return this.#ownerHost;
  }

  #onHeartbeat(params: PeerCalls['heartbeat'], link: PeerLinkHandle): PeerReplies['heartbeat'] {
    const { ownedEpoch } = this.#ownership.core;
    if (this.#ownerHost !== undefined && ownedEpoch === params.epoch)
      this.#recordFollower(params, link);
    this.#onOperatorVersion(params.operatorVersion, link);
    return {
      ownedEpoch,
      operatorVersion: this.#operator.snapshot.changeVersion,
      storeLostForMs: this.#store.unreachableForMs,
      isStoreSlow: this.#store.isSlow,
      ownerMs: this.#ports.clock.nowMs(),
      load: this.#ownerHost?.core?.load.summary,
    };
  }

  #recordFollower(params: PeerCalls['heartbeat'], link: PeerLinkHandle): void {
    const { nodeId, startedAtMs, acknowledgedMs, votedVersion = 0, isLeaving = false } = params;
    const nowMs = this.#ports.clock.nowMs();
    this.#lease?.note({ nodeId, startedAtMs, acknowledgedMs, votedVersion, isLeaving }, nowMs);
    if (!this.#followers.note({ ...params, link }, nowMs)) return;
    this.#ports.logger.info({ nodeId }, 'node connected');
    if (!this.#members.members.some((member) => member.nodeId === nodeId)) this.#members.refresh();
    this.#updateLanes();
  }

  #onFollowerClosed(link: PeerLinkHandle): void {
    const nodeId = this.#followers.removeByLink(link);
    if (nodeId === undefined) return;
    this.#ports.logger.info({ nodeId }, 'node disconnected');
    this.#updateLanes();
  }

  async #storeRowForPeer(params: PeerCalls['storeRow']): Promise<DelegatedOutcome> {
    const { table, key, value, timeoutMs } = params;
    const submissionId = tryParseRowKey(table, key);
    const canStore = this.#store.isReachable && !this.#isStopping;
    if (!canStore || submissionId === undefined) return { kind: 'notSent' };
    const put = { table, part: getSubmissionPart(submissionId), key, value };
    return this.#acceptance.writeForPeer(put, timeoutMs);
  }

  async #transactForPeer(transaction: RowTransaction): Promise<PeerReplies['transact']> {
    const outcome = await this.#store.transact(transaction, OWNER_TIMEOUT_MS);
    if (E.isLeft(outcome)) return { kind: 'failed', failure: outcome.left };
    return { kind: 'committed', version: outcome.right.version };
  }

  #relayTransaction(
    transaction: RowTransaction,
    timeoutMs: number,
  ): Promise<StoreOutcome<Committed>> | undefined {
    return this.#ownership.link
      ?.call('transact', { transaction }, timeoutMs)
      .then((reply): StoreOutcome<Committed> =>
        reply.kind === 'committed' ? E.right({ version: reply.version }) : E.left(reply.failure),
      )
      .catch((error: unknown) => E.left({ kind: 'unknown', detail: String(error) }));
  }

  async #advise(
    nodeId: NodeId,
    stepKey: StepKey,
    targetIds: readonly TargetId[],
    timeoutMs: number,
  ): Promise<E.Either<AdviceFailure, Advice>> {
    if (nodeId === this.#self.nodeId) {
      return this.#ports.advice.advise(stepKey, targetIds, timeoutMs);
    }
    const link = this.#followers.getLink(nodeId);
    if (link === undefined) return E.left({ kind: 'failed', detail: 'node not connected' });
    try {
      const params = { stepKey, targetIds, timeoutMs };
      const reply = await link.call('advise', params, timeoutMs + RELAY_MARGIN_MS);
      return reply.kind === 'advice' ? E.right(reply.advice) : E.left(reply.failure);
    } catch (error) {
      return E.left({ kind: 'failed', detail: String(error) });
    }
  }

  #getView(submissionId: SubmissionId, teamId?: TeamId): Promise<SubmissionView | undefined> {
    return this.#askOwner(
      () => this.#ownerHost?.getView(submissionId, teamId),
      (link) => link.call('getView', { submissionId, teamId }, OWNER_TIMEOUT_MS),
    );
  }

  async #getWaitingCount(queueId: QueueId): Promise<number | undefined> {
    const answer = await this.#askOwner(
      () => {
        const count = this.#ownerHost?.getWaitingCount(queueId);
        return count === undefined ? undefined : { count };
      },
      (link) => link.call('getWaiting', { queueId }, OWNER_TIMEOUT_MS),
    );
    return answer?.count;
  }

  /** Queries the owner on this or another node; polls for up to `OWNER_WAIT_MS` while there is none. */
  async #askOwner<T>(
    askLocal: () => T | undefined,
    askRemote: (link: PeerLinkHandle) => Promise<T>,
    waitedMs = 0,
  ): Promise<T | undefined> {
    const localAnswer = askLocal();
    if (localAnswer !== undefined) return localAnswer;
    const { link } = this.#ownership;
    if (link !== undefined) {
      const reply = await askRemote(link).catch((error: unknown) => {
        this.#ports.logger.debug({ reason: String(error) }, 'owner did not answer');
        return undefined;
      });
      if (reply !== undefined) return reply;
    }
    if (waitedMs >= OWNER_WAIT_MS) return undefined;
    await setTimeout(OWNER_POLL_INTERVAL_MS);
    return this.#askOwner(askLocal, askRemote, waitedMs + OWNER_POLL_INTERVAL_MS);
  }

  #getNotifiedOwner(): NotifiedOwner | undefined {
    const host = this.#ownerHost;
    const { link } = this.#ownership;
    const { epoch } = this.#ownership.core;
    if (host !== undefined)
      return { epoch: host.epoch, deliver: async (notice) => host.take(notice) };
    return link === undefined ? undefined : toNotifiedOwner(link, epoch, OWNER_TIMEOUT_MS);
  }
}
