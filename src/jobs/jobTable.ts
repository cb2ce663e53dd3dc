/** The jobs whose home is this scheduler: their tasks, their phase, and their journal. */

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
  getPhase,
  getPlacement,
  isEnded,
  summariseJob,
} from './job';
import type { KeptJob, KeptTask } from './job';
import { createPlan } from './placer';
import type { PlacementView } from './placer';
import { applyNews } from './taskProgress';
import { advanceGang, beginGang, releaseGang, restoreGang } from './gang';
import type { JobEffect } from './effects';
import type { JobEntry, JobSpec, JobSummary, TaskNews } from './types';

const ENDED_JOB_KEPT_COUNT = 10_000;

/** The home's side of every job. */
export class JobTable {
  #jobs = new Map<JobId, KeptJob>();

  /** Jobs that have not ended, or of which a task may still run. */
  #activeIds = new Set<JobId>();

  #openShards = new Map<ShardId, Epoch>();

  #loadingShards = new Map<ShardId, Epoch>();

  #journal: Journal<JobEffect>;

  #reader = new JournalReader();

  #snapshots: SnapshotWriter;

  #submitCount = 0;

  /**
   * @param writerId - distinguishes this run of the process
   * @param fences - the lease rows that guard the journal
   */
  constructor(writerId: string, fences: FenceSource) {
    this.#journal = new Journal(writerId, fences);
    this.#snapshots = new SnapshotWriter(writerId, fences, this);
  }

  /** Jobs kept. */
  get jobCount(): number {
    return this.#jobs.size;
  }

  /** Tasks that an owner said are running. */
  get runningCount(): number {
    return [...this.#activeIds].reduce((sum, jobId) => {
      const tasks = this.#jobs.get(jobId)?.tasks ?? [];
      return sum + tasks.filter((task) => task.state.kind === 'running').length;
    }, 0);
  }

  /** Shards whose jobs are still being read back. */
  get loadingCount(): number {
    return this.#loadingShards.size;
  }

  /** True when nothing waits for the journal. */
  get isIdle(): boolean {
    return this.#journal.isIdle;
  }

  /**
   * Opens home shards that were acquired and closes those that were lost.
   * @param owned - the home shards with their epochs
   */
  syncShards(owned: ReadonlyMap<ShardId, Epoch>): void {
    [...this.#openShards, ...this.#loadingShards].forEach(([shardId, epoch]) => {
      if (owned.get(shardId) !== epoch) this.#close(shardId);
    });
    owned.forEach((epoch, shardId) => {
      if (this.#openShards.has(shardId) || this.#loadingShards.has(shardId)) return;
      this.#loadingShards.set(shardId, epoch);
      this.#reader.begin(shardId);
    });
  }

  /**
   * Takes in a submitted job; it is answered once it is durable.
   * @param nowMs - this process's clock
   * @param callId - the call to answer
   * @param spec - the job
   * @param teamId - whose key came with it
   * @returns what to do
   */
  submit(nowMs: number, callId: number, spec: JobSpec, teamId: TeamId): readonly JobEffect[] {
    const homeShard = getHomeShard(spec.jobId);
    if (!this.#openShards.has(homeShard)) {
      return [{ kind: 'replyJob', callId, result: fail(createDiagnostic('noOwner')) }];
    }
    const known = this.#jobs.get(spec.jobId);
    if (known !== undefined) return this.#resubmit(nowMs, callId, known, spec, teamId);
    this.#submitCount += 1;
    const job = createJob(spec, teamId, this.#submitCount);
    this.#jobs.set(spec.jobId, job);
    this.#activeIds.add(spec.jobId);
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
   * @param jobId - which
   * @param teamId - whose key came with the query
   * @returns its summary; another team's job counts as unknown
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
   * @returns a summary of each
   */
  list(teamId: TeamId): readonly JobSummary[] {
    return [...this.#jobs.values()].filter((job) => job.teamId === teamId).map(summariseJob);
  }

  /**
   * Cancels a job: nothing of it starts any more, and what runs is stopped. Answered once durable.
   * @param nowMs - this process's clock
   * @param callId - the call to answer
   * @param jobId - which
   * @param teamId - whose key came
   * @returns what to do
   */
  cancel(nowMs: number, callId: number, jobId: JobId, teamId: TeamId): readonly JobEffect[] {
    const found = this.get(jobId, teamId);
    const job = this.#jobs.get(jobId);
    if (found.kind === 'error' || job === undefined || isEnded(job.phase)) {
      return [{ kind: 'replyJob', callId, result: found }];
    }
    this.#setPhase(nowMs, job, 'cancelled', [callId]);
    return [];
  }

  /**
   * Places pending tasks, asks owners again, and writes what has gathered.
   * @param nowMs - this process's clock
   * @param view - what can be placed where
   * @returns what to do
   */
  tick(nowMs: number, view: PlacementView): readonly JobEffect[] {
    const jobs = [...this.#activeIds].flatMap((jobId) => this.#jobs.get(jobId) ?? []);
    const plan = createPlan(nowMs, jobs, view, this);
    const gangs = new Set(plan.placed.filter(({ ask }) => ask === undefined).map(({ job }) => job));
    gangs.forEach((job) => this.#append(nowMs, job.spec.jobId, beginGang(job), [], false));
    plan.placed.forEach(({ job, task, ask }) => {
      const asks: readonly JobEffect[] = ask === undefined ? [] : [{ kind: 'askOwner', ask }];
      this.#appendTask(nowMs, job, task, asks, true);
    });
    plan.changed.forEach((job) => this.#updatePhase(nowMs, job));
    return [
      ...plan.asks.map((ask): JobEffect => ({ kind: 'askOwner', ask })),
      ...this.flush(nowMs, view.writerCount),
      ...this.#reader.tick(nowMs),
      ...this.#snapshots.tick(nowMs),
    ];
  }

  /**
   * Writes what has gathered, if it is due.
   * @param nowMs - this process's clock
   * @param writerCount - schedulers that share the platform's write rate
   * @returns the call, if any
   */
  flush(nowMs: number, writerCount: number): readonly JournalCall[] {
    return this.#journal.tryFlush(nowMs, writerCount);
  }

  /**
   * Takes in what an owner says of a placement.
   * @param nowMs - this process's clock
   * @param news - what became of it
   * @returns true when the owner need not repeat it
   */
  applyNews(nowMs: number, news: TaskNews): boolean {
    const homeShard = getHomeShard(news.jobId);
    if (!this.#openShards.has(homeShard)) return false;
    const job = this.#jobs.get(news.jobId);
    const task = job?.tasks.find((known) => known.taskId === news.taskId);
    // A job that is not known was never placed, or ended so long ago that it was forgotten.
    if (job === undefined || task === undefined) return true;
    if (getPlacement(task)?.attempt === news.attempt) this.#applyCurrent(nowMs, job, task, news);
    return (
      getPlacement(task)?.attempt !== news.attempt &&
      this.#journal.isDurable(homeShard, task.entryNumber)
    );
  }

  /**
   * Takes in what came of a platform call.
   * @param nowMs - this process's clock
   * @param origin - which call
   * @param result - what came
   * @returns what to do
   */
  applyResult(nowMs: number, origin: JournalOrigin, result: PlatformResult): readonly JobEffect[] {
    switch (origin.kind) {
      case 'journalWrite':
        return this.#applyWrite(this.#journal.applyResult(origin.operationId, result));
      case 'journalPutSnapshot':
      case 'journalSetHead':
      case 'journalTrim':
      case 'journalDropSnapshot':
        return this.#snapshots.applyResult(nowMs, origin, result);
      case 'journalReadHead':
      case 'journalReadSnapshot':
      case 'journalReadRows': {
        const { calls, content } = this.#reader.applyResult(nowMs, origin, result);
        if (content !== undefined) this.#open(content);
        return calls;
      }
      default:
        return assertNever(origin);
    }
  }

  /**
   * Builds a shard's snapshot.
   * @param shardId - the home shard
   * @returns the entries that rebuild its jobs, as JSON
   */
  createSnapshot(shardId: ShardId): string {
    const jobs = [...this.#jobs.values()].filter((job) => getHomeShard(job.spec.jobId) === shardId);
    const ended = jobs.filter((job) => !this.#activeIds.has(job.spec.jobId));
    const dropped = new Set(ended.slice(0, Math.max(0, ended.length - ENDED_JOB_KEPT_COUNT)));
    dropped.forEach((job) => this.#jobs.delete(job.spec.jobId));
    return JSON.stringify(jobs.filter((job) => !dropped.has(job)).flatMap(createJobEntries));
  }

  /** {@inheritDoc DurabilitySource.isTaskDurable} */
  isTaskDurable(job: KeptJob, task: KeptTask): boolean {
    return this.#journal.isDurable(getHomeShard(job.spec.jobId), task.entryNumber);
  }

  /** {@inheritDoc DurabilitySource.isGangDurable} */
  isGangDurable(job: KeptJob): boolean {
    return this.#journal.isDurable(getHomeShard(job.spec.jobId), job.gangEntryNumber);
  }

  #resubmit(
    nowMs: number,
    callId: number,
    job: KeptJob,
    spec: JobSpec,
    teamId: TeamId,
  ): readonly JobEffect[] {
    const isSame = job.teamId === teamId && JSON.stringify(job.spec) === JSON.stringify(spec);
    if (!isSame) {
      const result = fail<JobSummary>(createDiagnostic('duplicateJob', spec.jobId));
      return [{ kind: 'replyJob', callId, result }];
    }
    // The entry that accepted it may not be durable yet; this one is so only after it.
    const entry: JobEntry = { kind: 'phase', jobId: spec.jobId, phase: job.phase };
    const reply: JobEffect = { kind: 'replyJob', callId, result: ok(summariseJob(job)) };
    this.#append(nowMs, spec.jobId, entry, [reply], true);
    return [];
  }

  #append(
    nowMs: number,
    jobId: JobId,
    entry: JobEntry,
    released: readonly JobEffect[],
    isUrgent: boolean,
  ): number {
    const homeShard = getHomeShard(jobId);
    return this.#journal.append(nowMs, homeShard, encodeEntry(entry), released, isUrgent);
  }

  #appendTask(
    nowMs: number,
    job: KeptJob,
    task: KeptTask,
    released: readonly JobEffect[] = [],
    isUrgent = false,
  ): void {
    const entry = createTaskEntry(job.spec.jobId, task);
    task.entryNumber = this.#append(nowMs, job.spec.jobId, entry, released, isUrgent);
  }

  #applyCurrent(nowMs: number, job: KeptJob, task: KeptTask, news: TaskNews): void {
    const change = applyNews(nowMs, job, task, news);
    if (change === 'durable') this.#appendTask(nowMs, job, task);
    if (job.spec.policy.kind === 'gang') {
      const commit = advanceGang(nowMs, job, task, news);
      if (commit !== undefined) {
        job.gangEntryNumber = this.#append(nowMs, job.spec.jobId, commit, [], true);
      }
      if (job.gangStep === 'releasing') releaseGang(nowMs, job);
    }
    this.#updatePhase(nowMs, job);
  }

  #updatePhase(nowMs: number, job: KeptJob): void {
    const phase = getPhase(job);
    if (phase === job.phase) this.#updateActive(job);
    else if (isEnded(phase)) this.#setPhase(nowMs, job, phase, []);
    else job.phase = phase;
  }

  #setPhase(
    nowMs: number,
    job: KeptJob,
    phase: KeptJob['phase'],
    callIds: readonly number[],
  ): void {
    const { jobId } = job.spec;
    job.phase = phase;
    job.tasks.forEach((task) => {
      if (task.state.kind === 'pending') task.state = { kind: 'stopped' };
      task.nextAskMs = nowMs;
    });
    this.#updateActive(job);
    const result = ok(summariseJob(job));
    const replies = callIds.map((callId): JobEffect => ({ kind: 'replyJob', callId, result }));
    this.#append(nowMs, jobId, { kind: 'phase', jobId, phase }, replies, replies.length > 0);
  }

  #updateActive(job: KeptJob): void {
    const isActive =
      !isEnded(job.phase) || job.tasks.some((task) => getPlacement(task) !== undefined);
    if (!isActive) this.#activeIds.delete(job.spec.jobId);
  }

  #applyWrite(outcome: JournalOutcome<JobEffect>): readonly JobEffect[] {
    outcome.committed.forEach(({ shardId, sequence }) => this.#snapshots.addRow(shardId, sequence));
    outcome.lostShardIds.forEach((shardId) => this.#close(shardId));
    return outcome.releasedEffects;
  }

  #open(content: JournalContent): void {
    const { shardId } = content;
    const epoch = this.#loadingShards.get(shardId);
    if (epoch === undefined) return;
    const jobs = new Map<JobId, KeptJob>();
    const snapshot = content.snapshot === null ? [] : (JSON.parse(content.snapshot) as JobEntry[]);
    [...snapshot, ...(content.entries as unknown as JobEntry[])].forEach((entry) =>
      applyEntry(jobs, entry),
    );
    jobs.forEach((job, jobId) => {
      this.#submitCount = Math.max(this.#submitCount, job.submitNumber);
      this.#jobs.set(jobId, job);
      this.#activeIds.add(jobId);
      restoreGang(job);
      this.#updateActive(job);
    });
    this.#loadingShards.delete(shardId);
    this.#openShards.set(shardId, epoch);
    this.#journal.open(shardId, content.lastSequence);
    this.#snapshots.open(content);
  }

  #close(shardId: ShardId): void {
    this.#openShards.delete(shardId);
    this.#loadingShards.delete(shardId);
    this.#reader.stop(shardId);
    this.#journal.close(shardId);
    this.#snapshots.close(shardId);
    this.#jobs.forEach((_, jobId) => {
      if (getHomeShard(jobId) !== shardId) return;
      this.#jobs.delete(jobId);
      this.#activeIds.delete(jobId);
    });
  }
}
