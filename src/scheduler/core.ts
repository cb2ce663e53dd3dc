/** The scheduler's reducer: one function from an event to the effects that it calls for. */

import { ConfigHolder } from '../config/configHolder';
import type { ConfigEffect } from '../config/effects';
import type { SchedulerSettings } from '../config/settings';
import { EscrowLedger } from '../escrow/escrowLedger';
import type { EscrowEffect } from '../escrow/types';
import { LeaseManager } from '../lease/leaseManager';
import { getShardPlacements, isHomeShard } from '../lease/shards';
import type { LeaseEffect } from '../lease/types';
import { FairShare } from '../placement/fairShare';
import type { SharesReport } from '../placement/fairShare';
import { TargetPool } from '../placement/targetPool';
import type { Vm } from '../platform/types';
import type {
  HeartbeatReply,
  MemberStatus,
  Routes,
  RpcResult,
  ShardOwner,
  TaskAcknowledgement,
} from '../rpc/types';
import { assertNever } from '../types/debug';
import type { MemberId, ShardId } from '../types/ids';
import { ConfigDuty } from './configDuty';
import { EscrowDuty } from './escrowDuty';
import { InFlightStarts } from './inFlightStarts';
import { JobDuty } from './jobDuty';
import { MemberDuty } from './memberDuty';
import { Ownership } from './ownership';
import { Peers } from './peers';
import { RequestDuty } from './requestDuty';
import { getTargets } from './targetDuty';
import type { PeerOrigin, SchedulerEffect, SchedulerEvent, TargetOrigin } from './types';

const VM_LIST_INTERVAL_MS = 2_000;
/** Spreads the list of a large fleet, so that reading it costs the same by second at any size. */
const VM_LIST_INTERVAL_BY_VM_MS = 30;

/** When each periodic duty is next due. */
interface Schedule {
  vmListMs: number;
}

type PlatformReplied = Extract<SchedulerEvent, { kind: 'platformReplied' }>;
type TargetReplied = Extract<SchedulerEvent, { kind: 'targetReplied' }>;
type PeerReplied = Extract<SchedulerEvent, { kind: 'peerReplied' }>;
type Called = Extract<SchedulerEvent, { kind: 'called' }>;

/** State of one scheduler, changed by events alone. */
export class SchedulerCore {
  #settings: SchedulerSettings;

  #lease: LeaseManager;

  #config = new ConfigHolder();

  #configDuty: ConfigDuty;

  #ledger = new EscrowLedger();

  #pool = new TargetPool(this.#ledger);

  #fairShare = new FairShare(this.#pool);

  #escrow: EscrowDuty;

  #ownership: Ownership;

  #requests: RequestDuty;

  #peers = new Peers();

  #jobs: JobDuty;

  #memberDuty: MemberDuty;

  #inFlight = new InFlightStarts();

  #due: Schedule = { vmListMs: 0 };

  #isDraining = false;

  /**
   * @param memberId - this run of this scheduler
   * @param settings - checked settings
   */
  constructor(memberId: MemberId, settings: SchedulerSettings) {
    this.#settings = settings;
    const { dataCentreId, region, advertisedAddress: address, vmId } = settings;
    this.#lease = new LeaseManager(memberId, { address, vmId, dataCentreId, region });
    this.#configDuty = new ConfigDuty(memberId, address, this.#config);
    this.#memberDuty = new MemberDuty(this.#lease, this.#peers, this.#configDuty);
    this.#escrow = new EscrowDuty(this.#ledger, this.#lease, this.#pool);
    this.#ownership = new Ownership(this.#lease, this.#config, this.#pool);
    this.#requests = new RequestDuty(this.#lease, this.#config, this.#pool, this.#ownership, {
      nearDataCentreId: dataCentreId,
      teamOrder: this.#fairShare,
    });
    this.#jobs = new JobDuty({
      lease: this.#lease,
      config: this.#config,
      pool: this.#pool,
      ownership: this.#ownership,
      peers: this.#peers,
    });
    this.#ownership.setReplicas(this.#jobs.runner);
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
      isHandingOver: this.#isDraining && this.#requests.openCount === 0 && this.#jobs.isIdle,
    };
    this.#fairShare.updateReports(this.#getShareReports(nowMs));
    return [
      ...this.#fromLease(nowMs, this.#lease.tick(nowMs, context)),
      ...this.#fromEscrow(nowMs, this.#escrow.tick(nowMs)),
      ...this.#fromConfig(nowMs, this.#configDuty.tick(nowMs)),
      ...this.#listVms(nowMs),
      ...this.#memberDuty.tick(nowMs, () => this.#getStatus(nowMs)),
      ...this.#requests.tick(nowMs, wallMs),
      ...this.#jobs.tick(nowMs, this.#isDraining),
    ];
  }

  #listVms(nowMs: number): readonly SchedulerEffect[] {
    if (nowMs < this.#due.vmListMs) return [];
    const spreadMs = this.#pool.targets.length * VM_LIST_INTERVAL_BY_VM_MS;
    this.#due.vmListMs = nowMs + Math.max(VM_LIST_INTERVAL_MS, spreadMs);
    return [
      {
        kind: 'callPlatform',
        origin: { kind: 'vmList', sentMs: nowMs },
        call: { kind: 'listVms' },
      },
    ];
  }

  #applyPlatform(event: PlatformReplied): readonly SchedulerEffect[] {
    const { nowMs, origin, result } = event;
    switch (origin.kind) {
      case 'configHead':
      case 'configRead':
      case 'configMembers':
      case 'configRegister':
      case 'configUnregister':
      case 'configChangeRead':
      case 'configChangeWrite':
        return this.#fromConfig(nowMs, this.#configDuty.applyPlatform(nowMs, origin, result));
      case 'vmList':
        if (result.kind === 'vms') this.#applyVms(nowMs, result.vms, origin.sentMs);
        else this.#due.vmListMs = Math.min(this.#due.vmListMs, nowMs + VM_LIST_INTERVAL_MS);
        return [];
      case 'escrowRead':
      case 'escrowWrite':
        return this.#fromEscrow(nowMs, this.#escrow.applyResult(nowMs, origin, result));
      case 'journalWrite':
      case 'journalTrim':
      case 'journalDropSnapshot':
      case 'journalPutSnapshot':
      case 'journalSetHead':
      case 'journalReadHead':
      case 'journalReadSnapshot':
      case 'journalReadRows':
        return this.#jobs.applyPlatform(nowMs, origin, result);
      default:
        return this.#fromLease(nowMs, this.#lease.applyResult(nowMs, origin, result));
    }
  }

  #applyTarget({ nowMs, origin, result }: TargetReplied): readonly SchedulerEffect[] {
    switch (origin.kind) {
      case 'request':
        return this.#requests.applyTargetResult(nowMs, origin, result);
      case 'taskStart':
      case 'taskStop':
      case 'taskCheckpoint':
      case 'taskSurplusStop':
      case 'taskAcknowledge':
        return this.#jobs.applyTarget(nowMs, origin, result);
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
    const effects = this.#jobs.applyReport(nowMs, target, permit, origin, result.report);
    const isTakeover = !this.#ownership.isSettled(target.targetId, origin.epoch);
    this.#ownership.markReported(target, origin.epoch, origin.sentMs);
    this.#ownership.markLeaving(target.targetId, result.report.leaving, origin.sentMs);
    return [
      ...effects,
      ...this.#requests.applyReport(nowMs, {
        target,
        report: result.report,
        sentMs: origin.sentMs,
        isTakeover,
      }),
    ];
  }

  #applyPeer({ nowMs, origin, result }: PeerReplied): readonly SchedulerEffect[] {
    switch (origin.kind) {
      case 'heartbeat':
        return this.#applyHeartbeatResult(nowMs, origin, result as RpcResult<HeartbeatReply>);
      case 'configFetch':
      case 'configOffer':
        return this.#fromConfig(nowMs, this.#configDuty.applyPeer(nowMs, origin, result));
      case 'tellTasks':
        if (result.kind !== 'ok') return [];
        return this.#jobs.acknowledge(nowMs, (result.value as TaskAcknowledgement).taken);
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
          reply(this.#memberDuty.answer(nowMs, call)),
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
      case 'getJob':
      case 'listJobs':
      case 'cancelJob':
      case 'askTasks':
      case 'tellTasks':
        return this.#jobs.answer(nowMs, callId, call);
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
    this.#fairShare.updateConfig(sheet.teams, version);
    this.#due.vmListMs = 0;
    return [{ kind: 'log', message: 'configuration in force', fields: { version } }];
  }

  #applyVms(nowMs: number, vms: readonly Vm[], sentMs: number): void {
    this.#lease.recordVmList(nowMs, vms);
    const { shardsPerDataCentre } = this.#config.config.sheet;
    this.#pool.updateTargets(getTargets(vms, shardsPerDataCentre));
    this.#jobs.recordList(sentMs);
  }

  #fromLease(nowMs: number, effects: readonly LeaseEffect[]): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callPlatform':
          return [effect];
        case 'shardAcquired':
          return this.#onAcquired(nowMs, effect.shardId, effect.epoch);
        case 'shardLost':
          this.#escrow.removeShard(effect.shardId);
          return [
            {
              kind: 'log',
              message: 'shard lost',
              fields: { shardId: effect.shardId, reason: effect.reason },
            },
          ];
        case 'memberChanged':
          return [{ kind: 'log', message: 'evicted', fields: { memberId: effect.memberId } }];
        default:
          return assertNever(effect);
      }
    });
  }

  #onAcquired(nowMs: number, shardId: ShardId, epoch: number): readonly SchedulerEffect[] {
    this.#ownership.markAcquired(shardId, nowMs);
    // What runs on a shard is certain only with a list that is newer than its acquisition.
    this.#due.vmListMs = nowMs;
    this.#escrow.addShard(shardId);
    this.#jobs.hastenReports();
    if (isHomeShard(shardId)) this.#requests.markTakenOver(shardId);
    return [{ kind: 'log', message: 'shard acquired', fields: { shardId, epoch } }];
  }

  #getShareReports(nowMs: number): readonly SharesReport[] {
    return this.#peers
      .getHeard(nowMs)
      .map(({ configVersion, teamShares }) => ({ configVersion, teamShares: teamShares ?? '' }));
  }

  #fromEscrow(nowMs: number, effects: readonly EscrowEffect[]): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callPlatform':
          return [effect];
        case 'stopSurplus':
          return this.#jobs.stopSurplus(nowMs, effect);
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
      services: this.#jobs.runner.services,
      shardRooms: this.#jobs.getShardRooms(nowMs),
      teamShares: this.#fairShare.createReport(),
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
      tasks: this.#jobs.runner.taskCount,
      jobs: this.#jobs.jobCount,
      runningTasks: this.#jobs.runningCount,
    };
  }
}
