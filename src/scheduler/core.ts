/** The scheduler's reducer: handles one event at a time and returns the effects to perform. */

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
import { ConfigController } from './configController';
import { EscrowController } from './escrowController';
import { InFlightStarts } from './inFlightStarts';
import { JobController } from './jobController';
import { HeartbeatController } from './heartbeatController';
import { OwnershipGuard } from './ownershipGuard';
import { PeerStatuses } from './peerStatuses';
import { RequestController } from './requestController';
import { createTargets } from './createTargets';
import type { PeerOrigin, SchedulerEffect, SchedulerEvent, TargetOrigin } from './types';

const VM_LIST_INTERVAL_MS = 2_000;
/** Interval per listed target, so that reading the list costs the same per second at any fleet size. */
const VM_LIST_INTERVAL_PER_VM_MS = 30;

/** When each periodic call is next due. */
interface Schedule {
  vmListMs: number;
}

type PlatformRepliedEvent = Extract<SchedulerEvent, { kind: 'platformReplied' }>;
type TargetRepliedEvent = Extract<SchedulerEvent, { kind: 'targetReplied' }>;
type PeerRepliedEvent = Extract<SchedulerEvent, { kind: 'peerReplied' }>;
type CalledEvent = Extract<SchedulerEvent, { kind: 'called' }>;

/** State of one scheduler process; only events change it. */
export class SchedulerCore {
  #settings: SchedulerSettings;

  #lease: LeaseManager;

  #config = new ConfigHolder();

  #configController: ConfigController;

  #ledger = new EscrowLedger();

  #pool = new TargetPool(this.#ledger);

  #fairShare = new FairShare(this.#pool);

  #escrowController: EscrowController;

  #ownership: OwnershipGuard;

  #requestController: RequestController;

  #peerStatuses = new PeerStatuses();

  #jobController: JobController;

  #heartbeatController: HeartbeatController;

  #inFlightStarts = new InFlightStarts();

  #schedule: Schedule = { vmListMs: 0 };

  #isDraining = false;

  /**
   * @param memberId - incarnation of this scheduler
   * @param settings - validated settings
   */
  constructor(memberId: MemberId, settings: SchedulerSettings) {
    this.#settings = settings;
    const { dataCentreId, region, advertisedAddress: address, vmId } = settings;
    this.#lease = new LeaseManager(memberId, { address, vmId, dataCentreId, region });
    this.#configController = new ConfigController(memberId, address, this.#config);
    this.#heartbeatController = new HeartbeatController(
      this.#lease,
      this.#peerStatuses,
      this.#configController,
    );
    this.#escrowController = new EscrowController(this.#ledger, this.#lease, this.#pool);
    this.#ownership = new OwnershipGuard(this.#lease, this.#config, this.#pool);
    this.#requestController = new RequestController(
      this.#lease,
      this.#config,
      this.#pool,
      this.#ownership,
      {
        nearDataCentreId: dataCentreId,
        teamOrder: this.#fairShare,
      },
    );
    this.#jobController = new JobController({
      lease: this.#lease,
      config: this.#config,
      pool: this.#pool,
      ownership: this.#ownership,
      peerStatuses: this.#peerStatuses,
    });
    this.#ownership.setReplicaSource(this.#jobController.taskRunner);
  }

  /** True once the scheduler drains, has no open request and owns no shard. */
  get isDrained(): boolean {
    const isIdle =
      this.#requestController.openCount === 0 && this.#lease.ownedShardIds.length === 0;
    return this.#isDraining && isIdle;
  }

  /**
   * Handles one event.
   * @param event - the event
   * @returns the effects to perform, in order
   */
  reduce(event: SchedulerEvent): readonly SchedulerEffect[] {
    if (event.kind === 'targetReplied') this.#inFlightStarts.finish(event.origin);
    const effects = this.#handleEvent(event);
    this.#inFlightStarts.track(effects);
    return effects;
  }

  #handleEvent(event: SchedulerEvent): readonly SchedulerEffect[] {
    switch (event.kind) {
      case 'tick':
        return this.#tick(event.nowMs, event.wallMs);
      case 'platformReplied':
        return this.#applyPlatformResult(event);
      case 'targetReplied':
        return this.#applyTargetResult(event);
      case 'peerReplied':
        return this.#applyPeerResult(event);
      case 'called':
        return this.#handleCall(event);
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
      busyShardIds: this.#inFlightStarts.busyShardIds,
      isLeaving: this.#isDraining,
      isHandingOver:
        this.#isDraining && this.#requestController.openCount === 0 && this.#jobController.isIdle,
    };
    this.#fairShare.updateReports(this.#getShareReports(nowMs));
    return [
      ...this.#translateLeaseEffects(nowMs, this.#lease.tick(nowMs, context)),
      ...this.#translateEscrowEffects(nowMs, this.#escrowController.tick(nowMs)),
      ...this.#translateConfigEffects(nowMs, this.#configController.tick(nowMs)),
      ...this.#listVmsIfDue(nowMs),
      ...this.#heartbeatController.tick(nowMs, () => this.#getStatus(nowMs)),
      ...this.#requestController.tick(nowMs, wallMs),
      ...this.#jobController.tick(nowMs, this.#isDraining),
    ];
  }

  #listVmsIfDue(nowMs: number): readonly SchedulerEffect[] {
    if (nowMs < this.#schedule.vmListMs) return [];
    const scaledIntervalMs = this.#pool.targets.length * VM_LIST_INTERVAL_PER_VM_MS;
    this.#schedule.vmListMs = nowMs + Math.max(VM_LIST_INTERVAL_MS, scaledIntervalMs);
    return [
      {
        kind: 'callPlatform',
        origin: { kind: 'vmList', sentMs: nowMs },
        call: { kind: 'listVms' },
      },
    ];
  }

  #applyPlatformResult(event: PlatformRepliedEvent): readonly SchedulerEffect[] {
    const { nowMs, origin, result } = event;
    switch (origin.kind) {
      case 'configHead':
      case 'configRead':
      case 'configMembers':
      case 'configRegister':
      case 'configUnregister':
      case 'configChangeRead':
      case 'configChangeWrite':
        return this.#translateConfigEffects(
          nowMs,
          this.#configController.applyPlatformResult(nowMs, origin, result),
        );
      case 'vmList':
        if (result.kind === 'vms') this.#applyVms(nowMs, result.vms, origin.sentMs);
        else
          this.#schedule.vmListMs = Math.min(this.#schedule.vmListMs, nowMs + VM_LIST_INTERVAL_MS);
        return [];
      case 'escrowRead':
      case 'escrowWrite':
        return this.#translateEscrowEffects(
          nowMs,
          this.#escrowController.applyResult(nowMs, origin, result),
        );
      case 'journalWrite':
      case 'journalTrim':
      case 'journalDropSnapshot':
      case 'journalPutSnapshot':
      case 'journalSetHead':
      case 'journalReadHead':
      case 'journalReadSnapshot':
      case 'journalReadRows':
        return this.#jobController.applyPlatformResult(nowMs, origin, result);
      default:
        return this.#translateLeaseEffects(nowMs, this.#lease.applyResult(nowMs, origin, result));
    }
  }

  #applyTargetResult({ nowMs, origin, result }: TargetRepliedEvent): readonly SchedulerEffect[] {
    switch (origin.kind) {
      case 'request':
        return this.#requestController.applyTargetResult(nowMs, origin, result);
      case 'taskStart':
      case 'taskStop':
      case 'taskCheckpoint':
      case 'taskSurplusStop':
      case 'taskAcknowledge':
        return this.#jobController.applyTargetResult(nowMs, origin, result);
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
    result: Extract<TargetRepliedEvent['result'], { kind: 'report' }>,
  ): readonly SchedulerEffect[] {
    const target = this.#pool.get(origin.targetId);
    const permit = target && this.#ownership.tryGetOwnerPermit(target, nowMs);
    if (target === undefined || permit === undefined || permit.epoch !== origin.epoch) return [];
    const effects = this.#jobController.applyReport(nowMs, target, permit, origin, result.report);
    const isTakeover = !this.#ownership.isSettled(target.targetId, origin.epoch);
    this.#ownership.recordReport(target, origin.epoch, origin.sentMs);
    this.#ownership.recordLeaving(target.targetId, result.report.leaving, origin.sentMs);
    return [
      ...effects,
      ...this.#requestController.applyReport(nowMs, {
        target,
        report: result.report,
        sentMs: origin.sentMs,
        isTakeover,
      }),
    ];
  }

  #applyPeerResult({ nowMs, origin, result }: PeerRepliedEvent): readonly SchedulerEffect[] {
    switch (origin.kind) {
      case 'heartbeat':
        return this.#applyHeartbeatResult(nowMs, origin, result as RpcResult<HeartbeatReply>);
      case 'configFetch':
      case 'configOffer':
        return this.#translateConfigEffects(
          nowMs,
          this.#configController.applyPeerResult(nowMs, origin, result),
        );
      case 'tellTasks':
        if (result.kind !== 'ok') return [];
        return this.#jobController.acknowledge(nowMs, (result.value as TaskAcknowledgement).taken);
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
    this.#heartbeatController.applyResult(nowMs, origin, result);
    const effects = this.#configController.applyHeartbeatResult(nowMs, origin, result);
    return this.#translateConfigEffects(nowMs, effects);
  }

  #handleCall({ nowMs, wallMs, callId, call }: CalledEvent): readonly SchedulerEffect[] {
    const reply = (value: unknown): SchedulerEffect => ({ kind: 'replyCall', callId, value });
    switch (call.kind) {
      case 'heartbeat':
        return [
          reply(this.#heartbeatController.answer(nowMs, call)),
          ...this.#translateConfigEffects(
            nowMs,
            this.#configController.applyHeartbeat(nowMs, call.config),
          ),
        ];
      case 'getRoutes':
        return [reply(this.#getRoutes(nowMs))];
      case 'getConfig':
        return [reply(this.#config.config)];
      case 'offerConfig':
        return [
          ...this.#translateConfigEffects(nowMs, this.#configController.adopt(call.config)),
          reply({}),
        ];
      case 'changeConfig':
        return this.#translateConfigEffects(
          nowMs,
          this.#configController.change(nowMs, callId, call),
        );
      case 'startRequest':
        return this.#requestController.start(
          { nowMs, wallMs, callId, isDraining: this.#isDraining },
          call,
        );
      case 'cancelRequest':
        return [reply({}), ...this.#requestController.cancel(nowMs, call.cancelId)];
      case 'submitJob':
      case 'getJob':
      case 'listJobs':
      case 'cancelJob':
      case 'askTasks':
      case 'tellTasks':
        return this.#jobController.answer(nowMs, callId, call);
      case 'dumpState':
        return [reply(this.dump(nowMs))];
      case 'drain':
        return [reply({}), ...this.reduce({ kind: 'drainRequested', nowMs })];
      default:
        return assertNever(call);
    }
  }

  #translateConfigEffects(
    nowMs: number,
    effects: readonly ConfigEffect[],
  ): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] =>
      effect.kind === 'configChanged' ? this.#onConfigChanged(nowMs) : [effect],
    );
  }

  #onConfigChanged(nowMs: number): readonly SchedulerEffect[] {
    const { sheet, version } = this.#config.config;
    this.#ownership.updateDataCentres(sheet.dataCentres, nowMs);
    const shardIds = getShardPlacements(sheet).map((placement) => placement.shardId);
    this.#escrowController.updateConfig(sheet.teams, shardIds);
    this.#fairShare.updateConfig(sheet.teams, version);
    this.#schedule.vmListMs = 0;
    return [{ kind: 'log', message: 'configuration in force', fields: { version } }];
  }

  #applyVms(nowMs: number, vms: readonly Vm[], sentMs: number): void {
    this.#lease.recordVmList(nowMs, vms);
    const { shardsPerDataCentre } = this.#config.config.sheet;
    this.#pool.updateTargets(createTargets(vms, shardsPerDataCentre));
    this.#jobController.recordVmList(sentMs);
  }

  #translateLeaseEffects(
    nowMs: number,
    effects: readonly LeaseEffect[],
  ): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callPlatform':
          return [effect];
        case 'shardAcquired':
          return this.#onShardAcquired(nowMs, effect.shardId, effect.epoch);
        case 'shardLost':
          this.#escrowController.removeShard(effect.shardId);
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

  #onShardAcquired(nowMs: number, shardId: ShardId, epoch: number): readonly SchedulerEffect[] {
    this.#ownership.recordAcquisition(shardId, nowMs);
    // The inventory of a shard counts as complete only with a VM list requested after its acquisition.
    this.#schedule.vmListMs = nowMs;
    this.#escrowController.addShard(shardId);
    this.#jobController.requestReportsAtNextTick();
    if (isHomeShard(shardId)) this.#requestController.markTakenOver(shardId);
    return [{ kind: 'log', message: 'shard acquired', fields: { shardId, epoch } }];
  }

  #getShareReports(nowMs: number): readonly SharesReport[] {
    return this.#peerStatuses
      .getRecent(nowMs)
      .map(({ configVersion, teamShares }) => ({ configVersion, teamShares: teamShares ?? '' }));
  }

  #translateEscrowEffects(
    nowMs: number,
    effects: readonly EscrowEffect[],
  ): readonly SchedulerEffect[] {
    return effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callPlatform':
          return [effect];
        case 'stopSurplus':
          return this.#jobController.stopSurplus(nowMs, effect);
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
      queuedRequests: this.#requestController.waitingCount,
      activeShards: this.#ownership.getActiveShards(nowMs),
      services: this.#jobController.taskRunner.services,
      shardRooms: this.#jobController.getFreeShardCapacities(nowMs),
      teamShares: this.#fairShare.createReport(),
    };
  }

  #getRoutes(nowMs: number): Routes {
    const members = [this.#getStatus(nowMs), ...this.#peerStatuses.getRecent(nowMs)];
    const homeOwners = this.#lease
      .getOwners()
      .flatMap(({ shardId, ownerId, epoch }): readonly ShardOwner[] =>
        isHomeShard(shardId) && ownerId !== null ? [{ shardId, memberId: ownerId, epoch }] : [],
      );
    const freshForMs = Math.max(0, this.#config.getFreshUntilMs() - nowMs);
    return { configVersion: this.#config.version, freshForMs, members, homeOwners };
  }

  /**
   * Returns the state for operators, without secrets.
   * @param nowMs - current time of this process's monotonic clock
   * @returns plain, serializable data
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
      config: this.#configController.dump(nowMs),
      openRequests: this.#requestController.openCount,
      waitingRequests: this.#requestController.waitingCount,
      requestMemory: this.#requestController.deduplicationStatistics,
      tasks: this.#jobController.taskRunner.taskCount,
      jobs: this.#jobController.jobCount,
      runningTasks: this.#jobController.runningCount,
    };
  }
}
