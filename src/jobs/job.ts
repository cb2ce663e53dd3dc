/** A job as its home keeps it, and how its state follows from its tasks. */

import type { JsonValue } from '../platform/types';
import { assertNever } from '../types/debug';
import { toId } from '../types/ids';
import type { Epoch, JobId, ShardId, TaskId, TeamId } from '../types/ids';
import type {
  JobEntry,
  JobPhase,
  JobPolicy,
  JobSpec,
  JobSummary,
  Task,
  TaskPlacement,
  TaskStart,
  TaskState,
} from './types';

/** A task with what its home remembers of it besides what is durable. */
export interface KeptTask {
  readonly taskId: TaskId;
  readonly index: number;
  state: TaskState;
  attempt: number;
  failureCount: number;
  checkpointFraction: number;
  /** Number of its last journal entry; asks and acknowledgements wait until it is durable. */
  entryNumber: number;
  /** When the owner is to be asked next. */
  nextAskMs: number;
  /** Epoch under which an owner said last that it runs. */
  confirmedEpoch: Epoch | undefined;
  /** Its owner holds room for it, as a task of a gang. */
  isReserved: boolean;
  /** Shard that refused it last. */
  refusedShardId: ShardId | undefined;
}

/** A job with its tasks. */
export interface KeptJob {
  readonly spec: JobSpec;
  readonly teamId: TeamId;
  readonly submitNumber: number;
  readonly tasks: KeptTask[];
  phase: JobPhase;
  note: string;
  /** Nothing of it is placed before this time. */
  nextPlaceMs: number;
  refusalCount: number;
  /** Of a gang: whether room is being reserved, held and started, or given back. */
  gangStep: 'idle' | 'reserving' | 'committed' | 'releasing';
  /** Number of the journal entry that commits the gang. */
  gangEntryNumber: number;
}

/**
 * Gets how many tasks a job has.
 * @param policy - the job's kind
 * @returns the count, at least 1
 */
export function getTaskCount(policy: JobPolicy): number {
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

/**
 * Asks whether a job's tasks are started again whenever they end.
 * @param policy - the job's kind
 * @returns true for services and watches
 */
export function isStanding(policy: JobPolicy): boolean {
  return policy.kind === 'service' || policy.kind === 'watch';
}

/**
 * Asks whether a job has come to its end.
 * @param phase - the job's phase
 * @returns true when no task of it starts any more
 */
export function isEnded(phase: JobPhase): boolean {
  return phase === 'finished' || phase === 'failed' || phase === 'cancelled';
}

/**
 * Gets the placement that may run.
 * @param task - the task
 * @returns the placement, or undefined when nothing of the task can be running
 */
export function getPlacement(task: Pick<Task, 'state'>): TaskPlacement | undefined {
  const { state } = task;
  return state.kind === 'assigned' || state.kind === 'running' ? state.placement : undefined;
}

/**
 * Builds a job from its submission.
 * @param spec - the job
 * @param teamId - whose key came with it
 * @param submitNumber - orders jobs of one home
 * @returns the job with every task pending
 */
export function createJob(spec: JobSpec, teamId: TeamId, submitNumber: number): KeptJob {
  const tasks = Array.from({ length: getTaskCount(spec.policy) }, (_, index): KeptTask => ({
    taskId: toId<TaskId>(`${spec.jobId}/${index}`),
    index,
    state: { kind: 'pending' },
    attempt: 0,
    failureCount: 0,
    checkpointFraction: 0,
    entryNumber: 0,
    nextAskMs: 0,
    confirmedEpoch: undefined,
    isReserved: false,
    refusedShardId: undefined,
  }));
  return {
    spec,
    teamId,
    submitNumber,
    tasks,
    phase: 'accepted',
    note: '',
    nextPlaceMs: 0,
    refusalCount: 0,
    gangStep: 'idle',
    gangEntryNumber: 0,
  };
}

/**
 * Works out a job's phase from its tasks.
 * @param job - the job
 * @returns the phase; one that has ended stays
 */
export function getPhase(job: KeptJob): JobPhase {
  if (isEnded(job.phase)) return job.phase;
  if (job.tasks.some((task) => task.state.kind === 'failed')) return 'failed';
  if (job.tasks.every((task) => task.state.kind === 'finished')) return 'finished';
  if (job.tasks.some((task) => task.state.kind === 'running')) return 'running';
  return job.phase === 'unplaceable' ? 'unplaceable' : 'accepted';
}

function countTasks(job: KeptJob, ...kinds: readonly TaskState['kind'][]): number {
  return job.tasks.filter((task) => kinds.includes(task.state.kind)).length;
}

/**
 * Summarises a job for its submitter.
 * @param job - the job
 * @returns one line of a listing
 */
export function summariseJob(job: KeptJob): JobSummary {
  return {
    jobId: job.spec.jobId,
    teamId: job.teamId,
    queueId: job.spec.queueId,
    kind: job.spec.policy.kind,
    phase: job.phase,
    pendingCount: countTasks(job, 'pending', 'assigned'),
    runningCount: countTasks(job, 'running'),
    finishedCount: countTasks(job, 'finished'),
    failedCount: countTasks(job, 'failed'),
    note: job.note,
  };
}

/**
 * Describes a placed task to the owner of its shard.
 * @param job - the job
 * @param task - the task
 * @param placement - the right to start it
 * @returns what the owner needs
 */
export function createStart(job: KeptJob, task: KeptTask, placement: TaskPlacement): TaskStart {
  const { spec } = job;
  return {
    taskId: task.taskId,
    jobId: spec.jobId,
    placement,
    teamId: job.teamId,
    queueId: spec.queueId,
    serviceName: spec.policy.kind === 'service' ? spec.policy.serviceName : '',
    demand: spec.demand,
    runMs: isStanding(spec.policy) ? 0 : spec.expectedRunMs,
    resumeFraction: task.checkpointFraction,
  };
}

/**
 * Builds the journal entry that keeps a task's state.
 * @param jobId - the task's job
 * @param task - the task
 * @returns the entry
 */
export function createTaskEntry(jobId: JobId, task: KeptTask): JobEntry {
  const { index, state, attempt, failureCount, checkpointFraction } = task;
  return { kind: 'task', jobId, index, state, attempt, failureCount, checkpointFraction };
}

/**
 * Turns an entry into plain data for the journal.
 * @param entry - the entry
 * @returns its JSON value
 */
export function encodeEntry(entry: JobEntry): JsonValue {
  return JSON.parse(JSON.stringify(entry)) as JsonValue;
}

/**
 * Builds the entries that rebuild a job.
 * @param job - the job
 * @returns its submission, its phase and every task that is not as submitted
 */
export function createJobEntries(job: KeptJob): readonly JobEntry[] {
  const { spec, teamId, submitNumber, phase, gangStep } = job;
  const tasks = job.tasks.filter((task) => task.attempt > 0 || task.state.kind !== 'pending');
  return [
    { kind: 'submitted', spec, teamId, submitNumber },
    { kind: 'phase', jobId: spec.jobId, phase },
    { kind: 'gang', jobId: spec.jobId, isCommitted: gangStep === 'committed' },
    ...tasks.map((task) => createTaskEntry(spec.jobId, task)),
  ];
}

/**
 * Replays one entry.
 * @param jobs - the jobs so far, changed in place
 * @param entry - the next entry
 */
export function applyEntry(jobs: Map<JobId, KeptJob>, entry: JobEntry): void {
  switch (entry.kind) {
    case 'submitted':
      if (jobs.has(entry.spec.jobId)) return;
      jobs.set(entry.spec.jobId, createJob(entry.spec, entry.teamId, entry.submitNumber));
      return;
    case 'phase': {
      const job = jobs.get(entry.jobId);
      if (job !== undefined) job.phase = entry.phase;
      return;
    }
    case 'gang': {
      const job = jobs.get(entry.jobId);
      if (job !== undefined) job.gangStep = entry.isCommitted ? 'committed' : 'idle';
      return;
    }
    case 'task': {
      const task = jobs.get(entry.jobId)?.tasks[entry.index];
      if (task === undefined) return;
      task.state = entry.state;
      task.attempt = entry.attempt;
      task.failureCount = entry.failureCount;
      task.checkpointFraction = entry.checkpointFraction;
      return;
    }
    default:
      assertNever(entry);
  }
}
