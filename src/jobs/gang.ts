/**
 * Gang scheduling: all tasks of a gang are reserved before any is started. Shards are reserved in
 * the order of their ids, and a refusal releases all reservations of the gang, so that gangs cannot
 * deadlock by holding capacity while they wait.
 */

import type { ShardId } from '../types/ids';
import { getPlacement, isTerminalPhase } from './job';
import type { JobRecord, TaskRecord } from './job';
import type { JobEntry, TaskStatusUpdate } from './types';

/** Kind of a command to the owner of a placement. */
export type CommandKind = 'reserve' | 'start' | 'stop';

function getPlacedTasks(job: JobRecord): readonly TaskRecord[] {
  return job.tasks.filter((task) => getPlacement(task) !== undefined);
}

/** Returns the lowest shard with unreserved tasks of the gang, or undefined if all are reserved. */
function tryGetNextUnreservedShard(job: JobRecord): ShardId | undefined {
  const shardIds = getPlacedTasks(job)
    .filter((task) => !task.isReserved)
    .flatMap((task) => getPlacement(task)?.shardId ?? []);
  return [...shardIds].sort()[0];
}

/**
 * Determines the next command for a placed task.
 * @param job - the task's job
 * @param task - the task
 * @param isCommitDurable - true if the decision to start the gang is durable
 * @returns the kind of command, or undefined while the task waits for reservations on a lower shard
 */
export function tryGetCommandKind(
  job: JobRecord,
  task: TaskRecord,
  isCommitDurable: boolean,
): CommandKind | undefined {
  if (isTerminalPhase(job.phase) || job.gangState === 'releasing') return 'stop';
  if (job.spec.policy.kind !== 'gang') return 'start';
  if (job.gangState === 'committed' && isCommitDurable) return 'start';
  const nextShard = tryGetNextUnreservedShard(job);
  const shardId = getPlacement(task)?.shardId;
  const isDue = nextShard === undefined || (shardId !== undefined && shardId <= nextShard);
  return isDue ? 'reserve' : undefined;
}

/**
 * Starts a round of reservations.
 * @param job - a gang whose pending tasks have all just been placed, changed in place
 * @returns the journal entry that must precede those of the tasks
 */
export function beginGangReservation(job: JobRecord): JobEntry {
  job.gangState = 'reserving';
  job.tasks.forEach((task) => {
    task.isReserved = false;
  });
  return { kind: 'gang', jobId: job.spec.jobId, isCommitted: false };
}

/**
 * Releases the reservations of a gang that cannot run as a whole.
 * @param nowMs - current time on this process's clock
 * @param job - the gang, changed in place
 */
export function releaseGangReservations(nowMs: number, job: JobRecord): void {
  const placed = getPlacedTasks(job);
  placed.forEach((task) => {
    if (job.gangState !== 'releasing') task.nextCommandAtMs = nowMs;
  });
  job.gangState = placed.length > 0 ? 'releasing' : 'idle';
}

/**
 * Advances a gang after a status update for one of its tasks was applied.
 * @param nowMs - current time on this process's clock
 * @param job - the gang, changed in place
 * @param task - the task
 * @param update - the status update from the task's owner
 * @returns the journal entry that commits the gang, once all tasks are reserved
 */
export function advanceGang(
  nowMs: number,
  job: JobRecord,
  task: TaskRecord,
  update: TaskStatusUpdate,
): JobEntry | undefined {
  if (update.state === 'reserved') {
    task.isReserved = true;
    const nextShard = tryGetNextUnreservedShard(job);
    job.tasks.forEach((other) => {
      if (!other.isReserved && getPlacement(other)?.shardId === nextShard)
        other.nextCommandAtMs = nowMs;
    });
    if (job.gangState !== 'reserving' || nextShard !== undefined) return undefined;
    job.gangState = 'committed';
    return { kind: 'gang', jobId: job.spec.jobId, isCommitted: true };
  }
  if (task.state.kind === 'pending' && job.gangState !== 'idle')
    releaseGangReservations(nowMs, job);
  return undefined;
}

/**
 * Derives the state of a gang after its journal was replayed.
 * @param job - the job, changed in place
 */
export function restoreGangState(job: JobRecord): void {
  if (job.spec.policy.kind !== 'gang') return;
  if (job.tasks.some((task) => task.state.kind === 'pending')) releaseGangReservations(0, job);
  else if (job.gangState !== 'committed') job.gangState = 'reserving';
}
