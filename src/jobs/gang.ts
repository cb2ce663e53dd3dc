/**
 * Gang scheduling: all tasks of a gang are reserved before any is started. Shards are reserved in
 * the order of their ids, and a refusal releases all reservations of the gang, so that gangs cannot
 * deadlock by holding capacity while they wait.
 */

import type { ShardId } from '../types/ids';
import { getPlacement, isEnded } from './job';
import type { KeptJob, KeptTask } from './job';
import type { JobEntry, TaskNews } from './types';

/** Kind of a command to the owner of a placement. */
export type AskKind = 'reserve' | 'start' | 'stop';

function getPlaced(job: KeptJob): readonly KeptTask[] {
  return job.tasks.filter((task) => getPlacement(task) !== undefined);
}

/** Returns the lowest shard with unreserved tasks of the gang, or undefined if all are reserved. */
function tryGetNextShard(job: KeptJob): ShardId | undefined {
  const shardIds = getPlaced(job)
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
export function tryGetAskKind(
  job: KeptJob,
  task: KeptTask,
  isCommitDurable: boolean,
): AskKind | undefined {
  if (isEnded(job.phase) || job.gangStep === 'releasing') return 'stop';
  if (job.spec.policy.kind !== 'gang') return 'start';
  if (job.gangStep === 'committed' && isCommitDurable) return 'start';
  const nextShard = tryGetNextShard(job);
  const shardId = getPlacement(task)?.shardId;
  const isDue = nextShard === undefined || (shardId !== undefined && shardId <= nextShard);
  return isDue ? 'reserve' : undefined;
}

/**
 * Starts a round of reservations.
 * @param job - a gang whose pending tasks have all just been placed, changed in place
 * @returns the journal entry that must precede those of the tasks
 */
export function beginGang(job: KeptJob): JobEntry {
  job.gangStep = 'reserving';
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
export function releaseGang(nowMs: number, job: KeptJob): void {
  const placed = getPlaced(job);
  placed.forEach((task) => {
    if (job.gangStep !== 'releasing') task.nextAskMs = nowMs;
  });
  job.gangStep = placed.length > 0 ? 'releasing' : 'idle';
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
  job: KeptJob,
  task: KeptTask,
  news: TaskNews,
): JobEntry | undefined {
  if (news.state === 'reserved') {
    task.isReserved = true;
    const nextShard = tryGetNextShard(job);
    job.tasks.forEach((other) => {
      if (!other.isReserved && getPlacement(other)?.shardId === nextShard) other.nextAskMs = nowMs;
    });
    if (job.gangStep !== 'reserving' || nextShard !== undefined) return undefined;
    job.gangStep = 'committed';
    return { kind: 'gang', jobId: job.spec.jobId, isCommitted: true };
  }
  if (task.state.kind === 'pending' && job.gangStep !== 'idle') releaseGang(nowMs, job);
  return undefined;
}

/**
 * Derives the state of a gang after its journal was replayed.
 * @param job - the job, changed in place
 */
export function restoreGang(job: KeptJob): void {
  if (job.spec.policy.kind !== 'gang') return;
  if (job.tasks.some((task) => task.state.kind === 'pending')) releaseGang(0, job);
  else if (job.gangStep !== 'committed') job.gangStep = 'reserving';
}
