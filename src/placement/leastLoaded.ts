/** Selects targets for requests: the least loaded of a small sample, preferring the nearby data centre. */

import type { StartGuard } from '../requests/types';
import type { DataCentreId, ShardId, TargetId, TeamId } from '../types/ids';
import type { Random } from '../types/random';
import { TOP_ROOM_LEVEL } from './roomIndex';
import { ShardGroups } from './shardGroups';
import type { TargetPool } from './targetPool';
import type { Target } from './types';

/** Eligible targets compared for one request. More than two gain little (Mitzenmacher, 2001). */
const SAMPLE_COUNT = 3;

/** Maximum number of targets examined in one bucket. */
const MAX_TRIES = 8;

/** A request to be placed. */
export interface RequestPlacement {
  readonly nowMs: number;
  readonly teamId: TeamId;
  /** Targets of this data centre are preferred. */
  readonly nearDataCentreId: DataCentreId;
  /** Targets that must not be selected. */
  readonly avoid: ReadonlySet<TargetId>;
}

export interface PlacementSource {
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
function trySample(
  { pool, guard, random }: PlacementSource,
  { nowMs, avoid }: RequestPlacement,
  targets: readonly Target[],
  maxTries: number,
): Target | undefined {
  if (targets.length === 0) return undefined;
  const offset = random.nextInt(targets.length);
  const tryCount = Math.min(targets.length, maxTries);
  let best: Target | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  let sampledCount = 0;
  for (let step = 0; step < tryCount && sampledCount < SAMPLE_COUNT; step += 1) {
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
  #source: PlacementSource;

  #groups = new ShardGroups();

  /**
   * @param context - resource accounting, start permits and randomness
   */
  constructor(source: PlacementSource) {
    this.#source = source;
  }

  /**
   * Selects a target for a request that any target can run. Shards with a remaining allotment for the
   * team come first.
   * @param placement - the request
   * @returns the target, or undefined when no eligible target was found
   */
  tryGetTarget(placement: RequestPlacement): Target | undefined {
    const { guard, pool } = this.#source;
    const { teamId, nearDataCentreId } = placement;
    const [near, far] = this.#groups.get(guard.getCandidates(), nearDataCentreId);
    const isAllotted = (shardId: ShardId) => pool.isAllotted(shardId, teamId, 1);
    return (
      this.#tryGetOfShards(placement, near, isAllotted) ??
      this.#tryGetOfShards(placement, far, isAllotted) ??
      // No shard has allotment left: the caller's charge will fail and thereby record the shard's shortage.
      this.#tryGetOfShards(placement, near, () => true) ??
      this.#tryGetOfShards(placement, far, () => true)
    );
  }

  /**
   * Selects among the targets that run a replica of the requested service.
   * @param placement - the request
   * @param replicas - targets that run the service
   * @returns the target, or undefined when none is eligible
   */
  tryGetReplica(placement: RequestPlacement, replicas: readonly Target[]): Target | undefined {
    const { pool } = this.#source;
    const { teamId, nearDataCentreId } = placement;
    const allotted = replicas.filter((target) => pool.isAllotted(target.shardId, teamId, 1));
    const usable = allotted.length > 0 ? allotted : replicas;
    const near = usable.filter((target) => target.dataCentreId === nearDataCentreId);
    return (
      trySample(this.#source, placement, near, near.length) ??
      trySample(this.#source, placement, usable, usable.length)
    );
  }

  #tryGetOfShards(
    placement: RequestPlacement,
    shardIds: ReadonlySet<ShardId>,
    isAllowed: (shardId: ShardId) => boolean,
  ): Target | undefined {
    for (let level = TOP_ROOM_LEVEL; level > 0; level -= 1) {
      const found = this.#tryGetOfLevel(
        placement,
        level,
        (id) => shardIds.has(id) && isAllowed(id),
      );
      if (found !== undefined) return found;
    }
    return undefined;
  }

  #tryGetOfLevel(
    placement: RequestPlacement,
    level: number,
    isAllowed: (shardId: ShardId) => boolean,
  ): Target | undefined {
    let found: Target | undefined;
    this.#source.pool.requestRoom.forEachBucket(level, (shardId, bucket) => {
      if (!isAllowed(shardId)) return false;
      found = trySample(this.#source, placement, bucket, MAX_TRIES);
      return found !== undefined;
    });
    return found;
  }
}
