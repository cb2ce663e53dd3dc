/** The jobs whose home is this scheduler: submission, placement, status updates and journaling. */

import { Journal } from '../journal/journal';
import type { JournalOutcome } from '../journal/journal';
import { JournalReader } from '../journal/journalReader';
import { SnapshotWriter } from '../journal/snapshotWriter';
import type { FenceSource, JournalCall, JournalContent, JournalOrigin } from '../journal/types';
import { getHomeShard } from '../lease/shards';
import type { PlatformResult } from '../platform/types';
import { createDiagnostic } from '../types/diagnostics';
import { assertNever } from '../types/debug';
import type { Epoch, JobId, ShardId, TeamId } from '../types/ids';
import { fail, ok } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import {
  applyEntry,
  createJob,
  createJobEntries,
  createTaskEntry,
  encodeEntry,
  derivePhase,
  getPlacement,
  isTerminalPhase,
  summariseJob,
} from './job';
import type { JobRecord, TaskRecord } from './job';
import { createPlacementPlan } from './placer';
import type { PlacementView } from './placer';
import { applyStatusUpdate } from './taskProgress';
import {
  advanceGang,
  beginGangReservation,
  releaseGangReservations,
  restoreGangState,
} from './gang';
import type { JobEffect } from './effects';
import type { JobEntry, JobSpec, JobSummary, TaskStatusUpdate } from './types';

const MAX_RETAINED_ENDED_JOBS = 10_000;

/** Manages the jobs of the home shards that this scheduler owns. */
export class JobTable {
  #jobs = new Map<JobId, JobRecord>();

  /** Jobs that have not ended, or that have a task that may still run. */
  #activeJobIds = new Set<JobId>();

  #openShards = new Map<ShardId, Epoch>();

  #loadingShards = new Map<ShardId, Epoch>();

  #journal: Journal<JobEffect>;

  #journalReader = new JournalReader();

  #snapshots: SnapshotWriter;

  #lastSubmitNumber = 0;

  /**
   * @param writerId - unique id of this run of the process
   * @param fences - lease rows that fence journal writes
   */
  constructor(writerId: string, fences: FenceSource) {
    this.#journal = new Journal(writerId, fences);
    this.#snapshots = new SnapshotWriter(writerId, fences, this);
  }

  /** Number of jobs, including ended jobs that are retained. */
  get jobCount(): number {
    return this.#jobs.size;
  }

  /** Number of tasks that owners reported as running. */
  get runningCount(): number {
    return [...this.#activeJobIds].reduce((sum, jobId) => {
      const tasks = this.#jobs.get(jobId)?.tasks ?? [];
      return sum + tasks.filter((task) => task.state.kind === 'running').length;
    }, 0);
  }

  /** Number of shards whose jobs are still being loaded. */
  get loadingCount(): number {
    return this.#loadingShards.size;
  }

  /** True if no entry is waiting to be written to the journal. */
  get isIdle(): boolean {
    return this.#journal.isIdle;
  }

  /**
   * Loads newly acquired home shards and closes lost ones.
   * @param owned - the owned home shards with their epochs
   */
  syncShards(owned: ReadonlyMap<ShardId, Epoch>): void {
    [...this.#openShards, ...this.#loadingShards].forEach(([shardId, epoch]) => {
      if (owned.get(shardId) !== epoch) this.#closeShard(shardId);
    });
    owned.forEach((epoch, shardId) => {
      if (this.#openShards.has(shardId) || this.#loadingShards.has(shardId)) return;
      this.#loadingShards.set(shardId, epoch);
      this.#journalReader.begin(shardId);
    });
  }

  /**
   * Accepts a submitted job. The call is answered once the job is durable.
   * @param nowMs - current time on this process's clock
   * @param callId - the call to answer
   * @param spec - the job
   * @param teamId - the team that submits it
   * @returns the effects to perform
   */
  submit(nowMs: number, callId: number, spec: JobSpec, teamId: TeamId): readonly JobEffect[] {
    const homeShard = getHomeShard(spec.jobId);
    if (!this.#openShards.has(homeShard)) {
      return [{ kind: 'replyJob', callId, result: fail(createDiagnostic('noOwner')) }];
    }
    const existing = this.#jobs.get(spec.jobId);
    if (existing !== undefined) return this.#resubmit(nowMs, callId, existing, spec, teamId);
    this.#lastSubmitNumber += 1;
    const job = createJob(spec, teamId, this.#lastSubmitNumber);
    this.#jobs.set(spec.jobId, job);
    this.#activeJobIds.add(spec.jobId);
    const entry: JobEntry = {
      kind: 'submitted',
      spec,
      teamId,
      submitNumber: job.submitNumber,
    };
    const reply: JobEffect = { kind: 'replyJob', callId, result: ok(summariseJob(job)) };
    this.#append(nowMs, spec.jobId, entry, [reply], true);
    return [];
  }

  /**
   * Gets one job of a team.
   * @param jobId - the job
   * @param teamId - the querying team
   * @returns the job's summary; a job of another team is reported as unknown
   */
  get(jobId: JobId, teamId: TeamId): Result<JobSummary> {
    if (!this.#openShards.has(getHomeShard(jobId))) return fail(createDiagnostic('noOwner'));
    const job = this.#jobs.get(jobId);
    if (job === undefined || job.teamId !== teamId) {
      return fail(createDiagnostic('unknownJob', jobId));
    }
    return ok(summariseJob(job));
  }

  /**
   * Lists a team's jobs.
   * @param teamId - the team
   * @returns the summaries
   */
  list(teamId: TeamId): readonly JobSummary[] {
    return [...this.#jobs.values()].filter((job) => job.teamId === teamId).map(summariseJob);
  }

  /**
   * Cancels a job: no further task is started and running tasks are stopped. The call is answered
   * once the cancellation is durable.
   * @param nowMs - current time on this process's clock
   * @param callId - the call to answer
   * @param jobId - the job
   * @param teamId - the cancelling team
   * @returns the effects to perform
   */
  cancel(nowMs: number, callId: number, jobId: JobId, teamId: TeamId): readonly JobEffect[] {
    const summary = this.get(jobId, teamId);
    const job = this.#jobs.get(jobId);
    if (summary.kind === 'error' || job === undefined || isTerminalPhase(job.phase)) {
      return [{ kind: 'replyJob', callId, result: summary }];
    }
    this.#setPhase(nowMs, job, 'cancelled', [callId]);
    return [];
  }

  /**
   * Places pending tasks, repeats commands to owners, and writes due journal entries.
   * @param nowMs - current time on this process's clock
   * @param view - current view of the cluster
   * @returns the effects to perform
   */
  tick(nowMs: number, view: PlacementView): readonly JobEffect[] {
    const jobs = [...this.#activeJobIds].flatMap((jobId) => this.#jobs.get(jobId) ?? []);
    const plan = createPlacementPlan(nowMs, jobs, view, this);
    const gangs = new Set(
      plan.placed.filter(({ command }) => command === undefined).map(({ job }) => job),
    );
    gangs.forEach((job) =>
      this.#append(nowMs, job.spec.jobId, beginGangReservation(job), [], false),
    );
    plan.placed.forEach(({ job, task, command }) => {
      const deferredEffects: readonly JobEffect[] =
        command === undefined ? [] : [{ kind: 'askOwner', command }];
      this.#appendTask(nowMs, job, task, deferredEffects, true);
    });
    plan.changedJobs.forEach((job) => this.#updatePhase(nowMs, job));
    return [
      ...plan.asks.map((command): JobEffect => ({ kind: 'askOwner', command })),
      ...this.flush(nowMs, view.writerCount),
      ...this.#journalReader.tick(nowMs),
      ...this.#snapshots.tick(nowMs),
    ];
  }

  /**
   * Writes buffered journal entries if a write is due.
   * @param nowMs - current time on this process's clock
   * @param writerCount - number of schedulers that share the platform's write rate limit
   * @returns the platform call, if any
   */
  flush(nowMs: number, writerCount: number): readonly JournalCall[] {
    return this.#journal.tryFlush(nowMs, writerCount);
  }

  /**
   * Applies an owner's status update for a placement.
   * @param nowMs - current time on this process's clock
   * @param update - the status update
   * @returns true if the update is acknowledged, so that the owner need not repeat it
   */
  applyStatusUpdate(nowMs: number, update: TaskStatusUpdate): boolean {
    const homeShard = getHomeShard(update.jobId);
    if (!this.#openShards.has(homeShard)) return false;
    const job = this.#jobs.get(update.jobId);
    const task = job?.tasks.find((candidate) => candidate.taskId === update.taskId);
    // An unknown job was never placed, or ended so long ago that its record was evicted.
    if (job === undefined || task === undefined) return true;
    if (getPlacement(task)?.attempt === update.attempt) this.#applyUpdate(nowMs, job, task, update);
    return (
      getPlacement(task)?.attempt !== update.attempt &&
      this.#journal.isDurable(homeShard, task.lastEntryNumber)
    );
  }

  /**
   * Applies the result of a platform call.
   * @param nowMs - current time on this process's clock
   * @param origin - the call
   * @param result - its result
   * @returns the effects to perform
   */
  applyResult(nowMs: number, origin: JournalOrigin, result: PlatformResult): readonly JobEffect[] {
    switch (origin.kind) {
      case 'journalWrite':
        return this.#applyJournalOutcome(this.#journal.applyResult(origin.operationId, result));
      case 'journalPutSnapshot':
      case 'journalSetHead':
      case 'journalTrim':
      case 'journalDropSnapshot':
        return this.#snapshots.applyResult(nowMs, origin, result);
      case 'journalReadHead':
      case 'journalReadSnapshot':
      case 'journalReadRows': {
        const { calls, content } = this.#journalReader.applyResult(nowMs, origin, result);
        if (content !== undefined) this.#openShard(content);
        return calls;
      }
      default:
        return assertNever(origin);
    }
  }

  /**
   * Creates a snapshot of a shard and evicts its oldest ended jobs beyond the retention limit.
   * @param shardId - the home shard
   * @returns the entries from which its jobs can be restored, as JSON
   */
  createSnapshot(shardId: ShardId): string {
    const jobs = [...this.#jobs.values()].filter((job) => getHomeShard(job.spec.jobId) === shardId);
    const ended = jobs.filter((job) => !this.#activeJobIds.has(job.spec.jobId));
    const evicted = new Set(ended.slice(0, Math.max(0, ended.length - MAX_RETAINED_ENDED_JOBS)));
    evicted.forEach((job) => this.#jobs.delete(job.spec.jobId));
    return JSON.stringify(jobs.filter((job) => !evicted.has(job)).flatMap(createJobEntries));
  }

  /** {@inheritDoc DurabilitySource.isTaskDurable} */
  isTaskDurable(job: JobRecord, task: TaskRecord): boolean {
    return this.#journal.isDurable(getHomeShard(job.spec.jobId), task.lastEntryNumber);
  }

  /** {@inheritDoc DurabilitySource.isGangDurable} */
  isGangDurable(job: JobRecord): boolean {
    return this.#journal.isDurable(getHomeShard(job.spec.jobId), job.gangCommitEntryNumber);
  }

  #resubmit(
    nowMs: number,
    callId: number,
    job: JobRecord,
    spec: JobSpec,
    teamId: TeamId,
  ): readonly JobEffect[] {
    const isSame = job.teamId === teamId && JSON.stringify(job.spec) === JSON.stringify(spec);
    if (!isSame) {
      const result = fail<JobSummary>(createDiagnostic('duplicateJob', spec.jobId));
      return [{ kind: 'replyJob', callId, result }];
    }
    // The original `submitted` entry may not be durable yet; entries become durable in order, so the
    // reply that waits for this one also waits for that one.
    const entry: JobEntry = { kind: 'phase', jobId: spec.jobId, phase: job.phase };
    const reply: JobEffect = { kind: 'replyJob', callId, result: ok(summariseJob(job)) };
    this.#append(nowMs, spec.jobId, entry, [reply], true);
    return [];
  }

  #append(
    nowMs: number,
    jobId: JobId,
    entry: JobEntry,
    deferredEffects: readonly JobEffect[],
    isUrgent: boolean,
  ): number {
    const homeShard = getHomeShard(jobId);
    return this.#journal.append(nowMs, homeShard, encodeEntry(entry), deferredEffects, isUrgent);
  }

  #appendTask(
    nowMs: number,
    job: JobRecord,
    task: TaskRecord,
    deferredEffects: readonly JobEffect[] = [],
    isUrgent = false,
  ): void {
    const entry = createTaskEntry(job.spec.jobId, task);
    task.lastEntryNumber = this.#append(nowMs, job.spec.jobId, entry, deferredEffects, isUrgent);
  }

  #applyUpdate(nowMs: number, job: JobRecord, task: TaskRecord, update: TaskStatusUpdate): void {
    const durability = applyStatusUpdate(nowMs, job, task, update);
    if (durability === 'durable') this.#appendTask(nowMs, job, task);
    if (job.spec.policy.kind === 'gang') {
      const commit = advanceGang(nowMs, job, task, update);
      if (commit !== undefined) {
        job.gangCommitEntryNumber = this.#append(nowMs, job.spec.jobId, commit, [], true);
      }
      if (job.gangState === 'releasing') releaseGangReservations(nowMs, job);
    }
    this.#updatePhase(nowMs, job);
  }

  #updatePhase(nowMs: number, job: JobRecord): void {
    const phase = derivePhase(job);
    if (phase === job.phase) this.#removeIfInactive(job);
    else if (isTerminalPhase(phase)) this.#setPhase(nowMs, job, phase, []);
    else job.phase = phase;
  }

  #setPhase(
    nowMs: number,
    job: JobRecord,
    phase: JobRecord['phase'],
    callIds: readonly number[],
  ): void {
    const { jobId } = job.spec;
    job.phase = phase;
    job.tasks.forEach((task) => {
      if (task.state.kind === 'pending') task.state = { kind: 'stopped' };
      task.nextCommandAtMs = nowMs;
    });
    this.#removeIfInactive(job);
    const result = ok(summariseJob(job));
    const replies = callIds.map((callId): JobEffect => ({ kind: 'replyJob', callId, result }));
    this.#append(nowMs, jobId, { kind: 'phase', jobId, phase }, replies, replies.length > 0);
  }

  #removeIfInactive(job: JobRecord): void {
    const isActive =
      !isTerminalPhase(job.phase) || job.tasks.some((task) => getPlacement(task) !== undefined);
    if (!isActive) this.#activeJobIds.delete(job.spec.jobId);
  }

  #applyJournalOutcome(outcome: JournalOutcome<JobEffect>): readonly JobEffect[] {
    outcome.committed.forEach(({ shardId, sequence }) => this.#snapshots.addRow(shardId, sequence));
    outcome.lostShardIds.forEach((shardId) => this.#closeShard(shardId));
    return outcome.releasedEffects;
  }

  #openShard(content: JournalContent): void {
    const { shardId } = content;
    const epoch = this.#loadingShards.get(shardId);
    if (epoch === undefined) return;
    const jobs = new Map<JobId, JobRecord>();
    const snapshot = content.snapshot === null ? [] : (JSON.parse(content.snapshot) as JobEntry[]);
    [...snapshot, ...(content.entries as unknown as JobEntry[])].forEach((entry) =>
      applyEntry(jobs, entry),
    );
    jobs.forEach((job, jobId) => {
      this.#lastSubmitNumber = Math.max(this.#lastSubmitNumber, job.submitNumber);
      this.#jobs.set(jobId, job);
      this.#activeJobIds.add(jobId);
      restoreGangState(job);
      this.#removeIfInactive(job);
    });
    this.#loadingShards.delete(shardId);
    this.#openShards.set(shardId, epoch);
    this.#journal.open(shardId, content.lastSequence);
    this.#snapshots.open(content);
  }

  #closeShard(shardId: ShardId): void {
    this.#openShards.delete(shardId);
    this.#loadingShards.delete(shardId);
    this.#journalReader.stop(shardId);
    this.#journal.close(shardId);
    this.#snapshots.close(shardId);
    this.#jobs.forEach((_, jobId) => {
      if (getHomeShard(jobId) !== shardId) return;
      this.#jobs.delete(jobId);
      this.#activeJobIds.delete(jobId);
    });
  }
}
