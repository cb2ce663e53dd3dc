/** Selects targets for tasks: the most utilized target on which the task still fits. */

import type { StartGuard } from '../requests/types';
import type { ShardId, TeamId } from '../types/ids';
import { isFitting } from '../types/resources';
import type { ResourceVector } from '../types/resources';
import { TOP_ROOM_LEVEL } from './roomIndex';
import type { TargetPool } from './targetPool';
import type { Target } from './types';

/** Maximum number of targets examined in one bucket. */
const MAX_PER_BUCKET = 8;

/** A pass ends after this many fitting targets were scored. */
const MAX_COMPARED = 8;

/** Maximum number of targets examined in each of the two passes, whether or not the task fits. */
const MAX_LOOKED_AT = 32;

const TIGHT_FIRST: readonly number[] = Array.from(
  { length: TOP_ROOM_LEVEL },
  (_, index) => index + 1,
);
const ROOMY_FIRST: readonly number[] = [...TIGHT_FIRST].reverse();

/**
 * Penalties for occupying a target with accelerators that the task does not need, and for each replica of the
 * same service in the rack. Both exceed any utilization, so that they outrank packing.
 */
const ACCELERATOR_PENALTY = 4;
const RACK_PENALTY = 2;

/** A task to be placed. */
export interface TaskPlacement {
  readonly nowMs: number;
  /** Shard to which the owner of the job has assigned the task. */
  readonly shardId: ShardId;
  readonly teamId: TeamId;
  readonly demand: ResourceVector;
  /** Racks of the replicas of the same service, one entry for each replica. */
  readonly usedRacks: readonly string[];
}

interface Search {
  best: Target | undefined;
  bestScore: number;
  comparedCount: number;
  lookedAtCount: number;
}

function getUsedFraction(demand: number, free: number, whole: number): number {
  return whole === 0 ? 0 : (whole - free + demand) / whole;
}

/** Utilization of the target's dominant resource with the task running on it. */
function getFullness(target: Target, free: ResourceVector, demand: ResourceVector): number {
  const { capacity } = target;
  return Math.max(
    getUsedFraction(demand.cpuMillis, free.cpuMillis, capacity.cpuMillis),
    getUsedFraction(demand.memoryMb, free.memoryMb, capacity.memoryMb),
    getUsedFraction(demand.accelerators, free.accelerators, capacity.accelerators),
    getUsedFraction(demand.slots, free.slots, capacity.slots),
  );
}

function getScore(target: Target, free: ResourceVector, placement: TaskPlacement): number {
  const { demand, usedRacks } = placement;
  const fullness = getFullness(target, free, demand);
  const isWastingAccelerators = demand.accelerators === 0 && target.capacity.accelerators > 0;
  const acceleratorPenalty = isWastingAccelerators ? ACCELERATOR_PENALTY : 0;
  if (usedRacks.length === 0) return fullness - acceleratorPenalty;
  const replicasInRack = usedRacks.filter((rack) => rack === target.rack).length;
  return fullness - acceleratorPenalty - RACK_PENALTY * replicasInRack;
}

/**
 * Best fit on the dominant resource over a bounded sample (the "relaxed randomization" of Verma et
 * al., "Large-scale cluster management at Google with Borg", 2015, section 3.4).
 */
export class BestFit {
  #pool: TargetPool;

  #guard: StartGuard;

  #turn = 0;

  /**
   * @param pool - resource accounting of the targets
   * @param guard - decides whether a task may be started on a target now
   */
  constructor(pool: TargetPool, guard: StartGuard) {
    this.#pool = pool;
    this.#guard = guard;
  }

  /**
   * Selects a target for a task. The first pass visits the fullest buckets first; when it finds none, a
   * second pass visits the emptiest buckets first.
   * @param placement - the task
   * @returns the target, or undefined when no examined target fits
   */
  tryGetTarget(placement: TaskPlacement): Target | undefined {
    this.#turn += 1;
    return this.#search(placement, TIGHT_FIRST) ?? this.#search(placement, ROOMY_FIRST);
  }

  #search(placement: TaskPlacement, levels: readonly number[]): Target | undefined {
    const search: Search = {
      best: undefined,
      bestScore: Number.NEGATIVE_INFINITY,
      comparedCount: 0,
      lookedAtCount: 0,
    };
    const { taskRoom, acceleratorRoom } = this.#pool;
    const index = placement.demand.accelerators > 0 ? acceleratorRoom : taskRoom;
    levels.forEach((level) => {
      this.#searchBucket(placement, index.getBucket(placement.shardId, level), search);
    });
    return search.best;
  }

  #searchBucket(placement: TaskPlacement, bucket: readonly Target[], search: Search): void {
    const { demand, nowMs } = placement;
    const tryCount = Math.min(bucket.length, MAX_PER_BUCKET);
    for (let step = 0; step < tryCount; step += 1) {
      if (search.comparedCount >= MAX_COMPARED || search.lookedAtCount >= MAX_LOOKED_AT) return;
      search.lookedAtCount += 1;
      const target = bucket[(this.#turn + step) % bucket.length];
      if (target === undefined) return;
      const free = this.#pool.getFree(target.targetId);
      if (!isFitting(demand, free)) continue;
      if (this.#guard.tryGetPermit(target, nowMs) === undefined) continue;
      search.comparedCount += 1;
      const score = getScore(target, free, placement);
      if (score <= search.bestScore) continue;
      search.best = target;
      search.bestScore = score;
    }
  }
}
