/** The jobs whose home is this scheduler: their tasks, their phase, and their rows in the platform. */

import { getHomeShard } from '../lease/shards';
import type { JsonValue, PlatformCall, PlatformResult, Row } from '../platform/types';
import type { TaskStart } from '../rpc/types';
import { createDiagnostic } from '../types/diagnostics';
import { assertNever } from '../types/debug';
import { toId } from '../types/ids';
import type { JobId, OperationId, ShardId, TaskId, TeamId } from '../types/ids';
import { fail, ok } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import type { Job, JobPhase, JobPolicy, JobSpec, JobSummary, Task, TaskNews } from './types';

/** Prefix of the rows of all jobs. */
export const JOB_PREFIX = 'job/';
const MAX_TASK_ATTEMPTS = 5;
const MAX_STARTS_PER_TICK = 64;
const START_TIMEOUT_MS = 5_000;

/** Which call a platform result belongs to. */
export type JobOrigin =
  | { readonly kind: 'jobFlush'; readonly jobIds: readonly JobId[] }
  | { readonly kind: 'jobLoad'; readonly shardId: ShardId };

/** What the job table wants done. */
export type JobEffect =
  | { readonly kind: 'callPlatform'; readonly origin: JobOrigin; readonly call: PlatformCall }
  | { readonly kind: 'replyJob'; readonly callId: number; readonly result: Result<JobSummary> }
  | { readonly kind: 'placeTask'; readonly start: TaskStart };

interface KeptJob {
  job: Job;
  rowVersion: number;
  isDirty: boolean;
  waitingCallIds: number[];
  startingSinceMs: Map<TaskId, number>;
}

function getJobKey(jobId: JobId): string {
  return `${JOB_PREFIX}${getHomeShard(jobId)}/${jobId}`;
}

function getTaskCount(policy: JobPolicy): number {
  switch (policy.kind) {
    case 'service':
      return policy.replicas;
    case 'batch':
    case 'gang':
      return policy.taskCount;
    case 'watch':
      return 1;
    default:
      return assertNever(policy);
  }
}

/** A standing task is started again whenever it ends. */
function isStanding(policy: JobPolicy): boolean {
  return policy.kind === 'service' || policy.kind === 'watch';
}

function createJob(spec: JobSpec, teamId: TeamId): Job {
  const tasks = Array.from({ length: getTaskCount(spec.policy) }, (_, index): Task => ({
    taskId: toId<TaskId>(`${spec.jobId}/${index}`),
    state: { kind: 'pending' },
    attempts: 0,
    checkpointFraction: 0,
  }));
  return { spec, teamId, phase: 'accepted', tasks, note: '' };
}

function countTasks(job: Job, kind: Task['state']['kind']): number {
  return job.tasks.filter((task) => task.state.kind === kind).length;
}

function getPhase(job: Job): JobPhase {
  if (job.phase === 'cancelled') return 'cancelled';
  if (countTasks(job, 'failed') > 0) return 'failed';
  if (countTasks(job, 'finished') === job.tasks.length) return 'finished';
  return countTasks(job, 'running') > 0 ? 'running' : job.phase;
}

function isJob(value: unknown): value is Job {
  return typeof value === 'object' && value !== null && 'spec' in value && 'tasks' in value;
}

/**
 * Summarises a job for its submitter.
 * @param job - the job
 * @returns one line of a listing
 */
export function summariseJob(job: Job): JobSummary {
  return {
    jobId: job.spec.jobId,
    teamId: job.teamId,
    queueId: job.spec.queueId,
    kind: job.spec.policy.kind,
    phase: job.phase,
    pendingCount: countTasks(job, 'pending') + countTasks(job, 'starting'),
    runningCount: countTasks(job, 'running'),
    finishedCount: countTasks(job, 'finished'),
    failedCount: countTasks(job, 'failed'),
    note: job.note,
  };
}

function updateJob(kept: KeptJob, job: Job): void {
  kept.job = job;
  kept.isDirty = true;
}

function resubmitJob(
  callId: number,
  kept: KeptJob,
  spec: JobSpec,
  teamId: TeamId,
): readonly JobEffect[] {
  const isSame =
    kept.job.teamId === teamId && JSON.stringify(kept.job.spec) === JSON.stringify(spec);
  if (!isSame) {
    const result = fail<JobSummary>(createDiagnostic('duplicateJob', spec.jobId));
    return [{ kind: 'replyJob', callId, result }];
  }
  if (kept.rowVersion === 0) {
    kept.waitingCallIds.push(callId);
    return [];
  }
  return [{ kind: 'replyJob', callId, result: ok(summariseJob(kept.job)) }];
}

/**
 * Reads back the jobs of a home shard that was acquired.
 * @param shardId - the home shard
 * @returns what to do
 */
export function createShardLoad(shardId: ShardId): readonly JobEffect[] {
  return [
    {
      kind: 'callPlatform',
      origin: { kind: 'jobLoad', shardId },
      call: { kind: 'range', prefix: `${JOB_PREFIX}${shardId}/`, after: '', limit: 10_000 },
    },
  ];
}

/** The home's side of every job. */
export class JobTable {
  #jobs = new Map<JobId, KeptJob>();

  #isFlushing = false;

  #operationCount = 0;

  /** Jobs kept. */
  get jobCount(): number {
    return this.#jobs.size;
  }

  /**
   * Takes in a submitted job; it is answered once its row is durable.
   * @param callId - the call to answer
   * @param spec - the job
   * @param teamId - whose key came with it
   * @returns what to do
   */
  submit(callId: number, spec: JobSpec, teamId: TeamId): readonly JobEffect[] {
    const known = this.#jobs.get(spec.jobId);
    if (known !== undefined) return resubmitJob(callId, known, spec, teamId);
    this.#jobs.set(spec.jobId, {
      job: createJob(spec, teamId),
      rowVersion: 0,
      isDirty: true,
      waitingCallIds: [callId],
      startingSinceMs: new Map(),
    });
    return this.#flush();
  }

  /**
   * Gets one job of a team.
   * @param jobId - which
   * @param teamId - whose key came with the query
   * @returns its summary; another team's job counts as unknown
   */
  get(jobId: JobId, teamId: TeamId): Result<JobSummary> {
    const kept = this.#jobs.get(jobId);
    if (kept === undefined || kept.job.teamId !== teamId) {
      return fail(createDiagnostic('unknownJob', jobId));
    }
    return ok(summariseJob(kept.job));
  }

  /**
   * Lists a team's jobs.
   * @param teamId - the team
   * @returns a summary of each
   */
  list(teamId: TeamId): readonly JobSummary[] {
    return [...this.#jobs.values()]
      .filter((kept) => kept.job.teamId === teamId)
      .map((kept) => summariseJob(kept.job));
  }

  /**
   * Cancels a job; its pending tasks no longer start.
   * @param jobId - which
   * @param teamId - whose key came
   * @returns the job's summary
   */
  cancel(jobId: JobId, teamId: TeamId): Result<JobSummary> {
    const found = this.get(jobId, teamId);
    const kept = this.#jobs.get(jobId);
    if (found.kind === 'error' || kept === undefined) return found;
    updateJob(kept, { ...kept.job, phase: 'cancelled' });
    return ok(summariseJob(kept.job));
  }

  /**
   * Forgets the jobs of a home shard that was lost.
   * @param isOfShard - tells whether a job's home is that shard
   */
  forget(isOfShard: (jobId: JobId) => boolean): void {
    this.#jobs.forEach((_, jobId) => {
      if (isOfShard(jobId)) this.#jobs.delete(jobId);
    });
  }

  /**
   * Starts pending tasks and writes changed rows.
   * @param nowMs - this process's clock
   * @returns what to do
   */
  tick(nowMs: number): readonly JobEffect[] {
    return [...this.#flush(), ...this.#startPending(nowMs)];
  }

  /**
   * Takes in what an owner says of a task.
   * @param news - what became of it
   */
  applyNews(news: TaskNews): void {
    const kept = this.#jobs.get(news.jobId);
    if (kept === undefined) return;
    kept.startingSinceMs.delete(news.taskId);
    const tasks = kept.job.tasks.map((task) =>
      task.taskId === news.taskId ? JobTable.#getNextTask(kept.job, task, news) : task,
    );
    const job = { ...kept.job, tasks };
    updateJob(kept, { ...job, phase: getPhase(job) });
  }

  /**
   * Takes in what came of a platform call.
   * @param origin - which call
   * @param result - what came
   * @returns what to do
   */
  applyResult(origin: JobOrigin, result: PlatformResult): readonly JobEffect[] {
    switch (origin.kind) {
      case 'jobLoad':
        if (result.kind === 'rows') this.#load(result.rows);
        return result.kind === 'rows' ? [] : createShardLoad(origin.shardId);
      case 'jobFlush':
        this.#isFlushing = false;
        return this.#applyFlush(origin.jobIds, result);
      default:
        return assertNever(origin);
    }
  }

  static #getNextTask(job: Job, task: Task, news: TaskNews): Task {
    const checkpointFraction = Math.max(task.checkpointFraction, news.checkpointFraction);
    const { targetId } = news;
    switch (news.state) {
      case 'running':
        return { ...task, state: { kind: 'running', targetId } };
      case 'finished':
        if (isStanding(job.spec.policy)) return { ...task, state: { kind: 'pending' } };
        return { ...task, state: { kind: 'finished' }, checkpointFraction: 1 };
      case 'failed': {
        const attempts = task.attempts + 1;
        if (attempts >= MAX_TASK_ATTEMPTS && !isStanding(job.spec.policy)) {
          return { ...task, attempts, state: { kind: 'failed', attempts } };
        }
        return { ...task, attempts, state: { kind: 'pending' } };
      }
      case 'stopped':
      case 'refused':
        return { ...task, state: { kind: 'pending' }, checkpointFraction };
      default:
        return assertNever(news.state);
    }
  }

  #load(rows: readonly Row[]): void {
    rows.forEach(({ value, version }) => {
      if (!isJob(value) || this.#jobs.has(value.spec.jobId)) return;
      this.#jobs.set(value.spec.jobId, {
        job: value,
        rowVersion: version,
        isDirty: false,
        waitingCallIds: [],
        startingSinceMs: new Map(),
      });
    });
  }

  #flush(): readonly JobEffect[] {
    const dirty = [...this.#jobs.values()].filter((kept) => kept.isDirty);
    if (this.#isFlushing || dirty.length === 0) return [];
    this.#isFlushing = true;
    this.#operationCount += 1;
    dirty.forEach((kept) => {
      kept.isDirty = false;
    });
    const jobIds = dirty.map((kept) => kept.job.spec.jobId);
    return [
      {
        kind: 'callPlatform',
        origin: { kind: 'jobFlush', jobIds },
        call: {
          kind: 'transact',
          transaction: {
            operationId: toId<OperationId>(`jobs/${this.#operationCount}`),
            checks: dirty.map(({ job, rowVersion }) => ({
              key: getJobKey(job.spec.jobId),
              version: rowVersion,
            })),
            writes: dirty.map(({ job }) => ({
              key: getJobKey(job.spec.jobId),
              value: JSON.parse(JSON.stringify(job)) as JsonValue,
            })),
          },
        },
      },
    ];
  }

  #applyFlush(jobIds: readonly JobId[], result: PlatformResult): readonly JobEffect[] {
    const kept = jobIds
      .map((jobId) => this.#jobs.get(jobId))
      .filter((found): found is KeptJob => found !== undefined);
    if (result.kind === 'committed') {
      return kept.flatMap((job, index) => {
        job.rowVersion = result.rows[index]?.version ?? job.rowVersion;
        const callIds = job.waitingCallIds;
        job.waitingCallIds = [];
        return callIds.map((callId): JobEffect => ({
          kind: 'replyJob',
          callId,
          result: ok(summariseJob(job.job)),
        }));
      });
    }
    kept.forEach((job, index) => {
      job.isDirty = true;
      if (result.kind === 'conflict') job.rowVersion = result.rows[index]?.version ?? 0;
    });
    return [];
  }

  #startPending(nowMs: number): readonly JobEffect[] {
    const effects: JobEffect[] = [];
    this.#jobs.forEach((kept) => {
      if (kept.rowVersion === 0 || ['finished', 'failed', 'cancelled'].includes(kept.job.phase)) {
        return;
      }
      kept.job.tasks.forEach((task) => {
        const sinceMs = kept.startingSinceMs.get(task.taskId) ?? Number.NEGATIVE_INFINITY;
        const isDue = task.state.kind === 'pending' && nowMs - sinceMs > START_TIMEOUT_MS;
        if (!isDue || effects.length >= MAX_STARTS_PER_TICK) return;
        kept.startingSinceMs.set(task.taskId, nowMs);
        effects.push({ kind: 'placeTask', start: JobTable.#createStart(kept.job, task) });
      });
    });
    return effects;
  }

  static #createStart(job: Job, task: Task): TaskStart {
    const { spec } = job;
    return {
      kind: 'startTask',
      taskId: task.taskId,
      jobId: spec.jobId,
      teamId: job.teamId,
      queueId: spec.queueId,
      serviceName: spec.policy.kind === 'service' ? spec.policy.serviceName : '',
      demand: spec.demand,
      runMs: isStanding(spec.policy) ? 0 : spec.expectedRunMs,
      resumeFraction: task.checkpointFraction,
    };
  }
}
