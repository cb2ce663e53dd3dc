/** Remembers placements that were refused or have ended, so that a delayed command does not start them again. */

import type { ShardId, TaskId } from '../types/ids';
import type { TaskRun } from './types';

/** Upper bound on the delivery delay of a command between two processes. */
export const CLOSED_KEPT_MS = 600_000;
const PRUNE_INTERVAL_MS = 10_000;

interface ClosedTask {
  readonly attempt: number;
  readonly closedMs: number;
}

/** The latest closed attempt of each task, by shard. The entries of a shard are valid for one epoch. */
export class ClosedAttempts {
  #shards = new Map<ShardId, Map<TaskId, ClosedTask>>();

  #nextPruneMs = 0;

  /**
   * Closes an attempt and all earlier attempts of the same task.
   * @param shardId - the shard that the attempt was placed on
   * @param run - the attempt
   * @param nowMs - current time on this process's clock
   */
  add(shardId: ShardId, run: TaskRun, nowMs: number): void {
    const tasks = this.#shards.get(shardId) ?? new Map<TaskId, ClosedTask>();
    this.#shards.set(shardId, tasks);
    const attempt = Math.max(run.attempt, tasks.get(run.taskId)?.attempt ?? 0);
    tasks.set(run.taskId, { attempt, closedMs: nowMs });
    this.#prune(nowMs);
  }

  /**
   * Checks whether an attempt is closed.
   * @param shardId - the shard that the attempt was placed on
   * @param run - the attempt
   * @returns true if the attempt must not be started
   */
  has(shardId: ShardId, run: TaskRun): boolean {
    return (this.#shards.get(shardId)?.get(run.taskId)?.attempt ?? 0) >= run.attempt;
  }

  /**
   * Removes the entries of a shard that is no longer owned in the same epoch.
   * @param shardId - the shard
   */
  forget(shardId: ShardId): void {
    this.#shards.delete(shardId);
  }

  #prune(nowMs: number): void {
    if (nowMs < this.#nextPruneMs) return;
    this.#nextPruneMs = nowMs + PRUNE_INTERVAL_MS;
    this.#shards.forEach((tasks) => {
      tasks.forEach((task, taskId) => {
        if (nowMs - task.closedMs > CLOSED_KEPT_MS) tasks.delete(taskId);
      });
    });
  }
}
