/** Which shards there are, and which shard a target, a job or a request id belongs to. */

import type { Sheet } from '../config/types';
import { getHash } from '../types/hash';
import { toId } from '../types/ids';
import type { DataCentreId, ShardId, VmId } from '../types/ids';
import type { ShardPlacement } from './types';

/** Jobs and non-idempotent request ids are divided over this many home shards. */
export const HOME_SHARD_COUNT = 16;
const HOME_PREFIX = 'home.';

/**
 * Gets the shard of a target.
 * @param dataCentreId - where the target is
 * @param vmId - the target's Vm
 * @param shardsPerDataCentre - from the sheet
 * @returns the shard
 */
export function getTargetShard(
  dataCentreId: DataCentreId,
  vmId: VmId,
  shardsPerDataCentre: number,
): ShardId {
  return toId<ShardId>(`targets.${dataCentreId}.${getHash(vmId) % shardsPerDataCentre}`);
}

/**
 * Gets the home shard of a job or request id. It depends on nothing but the id.
 * @param id - the id
 * @returns the shard
 */
export function getHomeShard(id: string): ShardId {
  return toId<ShardId>(`${HOME_PREFIX}${getHash(id) % HOME_SHARD_COUNT}`);
}

/**
 * Asks whether a shard is a home shard.
 * @param shardId - the shard
 * @returns true for a home shard, false for a shard of targets
 */
export function isHomeShard(shardId: ShardId): boolean {
  return shardId.startsWith(HOME_PREFIX);
}

/**
 * Lists every shard of a sheet. Data centres out of service keep their shards, so that their
 * running work stays owned.
 * @param sheet - the sheet in force
 * @returns all shards with their preferred data centre
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
