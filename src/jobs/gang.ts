/**
 * Gangs: every task is reserved before any is started. Shards are asked in the order of their ids,
 * and a refusal gives back every reservation, so that no gang waits while it holds something.
 */

import type { ShardId } from '../types/ids';
import { getPlacement, isEnded } from './job';
import type { KeptJob, KeptTask } from './job';
import type { JobEntry, TaskNews } from './types';

/** What an owner is asked about a placement. */
export type AskKind = 'reserve' | 'start' | 'stop';

function getPlaced(job: KeptJob): readonly KeptTask[] {
  return job.tasks.filter((task) => getPlacement(task) !== undefined);
}

/** The lowest shard of the gang that has not reserved all its tasks; undefined when all have. */
function tryGetNextShard(job: KeptJob): ShardId | undefined {
  const shardIds = getPlaced(job)
    .filter((task) => !task.isReserved)
    .flatMap((task) => getPlacement(task)?.shardId ?? []);
  return [...shardIds].sort()[0];
}

/**
 * Says what to ask about a placed task.
 * @param job - the task's job
 * @param task - the task
 * @param isCommitDurable - true when the decision to start the gang is durable
 * @returns the kind of ask, or undefined when an earlier shard comes first
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
 * Begins a round of reservations.
 * @param job - a gang whose pending tasks were all placed just now
 * @returns the entry that must precede those of its tasks
 */
export function beginGang(job: KeptJob): JobEntry {
  job.gangStep = 'reserving';
  job.tasks.forEach((task) => {
    task.isReserved = false;
  });
  return { kind: 'gang', jobId: job.spec.jobId, isCommitted: false };
}

/**
 * Gives back what a gang holds, as not all of its tasks can run.
 * @param nowMs - this process's clock
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
 * Advances a gang after news of one of its tasks was applied.
 * @param nowMs - this process's clock
 * @param job - the gang, changed in place
 * @param task - the task
 * @param news - what its owner said
 * @returns the entry that commits the gang, once every task is reserved
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
 * Works out where a gang stands after its journal was read back.
 * @param job - the job, changed in place
 */
export function restoreGang(job: KeptJob): void {
  if (job.spec.policy.kind !== 'gang') return;
  if (job.tasks.some((task) => task.state.kind === 'pending')) releaseGang(0, job);
  else if (job.gangStep !== 'committed') job.gangStep = 'reserving';
}
