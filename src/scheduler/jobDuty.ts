/** Connects the job table and the task runner to a scheduler's shards, targets, peers and platform. */

import type { ConfigHolder } from '../config/configHolder';
import { JobTable } from '../jobs/jobTable';
import type { JobEffect } from '../jobs/effects';
import type { PlaceableRoom, PlacementView } from '../jobs/placer';
import { LEASE_CALL_LEAVES_MS, TargetContacts, TASK_LEASE_MS } from '../jobs/targetContacts';
import { TaskRunner } from '../jobs/taskRunner';
import type { TaskEffect, TaskOrigin } from '../jobs/taskCalls';
import type { TeamSurplus } from '../jobs/taskRunner';
import type { ShardRoom, TaskAsk, TaskNews, TaskRun } from '../jobs/types';
import type { JournalOrigin } from '../journal/types';
import type { LeaseKeeper } from '../lease/leaseKeeper';
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
import { Capacities } from './capacities';
import type { Ownership } from './ownership';
import type { Peers } from './peers';
import type { SchedulerEffect, TargetOrigin } from './types';

const REPORT_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_500;

/** Calls about jobs and tasks. */
export type JobCall = Extract<
  SchedulerCall,
  { kind: 'submitJob' | 'getJob' | 'listJobs' | 'cancelJob' | 'askTasks' | 'tellTasks' }
>;

/** Components of a scheduler that job handling depends on. */
export interface JobDutyParts {
  readonly lease: LeaseKeeper;
  readonly config: ConfigHolder;
  readonly pool: TargetPool;
  readonly ownership: Ownership;
  readonly peers: Peers;
}

type ReportOrigin = Extract<TargetOrigin, { kind: 'report' }>;

/** Handles the jobs of the owned home shards and the tasks on the owned targets. */
export class JobDuty {
  readonly #parts: JobDutyParts;

  readonly #contacts = new TargetContacts();

  readonly #capacities: Capacities;

  readonly #table: JobTable;

  readonly #runner: TaskRunner;

  #nextReportMs = 0;

  #tickedMs = 0;

  #isDraining = false;

  /** @param dependencies - components of the scheduler */
  constructor(parts: JobDutyParts) {
    this.#parts = parts;
    const { lease, pool, ownership } = parts;
    this.#capacities = new Capacities(pool);
    this.#table = new JobTable(lease.memberId, lease);
    this.#runner = new TaskRunner(pool, ownership, this, this.#contacts);
  }

  /** Runs tasks on the targets that this scheduler owns. */
  get runner(): TaskRunner {
    return this.#runner;
  }

  /** Number of jobs in the job table. */
  get jobCount(): number {
    return this.#table.jobCount;
  }

  /** Number of tasks of these jobs that a target owner has reported as running. */
  get runningCount(): number {
    return this.#table.runningCount;
  }

  /** True if every change to a job is durable. */
  get isIdle(): boolean {
    return this.#table.isIdle;
  }

  /** {@inheritDoc ShardAuthority.tryGetEpoch} */
  tryGetEpoch(shardId: ShardId, nowMs: number): Epoch | undefined {
    const { lease } = this.#parts;
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
      ...this.#askReports(nowMs),
      ...this.#fromTasks(nowMs, this.#runner.tick(nowMs)),
      ...this.#fromJobs(nowMs, this.#table.tick(nowMs, this.#createView(nowMs))),
    ];
  }

  /** Requests a report from every owned target at the next tick. */
  hastenReports(): void {
    this.#nextReportMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Records that a VM list was applied to the target pool.
   * @param sentMs - when the list was requested
   */
  recordList(sentMs: number): void {
    this.#contacts.recordList(sentMs);
    this.#capacities.update();
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
        return this.#fromJobs(nowMs, [
          ...this.#table.submit(nowMs, callId, call.spec, call.teamId),
          ...this.#table.flush(nowMs, this.#getWriterCount()),
        ]);
      case 'getJob':
        return [reply(this.#table.get(call.jobId, call.teamId))];
      case 'listJobs':
        return [reply(ok(this.#table.list(call.teamId)))];
      case 'cancelJob':
        return this.#fromJobs(nowMs, [
          ...this.#table.cancel(nowMs, callId, call.jobId, call.teamId),
          ...this.#table.flush(nowMs, this.#getWriterCount()),
        ]);
      case 'askTasks': {
        const effects = call.asks.flatMap((ask) => this.#runner.ask(nowMs, ask));
        return [reply({}), ...this.#fromTasks(nowMs, effects)];
      }
      case 'tellTasks': {
        const taken = call.news.filter((news) => this.#table.applyNews(nowMs, news));
        return [reply({ taken: taken.map(JobDuty.#getRun) } satisfies TaskAcknowledgement)];
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
  applyPlatform(
    nowMs: number,
    origin: JournalOrigin,
    result: PlatformResult,
  ): readonly SchedulerEffect[] {
    return this.#fromJobs(nowMs, this.#table.applyResult(nowMs, origin, result));
  }

  /**
   * Applies the result of a call to a target about a task.
   * @param nowMs - current time of this process's monotonic clock
   * @param origin - identifies the call
   * @param result - its result
   * @returns the effects to perform
   */
  applyTarget(nowMs: number, origin: TaskOrigin, result: TargetResult): readonly SchedulerEffect[] {
    return this.#fromTasks(nowMs, this.#runner.applyTargetResult(nowMs, origin, result));
  }

  /**
   * Stops tasks of a team that exceed its allotment on a shard.
   * @param nowMs - current time of this process's monotonic clock
   * @param surplus - the team, the shard and the excess
   * @returns the effects to perform
   */
  stopSurplus(nowMs: number, surplus: TeamSurplus): readonly SchedulerEffect[] {
    return this.#fromTasks(nowMs, this.#runner.stopSurplus(nowMs, surplus));
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
    const effects = this.#runner.applyReport(nowMs, target, permit, report, origin.sentMs);
    this.#contacts.recordReport(target.targetId, origin.epoch, origin.sentMs);
    return this.#fromTasks(nowMs, effects);
  }

  /**
   * Applies a home scheduler's acknowledgement of ended runs.
   * @param nowMs - current time of this process's monotonic clock
   * @param durableRuns - runs whose end the home has recorded
   * @returns the effects to perform
   */
  acknowledge(nowMs: number, taken: readonly TaskRun[]): readonly SchedulerEffect[] {
    return this.#fromTasks(nowMs, this.#runner.acknowledge(nowMs, taken));
  }

  /**
   * Lists the free capacity of each owned target shard, for the home schedulers of jobs.
   * @param nowMs - current time of this process's monotonic clock
   * @returns free slots by shard; empty while the scheduler drains
   */
  getShardRooms(nowMs: number): readonly ShardRoom[] {
    const { lease, ownership, pool } = this.#parts;
    if (this.#isDraining) return [];
    return lease.ownedShardIds
      .filter((shardId) => !isHomeShard(shardId))
      .map((shardId) => {
        const freeSlots = pool
          .getOfShard(shardId)
          .filter((target) => ownership.tryGetPermit(target, nowMs) !== undefined)
          .reduce((sum, target) => sum + Math.max(0, pool.getFree(target.targetId).slots), 0);
        return { shardId, epoch: lease.getEpoch(shardId), freeSlots };
      });
  }

  static #getRun({ taskId, attempt }: TaskNews): TaskRun {
    return { taskId, attempt };
  }

  #getWriterCount(): number {
    return this.#parts.lease.members.views.length;
  }

  #syncShards(nowMs: number): void {
    const { lease } = this.#parts;
    const owned = lease.ownedShardIds.map((shardId) => [shardId, lease.getEpoch(shardId)] as const);
    this.#table.syncShards(new Map(owned.filter(([shardId]) => isHomeShard(shardId))));
    const targets = new Map(owned.filter(([shardId]) => !isHomeShard(shardId)));
    const lost = this.#contacts.syncShards(targets, nowMs);
    lost.forEach((shardId) => this.#runner.forgetShard(shardId));
  }

  #createView(nowMs: number): PlacementView {
    const { config, lease } = this.#parts;
    const { queues } = config.config.sheet;
    const urgencies = new Map(queues.map((queue) => [queue.queueId, queue.urgency]));
    const epochs = new Map(lease.getOwners().map((row) => [row.shardId, row.epoch]));
    return {
      rooms: this.#isDraining ? [] : this.#getRooms(nowMs),
      writerCount: this.#getWriterCount(),
      getUrgency: (queueId) => urgencies.get(queueId) ?? 'normal',
      isOutOfService: (shardId) => {
        const dataCentreId = this.#capacities.getDataCentre(shardId);
        return config.config.sheet.dataCentres.some(
          (known) => known.dataCentreId === dataCentreId && !known.inService,
        );
      },
      getEpoch: (shardId) => epochs.get(shardId),
      isLargeEnough: (shardId, demand) => this.#capacities.isLargeEnough(shardId, demand),
      isPlaceable: (demand, taskCount) => this.#capacities.isPlaceable(demand, taskCount),
    };
  }

  #getRooms(nowMs: number): readonly PlaceableRoom[] {
    const { config, peers } = this.#parts;
    const inService = new Set(
      config.config.sheet.dataCentres
        .filter((dataCentre) => dataCentre.inService)
        .map((dataCentre) => dataCentre.dataCentreId),
    );
    const rooms = [
      ...this.getShardRooms(nowMs),
      ...peers.getHeard(nowMs).flatMap((status) => status.shardRooms ?? []),
    ];
    return rooms.flatMap((room): readonly PlaceableRoom[] => {
      const dataCentreId = this.#capacities.getDataCentre(room.shardId);
      if (dataCentreId === undefined || !inService.has(dataCentreId)) return [];
      return [{ ...room, dataCentreId }];
    });
  }

  #askReports(nowMs: number): readonly SchedulerEffect[] {
    const { ownership } = this.#parts;
    const sinceMs = this.#tickedMs;
    this.#tickedMs = nowMs;
    const isDue = nowMs >= this.#nextReportMs;
    if (isDue) this.#nextReportMs = nowMs + REPORT_INTERVAL_MS;
    const targets = isDue ? ownership.getCandidates() : ownership.getSettledBetween(sinceMs, nowMs);
    return targets.flatMap((target) => this.#askReport(nowMs, target));
  }

  #askReport(nowMs: number, target: Target): readonly SchedulerEffect[] {
    const permit = this.#parts.ownership.tryGetOwnerPermit(target, nowMs);
    if (permit === undefined) return [];
    const { targetId, shardId, address } = target;
    const { epoch } = permit;
    const token = { shardId, epoch };
    const notAfterMs = Math.min(permit.untilMs, nowMs + LEASE_CALL_LEAVES_MS);
    const common = {
      kind: 'callTarget',
      address,
      timeoutMs: REPORT_TIMEOUT_MS,
      notAfterMs,
    } as const;
    const report: SchedulerEffect = {
      origin: { kind: 'report', targetId, sentMs: nowMs, ...token },
      call: { kind: 'report', token },
      ...common,
    };
    if (!this.#contacts.isRenewalDue(target, epoch, nowMs)) return [report];
    this.#contacts.recordRenewal(targetId, epoch, nowMs);
    const call = { kind: 'renew', token, leaseMs: TASK_LEASE_MS } as const;
    return [{ origin: { kind: 'renew', targetId }, call, ...common }, report];
  }

  /** Translates task effects; the updates for one home are combined in one call. */
  #fromTasks(nowMs: number, effects: readonly TaskEffect[]): readonly SchedulerEffect[] {
    const calls = effects.filter((effect) => effect.kind === 'callTarget');
    const newsByHome = new Map<ShardId, TaskNews[]>();
    effects.forEach((effect) => {
      if (effect.kind !== 'tellHome') return;
      const homeShard = getHomeShard(effect.news.jobId);
      newsByHome.set(homeShard, [...(newsByHome.get(homeShard) ?? []), effect.news]);
    });
    const told = [...newsByHome].flatMap(([homeShard, news]) =>
      this.#tellHome(nowMs, homeShard, news),
    );
    return [...calls, ...told];
  }

  #tellHome(
    nowMs: number,
    homeShard: ShardId,
    news: readonly TaskNews[],
  ): readonly SchedulerEffect[] {
    if (this.tryGetEpoch(homeShard, nowMs) !== undefined) {
      const taken = news.filter((one) => this.#table.applyNews(nowMs, one));
      return taken.length === 0 ? [] : this.acknowledge(nowMs, taken.map(JobDuty.#getRun));
    }
    const address = this.#getOwnerAddress(homeShard);
    if (address === undefined) return [];
    const call = { kind: 'tellTasks', news } as const;
    return [{ kind: 'callPeer', origin: { kind: 'tellTasks' }, address, call }];
  }

  #getOwnerAddress(shardId: ShardId): string | undefined {
    const { lease } = this.#parts;
    const owner = lease.getOwners().find((row) => row.shardId === shardId)?.ownerId;
    return owner ? lease.members.get(owner)?.row.address : undefined;
  }

  /** Translates job effects; the commands for one owner are combined in one call. */
  #fromJobs(nowMs: number, effects: readonly JobEffect[]): readonly SchedulerEffect[] {
    const asks: TaskAsk[] = [];
    const others = effects.flatMap((effect): readonly SchedulerEffect[] => {
      switch (effect.kind) {
        case 'callPlatform':
          return [effect];
        case 'replyJob':
          return [{ kind: 'replyCall', callId: effect.callId, value: effect.result }];
        case 'askOwner':
          asks.push(effect.ask);
          return [];
        default:
          return assertNever(effect);
      }
    });
    return [...others, ...this.#askOwners(nowMs, asks)];
  }

  #askOwners(nowMs: number, asks: readonly TaskAsk[]): readonly SchedulerEffect[] {
    const local: TaskEffect[] = [];
    const byAddress = new Map<string, TaskAsk[]>();
    asks.forEach((ask) => {
      const { shardId } = (ask.kind === 'stop' ? ask : ask.start).placement;
      if (this.tryGetEpoch(shardId, nowMs) !== undefined) {
        local.push(...this.#runner.ask(nowMs, ask));
        return;
      }
      const address = this.#getOwnerAddress(shardId);
      if (address !== undefined) byAddress.set(address, [...(byAddress.get(address) ?? []), ask]);
    });
    const remote = [...byAddress].map(([address, sent]): SchedulerEffect => ({
      kind: 'callPeer',
      origin: { kind: 'oneWay' },
      address,
      call: { kind: 'askTasks', asks: sent },
    }));
    return [...this.#fromTasks(nowMs, local), ...remote];
  }
}
