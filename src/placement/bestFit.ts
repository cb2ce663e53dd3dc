/** Selects targets for tasks: the most utilized target on which the task still fits. */

import type { StartGuard } from '../requests/types';
import type { ShardId, TeamId } from '../types/ids';
import { isFitting } from '../types/resources';
import type { ResourceVector } from '../types/resources';
import { MAX_FREE_LEVEL } from './freeCapacityIndex';
import type { TargetPool } from './targetPool';
import type { Target } from './types';

/** Maximum number of targets examined in one bucket. */
const MAX_PROBES_PER_BUCKET = 8;

/** A pass ends after this many fitting targets were scored. */
const MAX_SCORED_TARGETS = 8;

/** Maximum number of targets examined in each of the two passes, whether or not the task fits. */
const MAX_PROBES = 32;

const FULLEST_FIRST: readonly number[] = Array.from(
  { length: MAX_FREE_LEVEL },
  (_, index) => index + 1,
);
const EMPTIEST_FIRST: readonly number[] = [...FULLEST_FIRST].reverse();

/**
 * Penalties for occupying a target with accelerators that the task does not need, and for each replica of the
 * same service in the rack. Both exceed any utilization, so that they outrank packing.
 */
const ACCELERATOR_PENALTY = 4;
const RACK_PENALTY = 2;

/** A task to be placed. */
export interface TaskPlacement {
  readonly nowMs: number;
  /** Shard to which the home of the job has assigned the task. */
  readonly shardId: ShardId;
  readonly teamId: TeamId;
  readonly demand: ResourceVector;
  /** Racks of the replicas of the same service, one entry for each replica. */
  readonly usedRacks: readonly string[];
}

interface SearchState {
  best: Target | undefined;
  bestScore: number;
  scoredCount: number;
  probeCount: number;
}

function getUsedFraction(demand: number, free: number, capacity: number): number {
  return capacity === 0 ? 0 : (capacity - free + demand) / capacity;
}

/** Utilization of the target's dominant resource with the task running on it. */
function getDominantUtilization(
  target: Target,
  free: ResourceVector,
  demand: ResourceVector,
): number {
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
  const utilization = getDominantUtilization(target, free, demand);
  const isWastingAccelerators = demand.accelerators === 0 && target.capacity.accelerators > 0;
  const acceleratorPenalty = isWastingAccelerators ? ACCELERATOR_PENALTY : 0;
  if (usedRacks.length === 0) return utilization - acceleratorPenalty;
  const replicasInRack = usedRacks.filter((rack) => rack === target.rack).length;
  return utilization - acceleratorPenalty - RACK_PENALTY * replicasInRack;
}

/**
 * Best fit on the dominant resource over a bounded sample (the "relaxed randomization" of Verma et
 * al., "Large-scale cluster management at Google with Borg", 2015, section 3.4).
 */
export class BestFit {
  #pool: TargetPool;

  #guard: StartGuard;

  #searchCount = 0;

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
    this.#searchCount += 1;
    return this.#search(placement, FULLEST_FIRST) ?? this.#search(placement, EMPTIEST_FIRST);
  }

  #search(placement: TaskPlacement, levels: readonly number[]): Target | undefined {
    const search: SearchState = {
      best: undefined,
      bestScore: Number.NEGATIVE_INFINITY,
      scoredCount: 0,
      probeCount: 0,
    };
    const { taskIndex, acceleratorIndex } = this.#pool;
    const index = placement.demand.accelerators > 0 ? acceleratorIndex : taskIndex;
    levels.forEach((level) => {
      this.#searchBucket(placement, index.getBucket(placement.shardId, level), search);
    });
    return search.best;
  }

  #searchBucket(placement: TaskPlacement, bucket: readonly Target[], search: SearchState): void {
    const { demand, nowMs } = placement;
    const bucketProbeCount = Math.min(bucket.length, MAX_PROBES_PER_BUCKET);
    for (let step = 0; step < bucketProbeCount; step += 1) {
      if (search.scoredCount >= MAX_SCORED_TARGETS || search.probeCount >= MAX_PROBES) return;
      search.probeCount += 1;
      const target = bucket[(this.#searchCount + step) % bucket.length];
      if (target === undefined) return;
      const free = this.#pool.getFree(target.targetId);
      if (!isFitting(demand, free)) continue;
      if (this.#guard.tryGetPermit(target, nowMs) === undefined) continue;
      search.scoredCount += 1;
      const score = getScore(target, free, placement);
      if (score <= search.bestScore) continue;
      search.best = target;
      search.bestScore = score;
    }
  }
}
