/** Defines the shards, and maps targets, jobs and request ids to them. */

import type { Sheet } from '../config/types';
import { getHash } from '../types/hash';
import { toId } from '../types/ids';
import type { DataCentreId, ShardId, VmId } from '../types/ids';
import type { ShardPlacement } from './types';

/** Number of home shards, over which jobs and non-idempotent request ids are distributed. */
export const HOME_SHARD_COUNT = 16;
const HOME_PREFIX = 'home.';

/**
 * Returns the shard of a target.
 * @param dataCentreId - the target's data centre
 * @param vmId - the target's Vm
 * @param shardsPerDataCentre - the setting of the sheet
 */
export function getTargetShard(
  dataCentreId: DataCentreId,
  vmId: VmId,
  shardsPerDataCentre: number,
): ShardId {
  return toId<ShardId>(`targets.${dataCentreId}.${getHash(vmId) % shardsPerDataCentre}`);
}

/**
 * Returns the home shard of a job or request id. It depends only on the id.
 * @param id - the job id or request id
 */
export function getHomeShard(id: string): ShardId {
  return toId<ShardId>(`${HOME_PREFIX}${getHash(id) % HOME_SHARD_COUNT}`);
}

/**
 * Returns whether a shard is a home shard.
 * @param shardId - the shard
 * @returns true for a home shard, false for a shard of targets
 */
export function isHomeShard(shardId: ShardId): boolean {
  return shardId.startsWith(HOME_PREFIX);
}

/**
 * Lists every shard of a sheet. A data centre that is out of service keeps its shards, so that work
 * still running there keeps an owner.
 * @param sheet - the sheet in force
 * @returns all shards with their preferred data centres
 */
export function getShardPlacements(sheet: Sheet): readonly ShardPlacement[] {
  const homes = Array.from({ length: HOME_SHARD_COUNT }, (_, index) => ({
    shardId: toId<ShardId>(`${HOME_PREFIX}${index}`),
    dataCentreId: null,
  }));
  const targets = sheet.dataCentres.flatMap(({ dataCentreId }) =>
    Array.from({ length: sheet.shardsPerDataCentre }, (_, index) => ({
      shardId: toId<ShardId>(`targets.${dataCentreId}.${index}`),
      dataCentreId,
    })),
  );
  return [...homes, ...targets];
}
