/** Total capacity of the listed targets when idle, to detect jobs that can never be placed. */

import type { TargetPool } from '../placement/targetPool';
import type { Target } from '../placement/types';
import type { DataCentreId, ShardId } from '../types/ids';
import { isFitting, RESOURCE_KINDS } from '../types/resources';
import type { ResourceVector } from '../types/resources';

/** Counts the tasks of a demand that fit on an idle target. */
function countFittingTasks(demand: ResourceVector, capacity: ResourceVector): number {
  return RESOURCE_KINDS.reduce((maxCount, kind) => {
    if (demand[kind] === 0) return maxCount;
    return Math.min(maxCount, Math.floor(capacity[kind] / demand[kind]));
  }, Number.MAX_SAFE_INTEGER);
}

/** Capacities of all targets, including those of shards owned by other schedulers. */
export class ClusterCapacity {
  #pool: TargetPool;

  #targetsByShard = new Map<ShardId, Target[]>();

  /** Number of tasks that fit in the idle cluster, by the JSON text of their demand. */
  #taskCountByDemand = new Map<string, number>();

  /** @param pool - targets from the platform's VM list */
  constructor(pool: TargetPool) {
    this.#pool = pool;
  }

  /** Rebuilds the index after a new VM list; cached counts are dropped. */
  update(): void {
    this.#targetsByShard.clear();
    this.#taskCountByDemand.clear();
    this.#pool.targets.forEach((target) => {
      const existing = this.#targetsByShard.get(target.shardId);
      if (existing === undefined) this.#targetsByShard.set(target.shardId, [target]);
      else existing.push(target);
    });
  }

  /**
   * Gets the data centre of a shard.
   * @param shardId - the shard
   * @returns its data centre, or undefined if no target of the shard is listed
   */
  getDataCentre(shardId: ShardId): DataCentreId | undefined {
    return this.#targetsByShard.get(shardId)?.[0]?.dataCentreId;
  }

  /**
   * Determines whether a task fits on at least one idle target of a shard.
   * @param shardId - the shard
   * @param demand - demand of the task
   * @returns true if a target of the shard has enough capacity
   */
  isLargeEnough(shardId: ShardId, demand: ResourceVector): boolean {
    const targets = this.#targetsByShard.get(shardId) ?? [];
    return targets.some((target) => isFitting(demand, target.capacity));
  }

  /**
   * Determines whether a number of tasks fits in the idle cluster at the same time.
   * @param demand - demand of one task
   * @param taskCount - number of concurrent tasks
   * @returns true if the tasks fit, or if no target is listed yet
   */
  isPlaceable(demand: ResourceVector, taskCount: number): boolean {
    if (this.#targetsByShard.size === 0) return true;
    const key = JSON.stringify(demand);
    const maxTaskCount = this.#taskCountByDemand.get(key) ?? this.#countTasksInCluster(demand);
    this.#taskCountByDemand.set(key, maxTaskCount);
    return maxTaskCount >= taskCount;
  }

  #countTasksInCluster(demand: ResourceVector): number {
    let taskCount = 0;
    this.#targetsByShard.forEach((targets) => {
      targets.forEach((target) => {
        taskCount += countFittingTasks(demand, target.capacity);
      });
    });
    return taskCount;
  }
}
