/** Job records kept by a job's home, and the derivation of a job's phase from its tasks. */

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

/** A task with its durable state and the volatile state that its home keeps. */
export interface TaskRecord {
  readonly taskId: TaskId;
  readonly index: number;
  state: TaskState;
  attempt: number;
  failureCount: number;
  checkpointFraction: number;
  /** Number of the last journal entry; commands and acknowledgements wait until it is durable. */
  lastEntryNumber: number;
  /** Earliest time of the next command to the owner. */
  nextCommandAtMs: number;
  /** Epoch of the owner that last reported the task as running. */
  confirmedEpoch: Epoch | undefined;
  /** For a task of a gang: its owner has reserved capacity for it. */
  isReserved: boolean;
  /** Shard that last refused the task. */
  refusedShardId: ShardId | undefined;
}

/** A job with its tasks. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly teamId: TeamId;
  readonly submitNumber: number;
  readonly tasks: TaskRecord[];
  phase: JobPhase;
  note: string;
  /** No task of the job is placed before this time. */
  nextPlacementAtMs: number;
  consecutiveRefusalCount: number;
  /** For a gang: whether its tasks are being reserved, started, or released. */
  gangState: 'idle' | 'reserving' | 'committed' | 'releasing';
  /** Number of the journal entry that commits the gang to start. */
  gangCommitEntryNumber: number;
}

/**
 * Gets the number of tasks of a job.
 * @param policy - the job's policy
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
 * Checks whether a job's tasks are restarted whenever they end.
 * @param policy - the job's policy
 * @returns true for services and watches
 */
export function isLongRunning(policy: JobPolicy): boolean {
  return policy.kind === 'service' || policy.kind === 'watch';
}

/**
 * Checks whether a job has ended.
 * @param phase - the job's phase
 * @returns true if no task of the job will be started any more
 */
export function isTerminalPhase(phase: JobPhase): boolean {
  return phase === 'finished' || phase === 'failed' || phase === 'cancelled';
}

/**
 * Gets the current placement of a task.
 * @param task - the task
 * @returns the placement that may be running, or undefined if the task certainly does not run
 */
export function getPlacement(task: Pick<Task, 'state'>): TaskPlacement | undefined {
  const { state } = task;
  return state.kind === 'assigned' || state.kind === 'running' ? state.placement : undefined;
}

/**
 * Creates the record of a submitted job.
 * @param spec - the job
 * @param teamId - the team that submitted it
 * @param submitNumber - sequence number of the submission at this home
 * @returns the job with all tasks pending
 */
export function createJob(spec: JobSpec, teamId: TeamId, submitNumber: number): JobRecord {
  const tasks = Array.from({ length: getTaskCount(spec.policy) }, (_, index): TaskRecord => ({
    taskId: toId<TaskId>(`${spec.jobId}/${index}`),
    index,
    state: { kind: 'pending' },
    attempt: 0,
    failureCount: 0,
    checkpointFraction: 0,
    lastEntryNumber: 0,
    nextCommandAtMs: 0,
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
    nextPlacementAtMs: 0,
    consecutiveRefusalCount: 0,
    gangState: 'idle',
    gangCommitEntryNumber: 0,
  };
}

/**
 * Derives a job's phase from the states of its tasks.
 * @param job - the job
 * @returns the phase; a terminal phase does not change
 */
export function derivePhase(job: JobRecord): JobPhase {
  if (isTerminalPhase(job.phase)) return job.phase;
  if (job.tasks.some((task) => task.state.kind === 'failed')) return 'failed';
  if (job.tasks.every((task) => task.state.kind === 'finished')) return 'finished';
  if (job.tasks.some((task) => task.state.kind === 'running')) return 'running';
  return job.phase === 'unplaceable' ? 'unplaceable' : 'accepted';
}

function countTasks(job: JobRecord, ...kinds: readonly TaskState['kind'][]): number {
  return job.tasks.filter((task) => kinds.includes(task.state.kind)).length;
}

/**
 * Creates the summary of a job for clients.
 * @param job - the job
 * @returns the summary
 */
export function summariseJob(job: JobRecord): JobSummary {
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
 * Creates the start parameters of a placed task for the owner of its shard.
 * @param job - the job
 * @param task - the task
 * @param placement - the placement to start
 * @returns the start parameters
 */
export function createTaskStart(
  job: JobRecord,
  task: TaskRecord,
  placement: TaskPlacement,
): TaskStart {
  const { spec } = job;
  return {
    taskId: task.taskId,
    jobId: spec.jobId,
    placement,
    teamId: job.teamId,
    queueId: spec.queueId,
    serviceName: spec.policy.kind === 'service' ? spec.policy.serviceName : '',
    demand: spec.demand,
    runMs: isLongRunning(spec.policy) ? 0 : spec.expectedRunMs,
    resumeFraction: task.checkpointFraction,
  };
}

/**
 * Creates the journal entry that records a task's state.
 * @param jobId - the task's job
 * @param task - the task
 * @returns the entry
 */
export function createTaskEntry(jobId: JobId, task: TaskRecord): JobEntry {
  const { index, state, attempt, failureCount, checkpointFraction } = task;
  return { kind: 'task', jobId, index, state, attempt, failureCount, checkpointFraction };
}

/**
 * Encodes an entry as plain JSON data for the journal.
 * @param entry - the entry
 * @returns the JSON value
 */
export function encodeEntry(entry: JobEntry): JsonValue {
  return JSON.parse(JSON.stringify(entry)) as JsonValue;
}

/**
 * Creates the entries from which a job can be restored.
 * @param job - the job
 * @returns the submission, the phase, the gang state and each task that has changed since submission
 */
export function createJobEntries(job: JobRecord): readonly JobEntry[] {
  const { spec, teamId, submitNumber, phase, gangState } = job;
  const tasks = job.tasks.filter((task) => task.attempt > 0 || task.state.kind !== 'pending');
  return [
    { kind: 'submitted', spec, teamId, submitNumber },
    { kind: 'phase', jobId: spec.jobId, phase },
    { kind: 'gang', jobId: spec.jobId, isCommitted: gangState === 'committed' },
    ...tasks.map((task) => createTaskEntry(spec.jobId, task)),
  ];
}

/**
 * Applies one journal entry during replay.
 * @param jobs - the jobs restored so far, changed in place
 * @param entry - the next entry
 */
export function applyEntry(jobs: Map<JobId, JobRecord>, entry: JobEntry): void {
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
      if (job !== undefined) job.gangState = entry.isCommitted ? 'committed' : 'idle';
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
