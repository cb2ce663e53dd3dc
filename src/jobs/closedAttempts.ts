/** Placements that an owner has refused or seen to their end, so that a late ask starts none again. */

import type { ShardId, TaskId } from '../types/ids';
import type { TaskRun } from './types';

/** No ask is delayed by more than this between two processes. */
export const CLOSED_KEPT_MS = 600_000;
const PRUNE_INTERVAL_MS = 10_000;

interface ClosedTask {
  readonly attempt: number;
  readonly closedMs: number;
}

/** The newest closed attempt of each task, by shard; valid for one epoch of the shard. */
export class ClosedAttempts {
  #shards = new Map<ShardId, Map<TaskId, ClosedTask>>();

  #nextPruneMs = 0;

  /**
   * Closes an attempt and every earlier one of its task.
   * @param shardId - where it was placed
   * @param run - the attempt
   * @param nowMs - this process's clock
   */
  add(shardId: ShardId, run: TaskRun, nowMs: number): void {
    const tasks = this.#shards.get(shardId) ?? new Map<TaskId, ClosedTask>();
    this.#shards.set(shardId, tasks);
    const attempt = Math.max(run.attempt, tasks.get(run.taskId)?.attempt ?? 0);
    tasks.set(run.taskId, { attempt, closedMs: nowMs });
    this.#prune(nowMs);
  }

  /**
   * Asks whether an attempt was closed.
   * @param shardId - where it was placed
   * @param run - the attempt
   * @returns true when it must not start
   */
  has(shardId: ShardId, run: TaskRun): boolean {
    return (this.#shards.get(shardId)?.get(run.taskId)?.attempt ?? 0) >= run.attempt;
  }

  /**
   * Forgets a shard that is no longer owned under the same epoch.
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
