/** Total capacity of the listed targets when idle, to detect jobs that can never be placed. */

import type { TargetPool } from '../placement/targetPool';
import type { Target } from '../placement/types';
import type { DataCentreId, ShardId } from '../types/ids';
import { isFitting, RESOURCE_KINDS } from '../types/resources';
import type { ResourceVector } from '../types/resources';

/** Counts the tasks of a demand that fit on an idle target. */
function countFitting(demand: ResourceVector, capacity: ResourceVector): number {
  return RESOURCE_KINDS.reduce((least, kind) => {
    if (demand[kind] === 0) return least;
    return Math.min(least, Math.floor(capacity[kind] / demand[kind]));
  }, Number.MAX_SAFE_INTEGER);
}

/** Capacities of all targets, including those of shards owned by other schedulers. */
export class Capacities {
  #pool: TargetPool;

  #byShard = new Map<ShardId, Target[]>();

  /** Number of tasks that fit in the idle cluster, by the JSON text of their demand. */
  #roomByDemand = new Map<string, number>();

  /** @param pool - targets from the platform's VM list */
  constructor(pool: TargetPool) {
    this.#pool = pool;
  }

  /** Rebuilds the index after a new VM list; cached counts are dropped. */
  update(): void {
    this.#byShard.clear();
    this.#roomByDemand.clear();
    this.#pool.targets.forEach((target) => {
      const known = this.#byShard.get(target.shardId);
      if (known === undefined) this.#byShard.set(target.shardId, [target]);
      else known.push(target);
    });
  }

  /**
   * Gets the data centre of a shard.
   * @param shardId - the shard
   * @returns its data centre, or undefined if no target of the shard is listed
   */
  getDataCentre(shardId: ShardId): DataCentreId | undefined {
    return this.#byShard.get(shardId)?.[0]?.dataCentreId;
  }

  /**
   * Determines whether a task fits on at least one idle target of a shard.
   * @param shardId - the shard
   * @param demand - demand of the task
   * @returns true if a target of the shard has enough capacity
   */
  isLargeEnough(shardId: ShardId, demand: ResourceVector): boolean {
    const targets = this.#byShard.get(shardId) ?? [];
    return targets.some((target) => isFitting(demand, target.capacity));
  }

  /**
   * Determines whether a number of tasks fits in the idle cluster at the same time.
   * @param demand - demand of one task
   * @param taskCount - number of concurrent tasks
   * @returns true if the tasks fit, or if no target is listed yet
   */
  isPlaceable(demand: ResourceVector, taskCount: number): boolean {
    if (this.#byShard.size === 0) return true;
    const key = JSON.stringify(demand);
    const room = this.#roomByDemand.get(key) ?? this.#countRoom(demand);
    this.#roomByDemand.set(key, room);
    return room >= taskCount;
  }

  #countRoom(demand: ResourceVector): number {
    let room = 0;
    this.#byShard.forEach((targets) => {
      targets.forEach((target) => {
        room += countFitting(demand, target.capacity);
      });
    });
    return room;
  }
}
