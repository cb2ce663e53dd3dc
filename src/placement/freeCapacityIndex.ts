/** Index of the targets of each shard, bucketed by free capacity. */

import type { ShardId, TargetId } from '../types/ids';
import type { ResourceVector } from '../types/resources';
import type { Target } from './types';

/** Level of a target whose measured resources are all free. */
export const MAX_FREE_LEVEL = 8;

/** Measures the free fraction of a target, from 0 to 1, over the resources relevant to one kind of work. */
export type FreeFractionMeasure = (target: Target, free: ResourceVector) => number;

type Level = Map<ShardId, Target[]>;

interface Position {
  readonly level: number;
  readonly bucket: Target[];
  index: number;
}

/**
 * Measures free capacity for tasks on the scarcest resource. Accelerators and connections are ignored,
 * because a task that needs none of them still fits.
 * @param target - the target
 * @param free - its free resources
 * @returns the smallest free fraction of processors, memory and slots
 */
export function getFreeTaskFraction({ capacity }: Target, free: ResourceVector): number {
  if (free.slots < 1) return 0;
  const cpuFraction = capacity.cpuMillis === 0 ? 1 : free.cpuMillis / capacity.cpuMillis;
  const memoryFraction = capacity.memoryMb === 0 ? 1 : free.memoryMb / capacity.memoryMb;
  return Math.min(cpuFraction, memoryFraction, free.slots / capacity.slots);
}

/**
 * Measures free capacity for tasks that need accelerators.
 * @param target - the target
 * @param free - its free resources
 * @returns the free fraction of its accelerators; 0 when it has none
 */
export function getFreeAcceleratorFraction({ capacity }: Target, free: ResourceVector): number {
  return capacity.accelerators === 0 ? 0 : free.accelerators / capacity.accelerators;
}

/**
 * Measures free capacity for requests, which only use slots and connections.
 * @param target - the target
 * @param free - its free resources
 * @returns the smaller of the two free fractions
 */
export function getFreeRequestFraction(target: Target, free: ResourceVector): number {
  const { slots, connections } = target.capacity;
  if (free.slots < 1 || free.connections < 1) return 0;
  return Math.min(free.slots / slots, free.connections / connections);
}

function createLevels(): Level[] {
  return Array.from({ length: MAX_FREE_LEVEL + 1 }, () => new Map<ShardId, Target[]>());
}

/** Keeps each target in the bucket of its shard and level. Updates and bucket lookups take constant time. */
export class FreeCapacityIndex {
  #measure: FreeFractionMeasure;

  #levels = createLevels();

  #positions = new Map<TargetId, Position>();

  /**
   * @param measure - maps a target to the free fraction by which it is indexed
   */
  constructor(measure: FreeFractionMeasure) {
    this.#measure = measure;
  }

  clear(): void {
    this.#levels = createLevels();
    this.#positions.clear();
  }

  /**
   * Inserts a target or moves it to the bucket of its current level. A target without free capacity is at
   * level 0.
   * @param target - the target
   * @param free - its free resources
   */
  update(target: Target, free: ResourceVector): void {
    const fraction = this.#measure(target, free);
    const level = fraction <= 0 ? 0 : Math.max(1, Math.floor(fraction * MAX_FREE_LEVEL));
    const position = this.#positions.get(target.targetId);
    if (position?.level === level) return;
    if (position !== undefined) this.#remove(target.shardId, position);
    const bucket = this.#getOrCreateBucket(level, target.shardId);
    bucket.push(target);
    this.#positions.set(target.targetId, { level, bucket, index: bucket.length - 1 });
  }

  /**
   * Visits each shard that has a target at a level, until the visitor returns true.
   * @param level - from 0 (no free capacity) to {@link MAX_FREE_LEVEL} (idle)
   * @param visit - called with the shard and its targets at the level; returns true to stop
   */
  forEachBucket(
    level: number,
    visit: (shardId: ShardId, targets: readonly Target[]) => boolean,
  ): void {
    for (const [shardId, bucket] of this.#levels[level] ?? []) {
      if (visit(shardId, bucket)) return;
    }
  }

  /**
   * Gets the targets of a shard at a level.
   * @param shardId - the shard
   * @param level - the level
   * @returns the targets in no particular order
   */
  getBucket(shardId: ShardId, level: number): readonly Target[] {
    return this.#levels[level]?.get(shardId) ?? [];
  }

  #getOrCreateBucket(level: number, shardId: ShardId): Target[] {
    const buckets = this.#levels[level];
    const existing = buckets?.get(shardId);
    if (existing !== undefined) return existing;
    const created: Target[] = [];
    buckets?.set(shardId, created);
    return created;
  }

  /** Removes by swapping in the last target of the bucket. Deletes the bucket when it becomes empty. */
  #remove(shardId: ShardId, { level, bucket, index }: Position): void {
    const last = bucket.pop();
    if (bucket.length === 0) this.#levels[level]?.delete(shardId);
    if (last === undefined || index === bucket.length) return;
    bucket[index] = last;
    const moved = this.#positions.get(last.targetId);
    if (moved !== undefined) moved.index = index;
  }
}
