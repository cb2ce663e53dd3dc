/** Selects targets for requests: the least loaded of a small sample, preferring the nearby data centre. */

import type { StartGuard } from '../requests/types';
import type { DataCentreId, ShardId, TargetId, TeamId } from '../types/ids';
import type { Random } from '../types/random';
import { MAX_FREE_LEVEL } from './freeCapacityIndex';
import { ShardsByProximity } from './shardsByProximity';
import type { TargetPool } from './targetPool';
import type { Target } from './types';

/** Eligible targets compared for one request. More than two gain little (Mitzenmacher, 2001). */
const SAMPLE_SIZE = 3;

/** Maximum number of targets examined in one bucket. */
const MAX_PROBES_PER_BUCKET = 8;

/** A request to be placed. */
export interface RequestPlacement {
  readonly nowMs: number;
  readonly teamId: TeamId;
  /** Targets of this data centre are preferred. */
  readonly nearDataCentreId: DataCentreId;
  /** Targets that must not be selected. */
  readonly avoid: ReadonlySet<TargetId>;
}

export interface PlacementContext {
  readonly pool: TargetPool;
  readonly guard: StartGuard;
  readonly random: Random;
}

function getRequestLoad(pool: TargetPool, target: Target): number {
  const free = pool.getFree(target.targetId);
  if (free.slots < 1 || free.connections < 1) return Number.POSITIVE_INFINITY;
  return 1 - free.slots / target.capacity.slots;
}

/**
 * Scans a list from a random offset and selects the least loaded of the first few eligible targets.
 * A target is eligible when it has a free slot and connection and the guard permits a start on it.
 * @param context - resource accounting, start permits and randomness
 * @param placement - the request
 * @param targets - targets that can run the request
 * @param maxProbes - maximum number of targets examined
 * @returns the least loaded eligible target of the sample, or undefined when there is none
 */
function tryPickFromSample(
  { pool, guard, random }: PlacementContext,
  { nowMs, avoid }: RequestPlacement,
  targets: readonly Target[],
  maxProbes: number,
): Target | undefined {
  if (targets.length === 0) return undefined;
  const offset = random.nextInt(targets.length);
  const probeCount = Math.min(targets.length, maxProbes);
  let best: Target | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  let sampledCount = 0;
  for (let step = 0; step < probeCount && sampledCount < SAMPLE_SIZE; step += 1) {
    const target = targets[(offset + step) % targets.length];
    if (target === undefined) break;
    if (avoid.has(target.targetId)) continue;
    const load = getRequestLoad(pool, target);
    if (!Number.isFinite(load) || guard.tryGetPermit(target, nowMs) === undefined) continue;
    sampledCount += 1;
    if (load >= bestLoad) continue;
    best = target;
    bestLoad = load;
  }
  return best;
}

/**
 * Places requests by the power of d choices (Mitzenmacher, "The Power of Two Choices in Randomized
 * Load Balancing", 2001) within the bucket of least utilization that has an eligible target. Decision
 * time does not grow with the size of the fleet.
 */
export class LeastLoaded {
  #context: PlacementContext;

  #shardsByProximity = new ShardsByProximity();

  /**
   * @param context - resource accounting, start permits and randomness
   */
  constructor(context: PlacementContext) {
    this.#context = context;
  }

  /**
   * Selects a target for a request that any target can run. Shards with a remaining allotment for the
   * team come first.
   * @param placement - the request
   * @returns the target, or undefined when no eligible target was found
   */
  tryGetTarget(placement: RequestPlacement): Target | undefined {
    const { guard, pool } = this.#context;
    const { teamId, nearDataCentreId } = placement;
    const [near, far] = this.#shardsByProximity.get(guard.getCandidates(), nearDataCentreId);
    const isWithinAllotment = (shardId: ShardId) => pool.isWithinAllotment(shardId, teamId, 1);
    return (
      this.#tryPickFromShards(placement, near, isWithinAllotment) ??
      this.#tryPickFromShards(placement, far, isWithinAllotment) ??
      // Without remaining allotment the caller's charge fails and thereby records the shortage of the shard.
      this.#tryPickFromShards(placement, near, () => true) ??
      this.#tryPickFromShards(placement, far, () => true)
    );
  }

  /**
   * Selects among the targets that run a replica of the requested service.
   * @param placement - the request
   * @param replicas - targets that run the service
   * @returns the target, or undefined when none is eligible
   */
  tryGetReplica(placement: RequestPlacement, replicas: readonly Target[]): Target | undefined {
    const { pool } = this.#context;
    const { teamId, nearDataCentreId } = placement;
    const allotted = replicas.filter((target) => pool.isWithinAllotment(target.shardId, teamId, 1));
    const usable = allotted.length > 0 ? allotted : replicas;
    const near = usable.filter((target) => target.dataCentreId === nearDataCentreId);
    return (
      tryPickFromSample(this.#context, placement, near, near.length) ??
      tryPickFromSample(this.#context, placement, usable, usable.length)
    );
  }

  #tryPickFromShards(
    placement: RequestPlacement,
    shardIds: ReadonlySet<ShardId>,
    isAllowed: (shardId: ShardId) => boolean,
  ): Target | undefined {
    for (let level = MAX_FREE_LEVEL; level > 0; level -= 1) {
      const found = this.#tryPickFromLevel(
        placement,
        level,
        (id) => shardIds.has(id) && isAllowed(id),
      );
      if (found !== undefined) return found;
    }
    return undefined;
  }

  #tryPickFromLevel(
    placement: RequestPlacement,
    level: number,
    isAllowed: (shardId: ShardId) => boolean,
  ): Target | undefined {
    let found: Target | undefined;
    this.#context.pool.requestIndex.forEachBucket(level, (shardId, bucket) => {
      if (!isAllowed(shardId)) return false;
      found = tryPickFromSample(this.#context, placement, bucket, MAX_PROBES_PER_BUCKET);
      return found !== undefined;
    });
    return found;
  }
}
