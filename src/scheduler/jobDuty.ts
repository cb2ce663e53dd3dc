/** Connects jobs and tasks to the rest of a scheduler: shards, targets, peers and the platform. */

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
import { Capacities } from './capacities';
import type { Ownership } from './ownership';
import type { Peers } from './peers';
import type { SchedulerEffect, TargetOrigin } from './types';

const REPORT_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 1_500;

/** Calls that concern jobs. */
export type JobCall = Extract<
  SchedulerCall,
  { kind: 'submitJob' | 'getJob' | 'listJobs' | 'cancelJob' | 'askTasks' | 'tellTasks' }
>;

/** Parts of a scheduler that jobs depend on. */
export interface JobDutyParts {
  readonly lease: LeaseManager;
  readonly config: ConfigHolder;
  readonly pool: TargetPool;
  readonly ownership: Ownership;
  readonly peers: Peers;
}

type ReportOrigin = Extract<TargetOrigin, { kind: 'report' }>;

/** Jobs and tasks of one scheduler. */
export class JobDuty {
  readonly #parts: JobDutyParts;

  readonly #contacts = new TargetContacts();

  readonly #capacities: Capacities;

  readonly #table: JobTable;

  readonly #runner: TaskRunner;

  #nextReportMs = 0;

  #tickedMs = 0;

  #isDraining = false;

  /** @param parts - what jobs depend on */
  constructor(parts: JobDutyParts) {
    this.#parts = parts;
    const { lease, pool, ownership } = parts;
    this.#capacities = new Capacities(pool);
    this.#table = new JobTable(lease.memberId, lease);
    this.#runner = new TaskRunner(pool, ownership, this, this.#contacts);
  }

  /** The owner's side of tasks. */
  get runner(): TaskRunner {
    return this.#runner;
  }

  /** Jobs kept. */
  get jobCount(): number {
    return this.#table.jobCount;
  }

  /** Tasks of the jobs kept that an owner said are running. */
  get runningCount(): number {
    return this.#table.runningCount;
  }

  /** True when every change of a job is durable. */
  get isIdle(): boolean {
    return this.#table.isIdle;
  }

  /** {@inheritDoc ShardAuthority.tryGetEpoch} */
  tryGetEpoch(shardId: ShardId, nowMs: number): Epoch | undefined {
    const { lease } = this.#parts;
    return nowMs < lease.getAuthorityUntilMs(shardId) ? lease.getEpoch(shardId) : undefined;
  }

  /**
   * Applies the passing of time.
   * @param nowMs - this process's clock
   * @param isDraining - true once a planned stop was asked for
   * @returns what to do
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

  /** Makes every owned target be asked for a report at the next tick. */
  hastenReports(): void {
    this.#nextReportMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Records that the list of Vms was taken in.
   * @param sentMs - when it was asked for
   */
  recordList(sentMs: number): void {
    this.#contacts.recordList(sentMs);
    this.#capacities.update();
  }

  /**
   * Answers a call about jobs or tasks.
   * @param nowMs - this process's clock
   * @param callId - the call to answer
   * @param call - what is asked
   * @returns what to do
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
   * Takes in what came of a call to the platform.
   * @param nowMs - this process's clock
   * @param origin - which call
   * @param result - what came
   * @returns what to do
   */
  applyPlatform(
    nowMs: number,
    origin: JournalOrigin,
    result: PlatformResult,
  ): readonly SchedulerEffect[] {
    return this.#fromJobs(nowMs, this.#table.applyResult(nowMs, origin, result));
  }

  /**
   * Takes in what came of a call to a target about a task.
   * @param nowMs - this process's clock
   * @param origin - which call
   * @param result - what came
   * @returns what to do
   */
  applyTarget(nowMs: number, origin: TaskOrigin, result: TargetResult): readonly SchedulerEffect[] {
    return this.#fromTasks(nowMs, this.#runner.applyTargetResult(nowMs, origin, result));
  }

  /**
   * Stops what runs of a team above its allotment on a shard.
   * @param nowMs - this process's clock
   * @param surplus - how much of which team where
   * @returns what to do
   */
  stopSurplus(nowMs: number, surplus: TeamSurplus): readonly SchedulerEffect[] {
    return this.#fromTasks(nowMs, this.#runner.stopSurplus(nowMs, surplus));
  }

  /**
   * Takes in a target's report.
   * @param nowMs - this process's clock
   * @param target - which target
   * @param permit - the ownership under which the report was asked for
   * @param origin - which report
   * @param report - what the target says
   * @returns what to do
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
   * Takes in a home's acknowledgement.
   * @param nowMs - this process's clock
   * @param taken - runs whose end is durable
   * @returns what to do
   */
  acknowledge(nowMs: number, taken: readonly TaskRun[]): readonly SchedulerEffect[] {
    return this.#fromTasks(nowMs, this.#runner.acknowledge(nowMs, taken));
  }

  /**
   * Gets the room of each owned shard, for the homes of jobs.
   * @param nowMs - this process's clock
   * @returns the shards on which something may start
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

  /** Sends news to each home in one message. */
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

  /** Sends asks to each owner in one message. */
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
