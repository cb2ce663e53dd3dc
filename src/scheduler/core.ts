/** The scheduler's reducer: one function from an event to the effects that it calls for. */

import { applyChange } from '../config/applyChange';
import { CONFIG_KEY, ConfigHolder } from '../config/configHolder';
import type { AcceptedConfig } from '../config/types';
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
import { RequestTable } from '../requests/requestTable';
import type { RequestEffect } from '../requests/types';
import type {
  HeartbeatReply,
  MemberStatus,
  RequestStart,
  Routes,
  SchedulerCall,
  ShardOwner,
} from '../rpc/types';
import { createDiagnostic } from '../types/diagnostics';
import { assertNever } from '../types/debug';
import type { MemberId, ShardId } from '../types/ids';
import { fail, ok } from '../types/outcomes';
import type { NotRunReason, RequestOutcome } from '../types/outcomes';
import { EscrowDuty } from './escrowDuty';
import { Ownership } from './ownership';
import { Peers } from './peers';
import { getTargets } from './targetDuty';
import type { PeerOrigin, SchedulerEffect, SchedulerEvent, TargetOrigin } from './types';

const CONFIG_READ_INTERVAL_MS = 1_000;
const VM_LIST_INTERVAL_MS = 2_000;
const HEARTBEAT_INTERVAL_MS = 1_000;
const REPORT_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_500;

/** When each periodic duty is next due. */
interface Schedule {
  configReadMs: number;
  vmListMs: number;
  heartbeatMs: number;
  reportMs: number;
}

type PlatformReplied = Extract<SchedulerEvent, { kind: 'platformReplied' }>;
type TargetReplied = Extract<SchedulerEvent, { kind: 'targetReplied' }>;
type PeerReplied = Extract<SchedulerEvent, { kind: 'peerReplied' }>;

function fromRequests(effects: readonly RequestEffect[]): readonly SchedulerEffect[] {
  return effects.map((effect): SchedulerEffect => {
    switch (effect.kind) {
      case 'callTarget':
        return effect;
      case 'reply':
        return { kind: 'replyCall', callId: effect.callId, value: effect.outcome };
      default:
        return assertNever(effect);
    }
  });
}

/** State of one scheduler, changed by events alone. */
export class SchedulerCore {
  #settings: SchedulerSettings;

  #lease: LeaseKeeper;

  #config = new ConfigHolder();

  #ledger = new EscrowLedger();

  #pool = new TargetPool(this.#ledger);

  #escrow: EscrowDuty;

  #ownership: Ownership;

  #requests: RequestTable;

  #tasks: TaskRunner;

  #jobs = new JobTable();

  #peers = new Peers();

  #due: Schedule = { configReadMs: 0, vmListMs: 0, heartbeatMs: 0, reportMs: 0 };

  #isDraining = false;

  /**
   * @param memberId - this run of this scheduler
   * @param settings - checked settings
   */
  constructor(memberId: MemberId, settings: SchedulerSettings) {
    this.#settings = settings;
    const { dataCentreId, region, advertisedAddress } = settings;
    this.#lease = new LeaseKeeper(memberId, { address: advertisedAddress, dataCentreId, region });
    this.#escrow = new EscrowDuty(this.#ledger, this.#lease, this.#pool);
    this.#ownership = new Ownership(this.#lease, this.#config, this.#pool);
    this.#requests = new RequestTable(this.#pool, this.#ownership, dataCentreId);
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
    switch (event.kind) {
      case 'tick':
        return this.#tick(event.nowMs);
      case 'platformReplied':
        return this.#applyPlatform(event);
      case 'targetReplied':
        return this.#applyTarget(event);
      case 'peerReplied':
        return this.#applyPeer(event);
      case 'called':
        return this.#answer(event.nowMs, event.callId, event.call);
      case 'drainRequested':
        this.#isDraining = true;
        return [{ kind: 'log', message: 'draining', fields: {} }];
      default:
        return assertNever(event);
    }
  }

  #tick(nowMs: number): readonly SchedulerEffect[] {
    const placements = getShardPlacements(this.#config.config.sheet);
    const context = {
      shards: placements,
      busyShardIds: new Set<ShardId>(),
      isDraining: this.#isDraining && this.#requests.openCount === 0,
    };
    return [
      ...this.#fromLease(nowMs, this.#lease.tick(nowMs, context)),
      ...this.#fromEscrow(nowMs, this.#escrow.tick(nowMs)),
      ...this.#readConfig(nowMs),
      ...this.#listVms(nowMs),
      ...this.#sendHeartbeats(nowMs),
      ...this.#askReports(nowMs),
      ...fromRequests(this.#requests.startWaiting(nowMs)),
      ...this.#fromJobs(nowMs, this.#jobs.tick(nowMs)),
    ];
  }

  #readConfig(nowMs: number): readonly SchedulerEffect[] {
    if (nowMs < this.#due.configReadMs) return [];
    this.#due.configReadMs = nowMs + CONFIG_READ_INTERVAL_MS;
    const origin = { kind: 'configRead', sentMs: nowMs } as const;
    return [{ kind: 'callPlatform', origin, call: { kind: 'read', keys: [CONFIG_KEY] } }];
  }

  #listVms(nowMs: number): readonly SchedulerEffect[] {
    if (nowMs < this.#due.vmListMs) return [];
    this.#due.vmListMs = nowMs + VM_LIST_INTERVAL_MS;
    return [{ kind: 'callPlatform', origin: { kind: 'vmList' }, call: { kind: 'listVms' } }];
  }

  #sendHeartbeats(nowMs: number): readonly SchedulerEffect[] {
    if (nowMs < this.#due.heartbeatMs) return [];
    this.#due.heartbeatMs = nowMs + HEARTBEAT_INTERVAL_MS;
    const from = this.#getStatus(nowMs);
    return this.#lease.members.views
      .filter((view) => view.row.memberId !== this.#lease.memberId)
      .map(({ row }) => ({
        kind: 'callPeer',
        origin: { kind: 'heartbeat', memberId: row.memberId, sentMs: nowMs },
        address: row.address,
        call: { kind: 'heartbeat', from },
      }));
  }

  #askReports(nowMs: number): readonly SchedulerEffect[] {
    if (nowMs < this.#due.reportMs) return [];
    this.#due.reportMs = nowMs + REPORT_INTERVAL_MS;
    return this.#ownership.getCandidates().flatMap((target) => this.#askReport(nowMs, target));
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
        origin: { kind: 'report', targetId, ...token },
        call: { kind: 'report', token },
        ...common,
      },
    ];
  }

  #applyPlatform(event: PlatformReplied): readonly SchedulerEffect[] {
    const { nowMs, origin, result } = event;
    switch (origin.kind) {
      case 'configRead':
        if (result.kind !== 'rows') return [];
        return this.#config.applyRead(result.rows, origin.sentMs) ? this.#onConfig() : [];
      case 'configWrite':
        return this.#applyConfigWrite(event, origin.callId, origin.config);
      case 'vmList':
        if (result.kind !== 'vms') return [];
        this.#pool.updateTargets(
          getTargets(result.vms, this.#config.config.sheet.shardsPerDataCentre),
        );
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
        return fromRequests(this.#requests.applyTargetResult(nowMs, origin, result));
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
    this.#ownership.markSettled(target.targetId, origin.epoch);
    return this.#fromTasks(nowMs, effects);
  }

  #applyPeer({ nowMs, origin, result }: PeerReplied): readonly SchedulerEffect[] {
    if (result.kind !== 'ok') return [];
    switch (origin.kind) {
      case 'heartbeat':
        return this.#applyHeartbeatReply(nowMs, result.value as HeartbeatReply);
      case 'configFetch':
        return this.#config.tryAdopt(result.value as AcceptedConfig) ? this.#onConfig() : [];
      case 'oneWay':
        return [];
      default:
        return assertNever(origin);
    }
  }

  #applyHeartbeatReply(nowMs: number, { from }: HeartbeatReply): readonly SchedulerEffect[] {
    this.#peers.update(from, nowMs);
    return this.#fetchConfigFrom(from);
  }

  #fetchConfigFrom(status: MemberStatus): readonly SchedulerEffect[] {
    if (status.configVersion <= this.#config.version) return [];
    const origin: PeerOrigin = { kind: 'configFetch' };
    return [{ kind: 'callPeer', origin, address: status.address, call: { kind: 'getConfig' } }];
  }

  #answer(nowMs: number, callId: number, call: SchedulerCall): readonly SchedulerEffect[] {
    const reply = (value: unknown): SchedulerEffect => ({ kind: 'replyCall', callId, value });
    switch (call.kind) {
      case 'heartbeat':
        this.#peers.update(call.from, nowMs);
        return [
          reply({ from: this.#getStatus(nowMs), promiseMs: 0 } satisfies HeartbeatReply),
          ...this.#fetchConfigFrom(call.from),
        ];
      case 'getRoutes':
        return [reply(this.#getRoutes(nowMs))];
      case 'getConfig':
        return [reply(this.#config.config)];
      case 'offerConfig':
        return [reply({}), ...(this.#config.tryAdopt(call.config) ? this.#onConfig() : [])];
      case 'changeConfig':
        return this.#changeConfig(nowMs, callId, call);
      case 'startRequest':
        return this.#startRequest(nowMs, callId, call);
      case 'cancelRequest':
        return [reply({}), ...fromRequests(this.#requests.cancel(call.requestId))];
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

  #startRequest(nowMs: number, callId: number, call: RequestStart): readonly SchedulerEffect[] {
    const refuse = (reason: NotRunReason): readonly SchedulerEffect[] => {
      const outcome: RequestOutcome = { kind: 'refusedNotRun', reason };
      return [{ kind: 'replyCall', callId, value: outcome }];
    };
    if (this.#isDraining) return refuse('draining');
    if (nowMs >= this.#config.getFreshUntilMs()) return refuse('configStale');
    const queue = this.#config.checkAdmission(call.teamId, call.keyId, call.queueId);
    if (typeof queue === 'string') return refuse(queue);
    const isHome = nowMs < this.#lease.getAuthorityUntilMs(getHomeShard(call.requestId));
    if (!call.isIdempotent && !isHome) return refuse('noOwner');
    return fromRequests(this.#requests.start(nowMs, { callId, call, queue }));
  }

  #changeConfig(
    nowMs: number,
    callId: number,
    call: Extract<SchedulerCall, { kind: 'changeConfig' }>,
  ): readonly SchedulerEffect[] {
    const next = applyChange(this.#config.config, call.change);
    if (next.kind === 'error') return [{ kind: 'replyCall', callId, value: next }];
    return [
      {
        kind: 'callPlatform',
        origin: { kind: 'configWrite', sentMs: nowMs, callId, config: next.value },
        call: this.#config.createWrite(next.value, call.operationId),
      },
    ];
  }

  #applyConfigWrite(
    { nowMs, result }: PlatformReplied,
    callId: number,
    config: AcceptedConfig,
  ): readonly SchedulerEffect[] {
    this.#due.configReadMs = nowMs;
    if (result.kind !== 'committed') {
      const name = result.kind === 'conflict' ? 'configConflict' : 'configRefused';
      return [{ kind: 'replyCall', callId, value: fail(createDiagnostic(name)) }];
    }
    this.#config.tryAdopt(config);
    const offers = this.#lease.members.views
      .filter((view) => view.row.memberId !== this.#lease.memberId)
      .map(({ row }): SchedulerEffect => ({
        kind: 'callPeer',
        origin: { kind: 'oneWay' },
        address: row.address,
        call: { kind: 'offerConfig', config },
      }));
    const value = ok(config.version);
    return [{ kind: 'replyCall', callId, value }, ...offers, ...this.#onConfig()];
  }

  #onConfig(): readonly SchedulerEffect[] {
    const { sheet, version } = this.#config.config;
    const shardIds = getShardPlacements(sheet).map((placement) => placement.shardId);
    this.#escrow.updateConfig(sheet.teams, shardIds);
    this.#due.vmListMs = 0;
    return [{ kind: 'log', message: 'configuration in force', fields: { version } }];
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
      openRequests: this.#requests.openCount,
      waitingRequests: this.#requests.waitingCount,
      tasks: this.#tasks.taskCount,
      jobs: this.#jobs.jobCount,
    };
  }
}
