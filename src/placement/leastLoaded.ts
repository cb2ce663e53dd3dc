/** Picks a target for a request: near ones first, and of few sampled the least loaded. */

import type { StartGuard } from '../requests/types';
import type { DataCentreId, ShardId, TargetId, TeamId } from '../types/ids';
import type { Random } from '../types/random';
import { TOP_ROOM_LEVEL } from './roomIndex';
import { ShardGroups } from './shardGroups';
import type { TargetPool } from './targetPool';
import type { Target } from './types';

/** Targets compared for one request; more than two gains little (Mitzenmacher, 2001). */
const SAMPLE_COUNT = 3;

/** Targets looked at in one bucket before it is given up. */
const MAX_TRIES = 8;

/** What a target is picked for. */
export interface RequestPlacement {
  readonly nowMs: number;
  readonly teamId: TeamId;
  /** Targets of this data centre are taken before others. */
  readonly nearDataCentreId: DataCentreId;
  /** Targets that are passed over. */
  readonly avoid: ReadonlySet<TargetId>;
}

/** What a target is picked from. */
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
 * Samples a list from a random place on and keeps the least loaded of the first few that may start.
 * @param source - budgets, permits and randomness
 * @param placement - the request
 * @param targets - where the request could run
 * @param maxTries - how many are looked at
 * @returns the least loaded of the sample, or undefined when none of it may start
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
 * Places requests by the power of few choices (Mitzenmacher, "The Power of Two Choices in Randomized
 * Load Balancing", 2001) within the emptiest bucket that has a target on which a start is allowed,
 * so that the time of a decision does not grow with the fleet.
 */
export class LeastLoaded {
  #source: PlacementSource;

  #groups = new ShardGroups();

  /**
   * @param source - budgets, permits and randomness
   */
  constructor(source: PlacementSource) {
    this.#source = source;
  }

  /**
   * Picks a target for a request that any target can run.
   * @param placement - the request
   * @returns the target, or undefined when none has room or every near allotment is used up
   */
  tryGetTarget(placement: RequestPlacement): Target | undefined {
    const { guard, pool } = this.#source;
    const { teamId, nearDataCentreId } = placement;
    const [near, far] = this.#groups.get(guard.getCandidates(), nearDataCentreId);
    const isAllotted = (shardId: ShardId) => pool.isAllotted(shardId, teamId, 1);
    return (
      this.#tryGetOfShards(placement, near, isAllotted) ??
      this.#tryGetOfShards(placement, far, isAllotted) ??
      // Without an allotment anywhere the caller's charge fails and so tells the shard's shortage.
      this.#tryGetOfShards(placement, near, () => true) ??
      this.#tryGetOfShards(placement, far, () => true)
    );
  }

  /**
   * Picks among the targets that run a service.
   * @param placement - the request
   * @param replicas - the service's targets
   * @returns the target, or undefined when none has room
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
