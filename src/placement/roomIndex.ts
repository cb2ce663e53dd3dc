/** Targets of each shard, bucketed by how much room they have left. */

import type { ShardId, TargetId } from '../types/ids';
import type { ResourceVector } from '../types/resources';
import type { Target } from './types';

/** Level of a target that is idle on every budget that counts. */
export const TOP_ROOM_LEVEL = 8;

/** Gets the fraction of a target that is free, 0 to 1, on the budgets that count. */
export type RoomMeasure = (target: Target, free: ResourceVector) => number;

type Level = Map<ShardId, Target[]>;

interface Position {
  readonly level: number;
  readonly bucket: Target[];
  index: number;
}

/**
 * Measures room for tasks on the budget that is nearest to its end. Accelerators and connections do
 * not count, since a task that wants none of them still fits.
 * @param target - which target
 * @param free - what is left of it
 * @returns the smallest free fraction of processors, memory and slots
 */
export function getTaskRoom({ capacity }: Target, free: ResourceVector): number {
  if (free.slots < 1) return 0;
  const cpuFraction = capacity.cpuMillis === 0 ? 1 : free.cpuMillis / capacity.cpuMillis;
  const memoryFraction = capacity.memoryMb === 0 ? 1 : free.memoryMb / capacity.memoryMb;
  return Math.min(cpuFraction, memoryFraction, free.slots / capacity.slots);
}

/**
 * Measures room for tasks that want accelerators.
 * @param target - which target
 * @param free - what is left of it
 * @returns the free fraction of its accelerators, 0 when it has none
 */
export function getAcceleratorRoom({ capacity }: Target, free: ResourceVector): number {
  return capacity.accelerators === 0 ? 0 : free.accelerators / capacity.accelerators;
}

/**
 * Measures room for requests, which take slots and connections alone.
 * @param target - which target
 * @param free - what is left of it
 * @returns the smaller free fraction of the two
 */
export function getRequestRoom(target: Target, free: ResourceVector): number {
  const { slots, connections } = target.capacity;
  if (free.slots < 1 || free.connections < 1) return 0;
  return Math.min(free.slots / slots, free.connections / connections);
}

function createLevels(): Level[] {
  return Array.from({ length: TOP_ROOM_LEVEL + 1 }, () => new Map<ShardId, Target[]>());
}

/** Keeps each target in the bucket of its shard and room; every operation takes constant time. */
export class RoomIndex {
  #measure: RoomMeasure;

  #levels = createLevels();

  #positions = new Map<TargetId, Position>();

  /**
   * @param measure - which budgets count
   */
  constructor(measure: RoomMeasure) {
    this.#measure = measure;
  }

  /** Drops every target. */
  clear(): void {
    this.#levels = createLevels();
    this.#positions.clear();
  }

  /**
   * Puts a target into the bucket of its room. A target without room is at level 0.
   * @param target - which target
   * @param free - what is left of it
   */
  update(target: Target, free: ResourceVector): void {
    const fraction = this.#measure(target, free);
    const level = fraction <= 0 ? 0 : Math.max(1, Math.floor(fraction * TOP_ROOM_LEVEL));
    const position = this.#positions.get(target.targetId);
    if (position?.level === level) return;
    if (position !== undefined) this.#remove(target.shardId, position);
    const bucket = this.#getOrCreateBucket(level, target.shardId);
    bucket.push(target);
    this.#positions.set(target.targetId, { level, bucket, index: bucket.length - 1 });
  }

  /**
   * Calls back for each shard with a target at a level, until told to stop.
   * @param level - 0 for no room, up to `TOP_ROOM_LEVEL` for an idle target
   * @param visit - gets the shard and its targets at the level; returns true to stop
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
   * Gets one bucket.
   * @param shardId - which shard
   * @param level - which level
   * @returns the shard's targets at the level, in no order
   */
  getBucket(shardId: ShardId, level: number): readonly Target[] {
    return this.#levels[level]?.get(shardId) ?? [];
  }

  #getOrCreateBucket(level: number, shardId: ShardId): Target[] {
    const buckets = this.#levels[level];
    const known = buckets?.get(shardId);
    if (known !== undefined) return known;
    const created: Target[] = [];
    buckets?.set(shardId, created);
    return created;
  }

  /** Fills the gap with the bucket's last target; a bucket that is left empty is dropped. */
  #remove(shardId: ShardId, { level, bucket, index }: Position): void {
    const last = bucket.pop();
    if (bucket.length === 0) this.#levels[level]?.delete(shardId);
    if (last === undefined || index === bucket.length) return;
    bucket[index] = last;
    const moved = this.#positions.get(last.targetId);
    if (moved !== undefined) moved.index = index;
  }
}
