/** The scheduler's reducer: one function from an event to the effects that it calls for. */

import { ConfigHolder } from '../config/configHolder';
import type { ConfigEffect } from '../config/effects';
import type { SchedulerSettings } from '../config/settings';
import { EscrowLedger } from '../escrow/escrowLedger';
import type { EscrowEffect } from '../escrow/types';
import { createShardLoad, JobTable } from '../jobs/jobTable';
import type { JobEffect } from '../jobs/jobTable';
import { TASK_LEASE_MS, TaskRunner } from '../jobs/taskRunner';
import type { TaskEffect } from '../jobs/taskRunner';
import type { TaskNews } from '../jobs/types';
import { LeaseKeeper } from '../lease/leaseKeeper';
import { getHomeShard, getShardPlacements, isHomeShard } from '../lease/shards';
import type { LeaseEffect } from '../lease/types';
import { TargetPool } from '../placement/targetPool';
import type { Target } from '../placement/types';
import type { Vm } from '../platform/types';
import type { HeartbeatReply, MemberStatus, Routes, RpcResult, ShardOwner } from '../rpc/types';
import { assertNever } from '../types/debug';
import type { MemberId, ShardId } from '../types/ids';
import { ok } from '../types/outcomes';
import { ConfigDuty } from './configDuty';
import { EscrowDuty } from './escrowDuty';
import { InFlightStarts } from './inFlightStarts';
import { MemberDuty } from './memberDuty';
import { Ownership } from './ownership';
import { Peers } from './peers';
import { RequestDuty } from './requestDuty';
import { getTargets } from './targetDuty';
import type { PeerOrigin, SchedulerEffect, SchedulerEvent, TargetOrigin } from './types';

const VM_LIST_INTERVAL_MS = 2_000;
const REPORT_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_500;

/** When each periodic duty is next due. */
interface Schedule {
  vmListMs: number;
  reportMs: number;
}

type PlatformReplied = Extract<SchedulerEvent, { kind: 'platformReplied' }>;
type TargetReplied = Extract<SchedulerEvent, { kind: 'targetReplied' }>;
type PeerReplied = Extract<SchedulerEvent, { kind: 'peerReplied' }>;
type Called = Extract<SchedulerEvent, { kind: 'called' }>;

/** State of one scheduler, changed by events alone. */
export class SchedulerCore {
  #settings: SchedulerSettings;

  #lease: LeaseKeeper;

  #config = new ConfigHolder();

  #configDuty: ConfigDuty;

  #ledger = new EscrowLedger();

  #pool = new TargetPool(this.#ledger);

  #escrow: EscrowDuty;

  #ownership: Ownership;

  #requests: RequestDuty;

  #tasks: TaskRunner;

  #jobs = new JobTable();

  #peers = new Peers();

  #memberDuty: MemberDuty;

  #inFlight = new InFlightStarts();

  #tickedMs = 0;

  #due: Schedule = { vmListMs: 0, reportMs: 0 };

  #isDraining = false;

  /**
   * @param memberId - this run of this scheduler
   * @param settings - checked settings
   */
  constructor(memberId: MemberId, settings: SchedulerSettings) {
    this.#settings = settings;
    const { dataCentreId, region, advertisedAddress: address, vmId } = settings;
    this.#lease = new LeaseKeeper(memberId, { address, vmId, dataCentreId, region });
    this.#configDuty = new ConfigDuty(memberId, address, this.#config);
    this.#memberDuty = new MemberDuty(this.#lease, this.#peers, this.#configDuty);
    this.#escrow = new EscrowDuty(this.#ledger, this.#lease, this.#pool);
    this.#ownership = new Ownership(this.#lease, this.#config, this.#pool);
    this.#requests = new RequestDuty(
      this.#lease,
      this.#config,
      this.#pool,
      this.#ownership,
      dataCentreId,
    );
    this.#tasks = new TaskRunner(this.#pool, this.#ownership);
    this.#ownership.setReplicas(this.#tasks);
  }

  /** True when a planned stop was asked for and nothing is left to do. */
  get isDrained(): boolean {
    const isIdle = this.#requests.openCount === 0 && this.#lease.ownedShardIds.length === 0;
    return this.#isDraining && isIdle;
  }

  /**
   * Applies one event.
   * @param event - what happened
   * @returns what to do about it
   */
  reduce(event: SchedulerEvent): readonly SchedulerEffect[] {
    if (event.kind === 'targetReplied') this.#inFlight.finish(event.origin);
    const effects = this.#reduce(event);
    this.#inFlight.track(effects);
    return effects;
  }

  #reduce(event: SchedulerEvent): readonly SchedulerEffect[] {
    switch (event.kind) {
      case 'tick':
        return this.#tick(event.nowMs, event.wallMs);
      case 'platformReplied':
        return this.#applyPlatform(event);
      case 'targetReplied':
        return this.#applyTarget(event);
      case 'peerReplied':
        return this.#applyPeer(event);
      case 'called':
        return this.#answer(event);
      case 'drainRequested':
        this.#isDraining = true;
        return [{ kind: 'log', message: 'draining', fields: {} }];
      default:
        return assertNever(event);
    }
  }

  #tick(nowMs: number, wallMs: number): readonly SchedulerEffect[] {
    const placements = getShardPlacements(this.#config.config.sheet);
    const context = {
      shards: placements,
      busyShardIds: this.#inFlight.busyShardIds,
      isLeaving: this.#isDraining,
      isHandingOver: this.#isDraining && this.#requests.openCount === 0,
    };
    return [
      ...this.#fromLease(nowMs, this.#lease.tick(nowMs, context)),
      ...this.#fromEscrow(nowMs, this.#escrow.tick(nowMs)),
      ...this.#fromConfig(nowMs, this.#configDuty.tick(nowMs)),
      ...this.#listVms(nowMs),
      ...this.#memberDuty.tick(nowMs, () => this.#getStatus(nowMs)),
      ...this.#askReports(nowMs),
      ...this.#requests.tick(nowMs, wallMs),
      ...this.#fromJobs(nowMs, this.#jobs.tick(nowMs)),
    ];
  }

  #listVms(nowMs: number): readonly SchedulerEffect[] {
    if (nowMs < this.#due.vmListMs) return [];
    this.#due.vmListMs = nowMs + VM_LIST_INTERVAL_MS;
    return [{ kind: 'callPlatform', origin: { kind: 'vmList' }, call: { kind: 'listVms' } }];
  }

  #askReports(nowMs: number): readonly SchedulerEffect[] {
    const sinceMs = this.#tickedMs;
    this.#tickedMs = nowMs;
    const isDue = nowMs >= this.#due.reportMs;
    if (isDue) this.#due.reportMs = nowMs + REPORT_INTERVAL_MS;
    const targets = isDue
      ? this.#ownership.getCandidates()
      : this.#ownership.getSettledBetween(sinceMs, nowMs);
    return targets.flatMap((target) => this.#askReport(nowMs, target));
  }

  #askReport(nowMs: number, target: Target): readonly SchedulerEffect[] {
    const permit = this.#ownership.tryGetOwnerPermit(target, nowMs);
    if (permit === undefined) return [];
    const { targetId, shardId, address } = target;
    const token = { shardId, epoch: permit.epoch };
    const common = { address, timeoutMs: REPORT_TIMEOUT_MS, notAfterMs: permit.untilMs };
    return [
      {
        kind: 'callTarget',
        origin: { kind: 'renew', targetId },
        call: { kind: 'renew', token, leaseMs: TASK_LEASE_MS },
        ...common,
      },
      {
        kind: 'callTarget',
        origin: { kind: 'report', targetId, ...token, sentMs: nowMs },
        call: { kind: 'report', token },
        ...common,
      },
    ];
  }

  #applyPlatform(event: PlatformReplied): readonly SchedulerEffect[] {
    const { nowMs, origin, result } = event;
    switch (origin.kind) {
      case 'configRead':
      case 'configMembers':
      case 'configRegister':
      case 'configUnregister':
      case 'configChangeRead':
      case 'configChangeWrite':
        return this.#fromConfig(nowMs, this.#configDuty.applyPlatform(nowMs, origin, result));
      case 'vmList':
        if (result.kind === 'vms') this.#applyVms(nowMs, result.vms);
        return [];
      case 'escrowRead':
      case 'escrowWrite':
        return this.#fromEscrow(nowMs, this.#escrow.applyResult(nowMs, origin, result));
      case 'jobFlush':
      case 'jobLoad':
        return this.#fromJobs(nowMs, this.#jobs.applyResult(origin, result));
      default:
        return this.#fromLease(nowMs, this.#lease.applyResult(nowMs, origin, result));
    }
  }

  #applyTarget({ nowMs, origin, result }: TargetReplied): readonly SchedulerEffect[] {
    switch (origin.kind) {
      case 'request':
        return this.#requests.applyTargetResult(nowMs, origin, result);
      case 'taskStart':
      case 'taskAcknowledge':
      case 'taskCheckpoint':
      case 'taskStop':
        return this.#fromTasks(nowMs, this.#tasks.applyTargetResult(nowMs, origin, result));
      case 'report':
        if (result.kind !== 'report') return [];
        return this.#applyReport(nowMs, origin, result);
      case 'renew':
        return [];
      default:
        return assertNever(origin);
    }
  }

  #applyReport(
    nowMs: number,
    origin: Extract<TargetOrigin, { kind: 'report' }>,
    result: Extract<TargetReplied['result'], { kind: 'report' }>,
  ): readonly SchedulerEffect[] {
    const target = this.#pool.get(origin.targetId);
    const permit = target && this.#ownership.tryGetOwnerPermit(target, nowMs);
    if (target === undefined || permit === undefined || permit.epoch !== origin.epoch) return [];
    const effects = this.#tasks.applyReport(target, permit, result.report);
    this.#ownership.markReported(target, origin.epoch, origin.sentMs);
    this.#ownership.markLeaving(target.targetId, result.report.leaving, origin.sentMs);
    return [
      ...this.#fromTasks(nowMs, effects),
      ...this.#requests.applyReport(nowMs, origin.sentMs, target.targetId, result.report),
    ];
  }

  #applyPeer({ nowMs, origin, result }: PeerReplied): readonly SchedulerEffect[] {
    switch (origin.kind) {
      case 'heartbeat':
        return this.#applyHeartbeatResult(nowMs, origin, result as RpcResult<HeartbeatReply>);
      case 'configFetch':
      case 'configOffer':
        return this.#fromConfig(nowMs, this.#configDuty.applyPeer(nowMs, origin, result));
      case 'oneWay':
        return [];
      default:
        return assertNever(origin);
    }
  }

  #applyHeartbeatResult(
    nowMs: number,
    origin: Extract<PeerOrigin, { kind: 'heartbeat' }>,
    result: RpcResult<HeartbeatReply>,
  ): readonly SchedulerEffect[] {
    this.#memberDuty.applyResult(nowMs, origin, result);
    const effects = this.#configDuty.applyHeartbeatResult(nowMs, origin, result);
    return this.#fromConfig(nowMs, effects);
  }

  #answer({ nowMs, wallMs, callId, call }: Called): readonly SchedulerEffect[] {
    const reply = (value: unknown): SchedulerEffect => ({ kind: 'replyCall', callId, value });
    switch (call.kind) {
      case 'heartbeat':
        return [
          reply(this.#memberDuty.answer(nowMs, call, this.#getStatus(nowMs))),
          ...this.#fromConfig(nowMs, this.#configDuty.applyHeartbeat(nowMs, call.config)),
        ];
      case 'getRoutes':
        return [reply(this.#getRoutes(nowMs))];
      case 'getConfig':
        return [reply(this.#config.config)];
      case 'offerConfig':
        return [...this.#fromConfig(nowMs, this.#configDuty.adopt(call.config)), reply({})];
      case 'changeConfig':
        return this.#fromConfig(nowMs, this.#configDuty.change(nowMs, callId, call));
      case 'startRequest':
        return this.#requests.start({ nowMs, wallMs, callId, isDraining: this.#isDraining }, call);
      case 'cancelRequest':
        return [reply({}), ...this.#requests.cancel(nowMs, call.cancelId)];
      case 'submitJob':
        return this.#fromJobs(nowMs, this.#jobs.submit(callId, call.spec, call.teamId));
      case 'getJob':
        return [reply(this.#jobs.get(call.jobId, call.teamId))];
      case 'listJobs':
        return [reply(ok(this.#jobs.list(call.teamId)))];
      case 'cancelJob':
        return [reply(this.#jobs.cancel(call.jobId, call.teamId))];
      case 'startTask':
        return [reply({}), ...this.#fromTasks(nowMs, this.#tasks.start(nowMs, call))];
      case 'taskNews':
        this.#jobs.applyNews(call);
        return [reply({})];
      case 'dumpState':
        return [reply(this.dump(nowMs))];
      case 'drain':
        return [reply({}), ...this.reduce({ kind: 'drainRequested', nowMs })];
      default:
        return assertNever(call);
    }
  }

  #fromConfig(nowMs: number, effects: readonly ConfigEffect[]): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] =>
      effect.kind === 'configChanged' ? this.#onConfig(nowMs) : [effect],
    );
  }

  #onConfig(nowMs: number): readonly SchedulerEffect[] {
    const { sheet, version } = this.#config.config;
    this.#ownership.updateDataCentres(sheet.dataCentres, nowMs);
    const shardIds = getShardPlacements(sheet).map((placement) => placement.shardId);
    this.#escrow.updateConfig(sheet.teams, shardIds);
    this.#due.vmListMs = 0;
    return [{ kind: 'log', message: 'configuration in force', fields: { version } }];
  }

  #applyVms(nowMs: number, vms: readonly Vm[]): void {
    this.#lease.applyVms(nowMs, vms);
    const { shardsPerDataCentre } = this.#config.config.sheet;
    this.#pool.updateTargets(getTargets(vms, shardsPerDataCentre));
  }

  #fromLease(nowMs: number, effects: readonly LeaseEffect[]): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callPlatform':
          return [effect];
        case 'shardAcquired':
          return this.#onAcquired(nowMs, effect.shardId, effect.epoch);
        case 'shardLost':
          return this.#onLost(effect.shardId, effect.reason);
        case 'memberChanged':
          return [{ kind: 'log', message: 'evicted', fields: { memberId: effect.memberId } }];
        default:
          return assertNever(effect);
      }
    });
  }

  #onAcquired(nowMs: number, shardId: ShardId, epoch: number): readonly SchedulerEffect[] {
    this.#ownership.markAcquired(shardId, nowMs);
    this.#escrow.addShard(shardId);
    this.#due.reportMs = nowMs;
    if (isHomeShard(shardId)) this.#requests.markTakenOver(shardId);
    const loads = isHomeShard(shardId) ? createShardLoad(shardId) : [];
    return [
      { kind: 'log', message: 'shard acquired', fields: { shardId, epoch } },
      ...this.#fromJobs(nowMs, loads),
    ];
  }

  #onLost(shardId: ShardId, reason: string): readonly SchedulerEffect[] {
    this.#escrow.removeShard(shardId);
    if (isHomeShard(shardId)) this.#jobs.forget((jobId) => getHomeShard(jobId) === shardId);
    else this.#tasks.forgetTargets(this.#pool.getOfShard(shardId));
    return [{ kind: 'log', message: 'shard lost', fields: { shardId, reason } }];
  }

  #fromEscrow(nowMs: number, effects: readonly EscrowEffect[]): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callPlatform':
          return [effect];
        case 'stopSurplus':
          return this.#fromTasks(nowMs, this.#tasks.stopSurplus(nowMs, effect));
        default:
          return assertNever(effect);
      }
    });
  }

  #fromTasks(nowMs: number, effects: readonly TaskEffect[]): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callTarget':
          return [effect];
        case 'tellHome':
          return this.#tellHome(nowMs, effect.news);
        default:
          return assertNever(effect);
      }
    });
  }

  #tellHome(nowMs: number, news: TaskNews): readonly SchedulerEffect[] {
    const homeShard = getHomeShard(news.jobId);
    if (nowMs < this.#lease.getAuthorityUntilMs(homeShard)) {
      this.#jobs.applyNews(news);
      return [];
    }
    const owner = this.#lease.getOwners().find((row) => row.shardId === homeShard)?.ownerId;
    const address = owner && this.#lease.members.get(owner)?.row.address;
    if (!address) return [];
    return [{ kind: 'callPeer', origin: { kind: 'oneWay' }, address, call: news }];
  }

  #fromJobs(nowMs: number, effects: readonly JobEffect[]): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callPlatform':
          return [effect];
        case 'replyJob':
          return [{ kind: 'replyCall', callId: effect.callId, value: effect.result }];
        case 'placeTask':
          return this.#fromTasks(nowMs, this.#tasks.start(nowMs, effect.start));
        default:
          return assertNever(effect);
      }
    });
  }

  #getStatus(nowMs: number): MemberStatus {
    const freeSlots = this.#ownership
      .getCandidates()
      .filter((target) => this.#ownership.tryGetPermit(target, nowMs) !== undefined)
      .reduce((sum, target) => sum + Math.max(0, this.#pool.getFree(target.targetId).slots), 0);
    return {
      memberId: this.#lease.memberId,
      address: this.#settings.advertisedAddress,
      dataCentreId: this.#settings.dataCentreId,
      configVersion: this.#config.version,
      isDraining: this.#isDraining,
      freeSlots,
      queuedRequests: this.#requests.waitingCount,
      activeShards: this.#ownership.getActiveShards(nowMs),
      services: this.#tasks.services,
    };
  }

  #getRoutes(nowMs: number): Routes {
    const members = [this.#getStatus(nowMs), ...this.#peers.getHeard(nowMs)];
    const homeOwners = this.#lease
      .getOwners()
      .flatMap(({ shardId, ownerId, epoch }): readonly ShardOwner[] =>
        isHomeShard(shardId) && ownerId !== null ? [{ shardId, memberId: ownerId, epoch }] : [],
      );
    const freshForMs = Math.max(0, this.#config.getFreshUntilMs() - nowMs);
    return { configVersion: this.#config.version, freshForMs, members, homeOwners };
  }

  /**
   * Gets the state for an operator; it holds no secret.
   * @param nowMs - this process's clock
   * @returns plain data
   */
  dump(nowMs: number) {
    return {
      status: this.#getStatus(nowMs),
      members: this.#lease.members.views.map((view) => view.row),
      ownedShards: this.#lease.ownedShardIds.map((shardId) => ({
        shardId,
        epoch: this.#lease.getEpoch(shardId),
        authorityForMs: this.#lease.getAuthorityUntilMs(shardId) - nowMs,
      })),
      configVersion: this.#config.version,
      configFreshForMs: this.#config.getFreshUntilMs() - nowMs,
      config: this.#configDuty.dump(nowMs),
      openRequests: this.#requests.openCount,
      waitingRequests: this.#requests.waitingCount,
      requestMemory: this.#requests.memoryUse,
      tasks: this.#tasks.taskCount,
      jobs: this.#jobs.jobCount,
    };
  }
}
