/** Remembers placements that were refused or have ended, so that a delayed command does not start them again. */

import type { ShardId, TaskId } from '../types/ids';
import type { TaskRun } from './types';

/** Upper bound on the delivery delay of a command between two processes. */
export const CLOSED_ATTEMPT_RETENTION_MS = 600_000;
const PRUNE_INTERVAL_MS = 10_000;

interface ClosedAttempt {
  readonly attempt: number;
  readonly closedAtMs: number;
}

/** The latest closed attempt of each task, by shard. The entries of a shard are valid for one epoch. */
export class ClosedAttempts {
  #attemptsByShard = new Map<ShardId, Map<TaskId, ClosedAttempt>>();

  #nextPruneAtMs = 0;

  /**
   * Closes an attempt and all earlier attempts of the same task.
   * @param shardId - the shard that the attempt was placed on
   * @param run - the attempt
   * @param nowMs - current time on this process's clock
   */
  add(shardId: ShardId, run: TaskRun, nowMs: number): void {
    const attempts = this.#attemptsByShard.get(shardId) ?? new Map<TaskId, ClosedAttempt>();
    this.#attemptsByShard.set(shardId, attempts);
    const attempt = Math.max(run.attempt, attempts.get(run.taskId)?.attempt ?? 0);
    attempts.set(run.taskId, { attempt, closedAtMs: nowMs });
    this.#prune(nowMs);
  }

  /**
   * Checks whether an attempt is closed.
   * @param shardId - the shard that the attempt was placed on
   * @param run - the attempt
   * @returns true if the attempt must not be started
   */
  has(shardId: ShardId, run: TaskRun): boolean {
    return (this.#attemptsByShard.get(shardId)?.get(run.taskId)?.attempt ?? 0) >= run.attempt;
  }

  /**
   * Removes the entries of a shard that is no longer owned in the same epoch.
   * @param shardId - the shard
   */
  removeShard(shardId: ShardId): void {
    this.#attemptsByShard.delete(shardId);
  }

  #prune(nowMs: number): void {
    if (nowMs < this.#nextPruneAtMs) return;
    this.#nextPruneAtMs = nowMs + PRUNE_INTERVAL_MS;
    this.#attemptsByShard.forEach((attempts) => {
      attempts.forEach((closed, taskId) => {
        if (nowMs - closed.closedAtMs > CLOSED_ATTEMPT_RETENTION_MS) attempts.delete(taskId);
      });
    });
  }
}
