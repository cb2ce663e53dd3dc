/** Says which member should own a shard, and which members should stand by for an owner. */

import type { MemberView } from '../membership/types';
import { getHash, getRendezvousNode } from '../types/hash';
import { getSchedulerId } from '../types/ids';
import type { DataCentreId, MemberId } from '../types/ids';
import { STANDBY_COUNT } from './constants';
import type { ShardPlacement } from './types';

/**
 * Gets the preferred owner of a shard by rendezvous hashing over the names that schedulers keep
 * over restarts, so that a restarted one gets its shards back and no other shard moves.
 * @param placement - the shard
 * @param candidates - live members that are not leaving
 * @returns the member, in the shard's data centre if any is there
 */
export function getPreferredOwner(
  placement: ShardPlacement,
  candidates: readonly MemberView[],
): MemberView | undefined {
  const near = candidates.filter((view) => view.row.dataCentreId === placement.dataCentreId);
  const chosen = near.length > 0 ? near : candidates;
  const names = chosen.map((view) => getSchedulerId(view.row.memberId));
  const name = getRendezvousNode(placement.shardId, names);
  const incarnations = chosen.filter((view) => getSchedulerId(view.row.memberId) === name);
  return incarnations.sort((left, right) => right.firstSeenMs - left.firstSeenMs)[0];
}

/**
 * Chooses the standbys of an owner: few, and in as many other data centres as can be, so that the
 * loss of one data centre leaves a standby that can evict the owner.
 * @param ownerId - the owner
 * @param ownerDataCentreId - where it is
 * @param candidates - members whose promise the owner holds
 * @returns their ids; the same for the same candidates
 */
export function getStandbys(
  ownerId: MemberId,
  ownerDataCentreId: DataCentreId,
  candidates: readonly MemberView[],
): readonly MemberId[] {
  const ranked = [...candidates].sort(
    (left, right) =>
      getHash(`${ownerId}|${right.row.memberId}`) - getHash(`${ownerId}|${left.row.memberId}`),
  );
  const used = new Set<DataCentreId>([ownerDataCentreId]);
  const apart = ranked.filter(({ row }) => {
    const isNew = !used.has(row.dataCentreId);
    used.add(row.dataCentreId);
    return isNew;
  });
  const others = ranked.filter((view) => !apart.includes(view));
  return [...apart, ...others].slice(0, STANDBY_COUNT).map((view) => view.row.memberId);
}
