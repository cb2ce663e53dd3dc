/** What the listed targets could hold, were they empty: tells which jobs can never run. */

import type { TargetPool } from '../placement/targetPool';
import type { Target } from '../placement/types';
import type { DataCentreId, ShardId } from '../types/ids';
import { isFitting, RESOURCE_KINDS } from '../types/resources';
import type { ResourceVector } from '../types/resources';

/** How many tasks of a demand one empty target holds. */
function countFitting(demand: ResourceVector, capacity: ResourceVector): number {
  return RESOURCE_KINDS.reduce((least, kind) => {
    if (demand[kind] === 0) return least;
    return Math.min(least, Math.floor(capacity[kind] / demand[kind]));
  }, Number.MAX_SAFE_INTEGER);
}

/** Capacities of all targets, also of those that other schedulers own. */
export class Capacities {
  #pool: TargetPool;

  #byShard = new Map<ShardId, Target[]>();

  /** @param pool - the targets as the platform lists them */
  constructor(pool: TargetPool) {
    this.#pool = pool;
  }

  /** Takes in a new list. */
  update(): void {
    this.#byShard.clear();
    this.#pool.targets.forEach((target) => {
      const known = this.#byShard.get(target.shardId);
      if (known === undefined) this.#byShard.set(target.shardId, [target]);
      else known.push(target);
    });
  }

  /**
   * Gets the data centre of a shard.
   * @param shardId - the shard
   * @returns its data centre, or undefined when no target of it is listed
   */
  getDataCentre(shardId: ShardId): DataCentreId | undefined {
    return this.#byShard.get(shardId)?.[0]?.dataCentreId;
  }

  /**
   * Asks whether some target of a shard could hold one task.
   * @param shardId - the shard
   * @param demand - of the task
   * @returns true when it would fit into an empty target
   */
  isLargeEnough(shardId: ShardId, demand: ResourceVector): boolean {
    const targets = this.#byShard.get(shardId) ?? [];
    return targets.some((target) => isFitting(demand, target.capacity));
  }

  /**
   * Asks whether the whole cluster could hold tasks at once.
   * @param demand - of one task
   * @param taskCount - how many at once
   * @returns true when they would fit into empty targets, or when no target is listed yet
   */
  isPlaceable(demand: ResourceVector, taskCount: number): boolean {
    if (this.#byShard.size === 0) return true;
    let room = 0;
    this.#byShard.forEach((targets) => {
      targets.forEach((target) => {
        room += countFitting(demand, target.capacity);
      });
    });
    return room >= taskCount;
  }
}
