/** Connects the job table and the task runner to a scheduler's shards, targets, peers and platform. */

import type { ConfigHolder } from '../config/configHolder';
import { JobTable } from '../jobs/jobTable';
import type { JobEffect } from '../jobs/effects';
import type { PlaceableShard, PlacementView } from '../jobs/placer';
import {
  LEASE_CALL_SEND_TIMEOUT_MS,
  TargetLeaseTracker,
  TASK_LEASE_MS,
} from '../jobs/targetLeaseTracker';
import { TaskRunner } from '../jobs/taskRunner';
import type { TaskEffect, TaskOrigin } from '../jobs/taskCalls';
import type { TeamSurplus } from '../jobs/taskRunner';
import type { FreeShardCapacity, TaskCommand, TaskStatusUpdate, TaskRun } from '../jobs/types';
import type { JournalOrigin } from '../journal/types';
import type { LeaseManager } from '../lease/leaseManager';
import { getHomeShard, isHomeShard } from '../lease/shards';
import type { TargetPool } from '../placement/targetPool';
import type { Target } from '../placement/types';
import type { PlatformResult } from '../platform/types';
import type { StartPermit } from '../requests/types';
import type { SchedulerCall, TaskAcknowledgement } from '../rpc/types';
import type { TargetReport, TargetResult } from '../target/types';
import { createDiagnostic } from '../types/diagnostics';
import { assertNever } from '../types/debug';
import type { Epoch, ShardId } from '../types/ids';
import { fail, ok } from '../types/outcomes';
import { ClusterCapacity } from './clusterCapacity';
import type { OwnershipGuard } from './ownershipGuard';
import type { PeerStatuses } from './peerStatuses';
import type { SchedulerEffect, TargetOrigin } from './types';

const REPORT_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_500;

/** Calls about jobs and tasks. */
export type JobCall = Extract<
  SchedulerCall,
  { kind: 'submitJob' | 'getJob' | 'listJobs' | 'cancelJob' | 'askTasks' | 'tellTasks' }
>;

/** Components of a scheduler that job handling depends on. */
export interface JobControllerDependencies {
  readonly lease: LeaseManager;
  readonly config: ConfigHolder;
  readonly pool: TargetPool;
  readonly ownership: OwnershipGuard;
  readonly peerStatuses: PeerStatuses;
}

type ReportOrigin = Extract<TargetOrigin, { kind: 'report' }>;

/** Handles the jobs of the owned home shards and the tasks on the owned targets. */
export class JobController {
  readonly #dependencies: JobControllerDependencies;

  readonly #leaseTracker = new TargetLeaseTracker();

  readonly #clusterCapacity: ClusterCapacity;

  readonly #jobTable: JobTable;

  readonly #taskRunner: TaskRunner;

  #nextReportMs = 0;

  #lastTickMs = 0;

  #isDraining = false;

  /** @param dependencies - components of the scheduler */
  constructor(dependencies: JobControllerDependencies) {
    this.#dependencies = dependencies;
    const { lease, pool, ownership } = dependencies;
    this.#clusterCapacity = new ClusterCapacity(pool);
    this.#jobTable = new JobTable(lease.memberId, lease);
    this.#taskRunner = new TaskRunner(pool, ownership, this, this.#leaseTracker);
  }

  /** Runs tasks on the targets that this scheduler owns. */
  get taskRunner(): TaskRunner {
    return this.#taskRunner;
  }

  /** Number of jobs in the job table. */
  get jobCount(): number {
    return this.#jobTable.jobCount;
  }

  /** Number of tasks of these jobs that a target owner has reported as running. */
  get runningCount(): number {
    return this.#jobTable.runningCount;
  }

  /** True if every change to a job is durable. */
  get isIdle(): boolean {
    return this.#jobTable.isIdle;
  }

  /** {@inheritDoc ShardAuthority.tryGetEpoch} */
  tryGetEpoch(shardId: ShardId, nowMs: number): Epoch | undefined {
    const { lease } = this.#dependencies;
    return nowMs < lease.getAuthorityUntilMs(shardId) ? lease.getEpoch(shardId) : undefined;
  }

  /**
   * Handles a tick: requests due reports, then advances tasks and jobs.
   * @param nowMs - current time of this process's monotonic clock
   * @param isDraining - true once the scheduler is draining
   * @returns the effects to perform
   */
  tick(nowMs: number, isDraining: boolean): readonly SchedulerEffect[] {
    this.#isDraining = isDraining;
    this.#syncShards(nowMs);
    return [
      ...this.#requestReports(nowMs),
      ...this.#translateTaskEffects(nowMs, this.#taskRunner.tick(nowMs)),
      ...this.#translateJobEffects(
        nowMs,
        this.#jobTable.tick(nowMs, this.#createPlacementView(nowMs)),
      ),
    ];
  }

  /** Requests a report from every owned target at the next tick. */
  requestReportsAtNextTick(): void {
    this.#nextReportMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Records that a VM list was applied to the target pool.
   * @param sentMs - when the list was requested
   */
  recordVmList(sentMs: number): void {
    this.#leaseTracker.recordVmList(sentMs);
    this.#clusterCapacity.update();
  }

  /**
   * Handles a call about jobs or tasks.
   * @param nowMs - current time of this process's monotonic clock
   * @param callId - id of the call to reply to
   * @param call - the call
   * @returns the effects to perform
   */
  answer(nowMs: number, callId: number, call: JobCall): readonly SchedulerEffect[] {
    const reply = (value: unknown): SchedulerEffect => ({ kind: 'replyCall', callId, value });
    switch (call.kind) {
      case 'submitJob':
        if (this.#isDraining) return [reply(fail(createDiagnostic('draining')))];
        return this.#translateJobEffects(nowMs, [
          ...this.#jobTable.submit(nowMs, callId, call.spec, call.teamId),
          ...this.#jobTable.flush(nowMs, this.#getWriterCount()),
        ]);
      case 'getJob':
        return [reply(this.#jobTable.get(call.jobId, call.teamId))];
      case 'listJobs':
        return [reply(ok(this.#jobTable.list(call.teamId)))];
      case 'cancelJob':
        return this.#translateJobEffects(nowMs, [
          ...this.#jobTable.cancel(nowMs, callId, call.jobId, call.teamId),
          ...this.#jobTable.flush(nowMs, this.#getWriterCount()),
        ]);
      case 'askTasks': {
        const effects = call.asks.flatMap((command) =>
          this.#taskRunner.handleCommand(nowMs, command),
        );
        return [reply({}), ...this.#translateTaskEffects(nowMs, effects)];
      }
      case 'tellTasks': {
        const accepted = call.news.filter((update) =>
          this.#jobTable.applyStatusUpdate(nowMs, update),
        );
        return [
          reply({ taken: accepted.map(JobController.#toTaskRun) } satisfies TaskAcknowledgement),
        ];
      }
      default:
        return assertNever(call);
    }
  }

  /**
   * Applies the result of a call to the platform.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the call
   * @param result - its result
   * @returns the effects to perform
   */
  applyPlatformResult(
    nowMs: number,
    origin: JournalOrigin,
    result: PlatformResult,
  ): readonly SchedulerEffect[] {
    return this.#translateJobEffects(nowMs, this.#jobTable.applyResult(nowMs, origin, result));
  }

  /**
   * Applies the result of a call to a target about a task.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the call
   * @param result - its result
   * @returns the effects to perform
   */
  applyTargetResult(
    nowMs: number,
    origin: TaskOrigin,
    result: TargetResult,
  ): readonly SchedulerEffect[] {
    return this.#translateTaskEffects(
      nowMs,
      this.#taskRunner.applyTargetResult(nowMs, origin, result),
    );
  }

  /**
   * Stops tasks of a team that exceed its allotment on a shard.
   * @param nowMs - current time of this process's monotonic clock
   * @param surplus - the team, the shard and the excess
   * @returns the effects to perform
   */
  stopSurplus(nowMs: number, surplus: TeamSurplus): readonly SchedulerEffect[] {
    return this.#translateTaskEffects(nowMs, this.#taskRunner.stopSurplus(nowMs, surplus));
  }

  /**
   * Applies a target's report.
   * @param nowMs - current time of this process's monotonic clock
   * @param target - the target that reported
   * @param permit - current permit of this scheduler as the owner of the target
   * @param origin - identifies the call that requested the report
   * @param report - the report
   * @returns the effects to perform
   */
  applyReport(
    nowMs: number,
    target: Target,
    permit: StartPermit,
    origin: ReportOrigin,
    report: TargetReport,
  ): readonly SchedulerEffect[] {
    const effects = this.#taskRunner.applyReport(nowMs, target, permit, report, origin.sentMs);
    this.#leaseTracker.recordReport(target.targetId, origin.epoch, origin.sentMs);
    return this.#translateTaskEffects(nowMs, effects);
  }

  /**
   * Applies a home scheduler's acknowledgement of ended runs.
   * @param nowMs - current time of this process's monotonic clock
   * @param durableRuns - runs whose end the home has recorded
   * @returns the effects to perform
   */
  acknowledge(nowMs: number, durableRuns: readonly TaskRun[]): readonly SchedulerEffect[] {
    return this.#translateTaskEffects(nowMs, this.#taskRunner.acknowledge(nowMs, durableRuns));
  }

  /**
   * Lists the free capacity of each owned target shard, for the home schedulers of jobs.
   * @param nowMs - current time of this process's monotonic clock
   * @returns free slots by shard; empty while the scheduler drains
   */
  getFreeShardCapacities(nowMs: number): readonly FreeShardCapacity[] {
    const { lease, ownership, pool } = this.#dependencies;
    if (this.#isDraining) return [];
    return lease.ownedShardIds
      .filter((shardId) => !isHomeShard(shardId))
      .map((shardId) => {
        const freeSlots = pool
          .getTargetsOfShard(shardId)
          .filter((target) => ownership.tryGetPermit(target, nowMs) !== undefined)
          .reduce((sum, target) => sum + Math.max(0, pool.getFree(target.targetId).slots), 0);
        return { shardId, epoch: lease.getEpoch(shardId), freeSlots };
      });
  }

  static #toTaskRun({ taskId, attempt }: TaskStatusUpdate): TaskRun {
    return { taskId, attempt };
  }

  #getWriterCount(): number {
    return this.#dependencies.lease.members.views.length;
  }

  #syncShards(nowMs: number): void {
    const { lease } = this.#dependencies;
    const owned = lease.ownedShardIds.map((shardId) => [shardId, lease.getEpoch(shardId)] as const);
    this.#jobTable.syncShards(new Map(owned.filter(([shardId]) => isHomeShard(shardId))));
    const targets = new Map(owned.filter(([shardId]) => !isHomeShard(shardId)));
    const lost = this.#leaseTracker.syncShards(targets, nowMs);
    lost.forEach((shardId) => this.#taskRunner.removeShard(shardId));
  }

  #createPlacementView(nowMs: number): PlacementView {
    const { config, lease } = this.#dependencies;
    const { queues } = config.config.sheet;
    const urgencies = new Map(queues.map((queue) => [queue.queueId, queue.urgency]));
    const epochs = new Map(lease.getOwners().map((row) => [row.shardId, row.epoch]));
    return {
      shards: this.#isDraining ? [] : this.#getPlaceableShards(nowMs),
      writerCount: this.#getWriterCount(),
      getUrgency: (queueId) => urgencies.get(queueId) ?? 'normal',
      isOutOfService: (shardId) => {
        const dataCentreId = this.#clusterCapacity.getDataCentre(shardId);
        return config.config.sheet.dataCentres.some(
          (dataCentre) => dataCentre.dataCentreId === dataCentreId && !dataCentre.inService,
        );
      },
      getEpoch: (shardId) => epochs.get(shardId),
      isLargeEnough: (shardId, demand) => this.#clusterCapacity.isLargeEnough(shardId, demand),
      isPlaceable: (demand, taskCount) => this.#clusterCapacity.isPlaceable(demand, taskCount),
    };
  }

  #getPlaceableShards(nowMs: number): readonly PlaceableShard[] {
    const { config, peerStatuses } = this.#dependencies;
    const inService = new Set(
      config.config.sheet.dataCentres
        .filter((dataCentre) => dataCentre.inService)
        .map((dataCentre) => dataCentre.dataCentreId),
    );
    const freeCapacities = [
      ...this.getFreeShardCapacities(nowMs),
      ...peerStatuses.getRecent(nowMs).flatMap((status) => status.shardRooms ?? []),
    ];
    return freeCapacities.flatMap((freeCapacity): readonly PlaceableShard[] => {
      const dataCentreId = this.#clusterCapacity.getDataCentre(freeCapacity.shardId);
      if (dataCentreId === undefined || !inService.has(dataCentreId)) return [];
      return [{ ...freeCapacity, dataCentreId }];
    });
  }

  #requestReports(nowMs: number): readonly SchedulerEffect[] {
    const { ownership } = this.#dependencies;
    const previousTickMs = this.#lastTickMs;
    this.#lastTickMs = nowMs;
    const isDue = nowMs >= this.#nextReportMs;
    if (isDue) this.#nextReportMs = nowMs + REPORT_INTERVAL_MS;
    const targets = isDue
      ? ownership.getCandidates()
      : ownership.getTargetsSettledBetween(previousTickMs, nowMs);
    return targets.flatMap((target) => this.#requestReport(nowMs, target));
  }

  #requestReport(nowMs: number, target: Target): readonly SchedulerEffect[] {
    const permit = this.#dependencies.ownership.tryGetOwnerPermit(target, nowMs);
    if (permit === undefined) return [];
    const { targetId, shardId, address } = target;
    const { epoch } = permit;
    const token = { shardId, epoch };
    const notAfterMs = Math.min(permit.untilMs, nowMs + LEASE_CALL_SEND_TIMEOUT_MS);
    const commonFields = {
      kind: 'callTarget',
      address,
      timeoutMs: REPORT_TIMEOUT_MS,
      notAfterMs,
    } as const;
    const report: SchedulerEffect = {
      origin: { kind: 'report', targetId, sentMs: nowMs, ...token },
      call: { kind: 'report', token },
      ...commonFields,
    };
    if (!this.#leaseTracker.isRenewalDue(target, epoch, nowMs)) return [report];
    this.#leaseTracker.recordRenewal(targetId, epoch, nowMs);
    const call = { kind: 'renew', token, leaseMs: TASK_LEASE_MS } as const;
    return [{ origin: { kind: 'renew', targetId }, call, ...commonFields }, report];
  }

  /** Translates task effects; the updates for one home are combined in one call. */
  #translateTaskEffects(nowMs: number, effects: readonly TaskEffect[]): readonly SchedulerEffect[] {
    const calls = effects.filter((effect) => effect.kind === 'callTarget');
    const updatesByHome = new Map<ShardId, TaskStatusUpdate[]>();
    effects.forEach((effect) => {
      if (effect.kind !== 'tellHome') return;
      const homeShard = getHomeShard(effect.news.jobId);
      updatesByHome.set(homeShard, [...(updatesByHome.get(homeShard) ?? []), effect.news]);
    });
    const notifications = [...updatesByHome].flatMap(([homeShard, news]) =>
      this.#sendUpdatesToHome(nowMs, homeShard, news),
    );
    return [...calls, ...notifications];
  }

  #sendUpdatesToHome(
    nowMs: number,
    homeShard: ShardId,
    updates: readonly TaskStatusUpdate[],
  ): readonly SchedulerEffect[] {
    if (this.tryGetEpoch(homeShard, nowMs) !== undefined) {
      const accepted = updates.filter((update) => this.#jobTable.applyStatusUpdate(nowMs, update));
      return accepted.length === 0
        ? []
        : this.acknowledge(nowMs, accepted.map(JobController.#toTaskRun));
    }
    const address = this.#getOwnerAddress(homeShard);
    if (address === undefined) return [];
    const call = { kind: 'tellTasks', news: updates } as const;
    return [{ kind: 'callPeer', origin: { kind: 'tellTasks' }, address, call }];
  }

  #getOwnerAddress(shardId: ShardId): string | undefined {
    const { lease } = this.#dependencies;
    const owner = lease.getOwners().find((row) => row.shardId === shardId)?.ownerId;
    return owner ? lease.members.get(owner)?.row.address : undefined;
  }

  /** Translates job effects; the commands for one owner are combined in one call. */
  #translateJobEffects(nowMs: number, effects: readonly JobEffect[]): readonly SchedulerEffect[] {
    const commands: TaskCommand[] = [];
    const others = effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callPlatform':
          return [effect];
        case 'replyJob':
          return [{ kind: 'replyCall', callId: effect.callId, value: effect.result }];
        case 'askOwner':
          commands.push(effect.command);
          return [];
        default:
          return assertNever(effect);
      }
    });
    return [...others, ...this.#sendCommandsToOwners(nowMs, commands)];
  }

  #sendCommandsToOwners(
    nowMs: number,
    commands: readonly TaskCommand[],
  ): readonly SchedulerEffect[] {
    const localEffects: TaskEffect[] = [];
    const batches = new Map<string, TaskCommand[]>();
    commands.forEach((command) => {
      const { shardId } = (command.kind === 'stop' ? command : command.start).placement;
      if (this.tryGetEpoch(shardId, nowMs) !== undefined) {
        localEffects.push(...this.#taskRunner.handleCommand(nowMs, command));
        return;
      }
      const address = this.#getOwnerAddress(shardId);
      if (address !== undefined) batches.set(address, [...(batches.get(address) ?? []), command]);
    });
    const peerCalls = [...batches].map(([address, ownerCommands]): SchedulerEffect => ({
      kind: 'callPeer',
      origin: { kind: 'oneWay' },
      address,
      call: { kind: 'askTasks', asks: ownerCommands },
    }));
    return [...this.#translateTaskEffects(nowMs, localEffects), ...peerCalls];
  }
}
