/** Selects the preferred owner of each shard and the standbys of each owner. */

import type { MemberView } from '../membership/types';
import { getHash, getPreferred } from '../types/hash';
import { getSchedulerId } from '../types/ids';
import type { DataCentreId, MemberId } from '../types/ids';
import { STANDBY_COUNT } from './constants';
import type { ShardPlacement } from './types';

/**
 * Selects the preferred owner of a shard by rendezvous hashing over scheduler ids. These ids
 * survive restarts, so a restarted scheduler gets its shards back and no other shard moves.
 * @param placement - the shard and its preferred data centre
 * @param candidates - live members that are not leaving
 * @returns a member in the preferred data centre if there is one, otherwise any member; undefined
 * without candidates
 */
export function getPreferredOwner(
  placement: ShardPlacement,
  candidates: readonly MemberView[],
): MemberView | undefined {
  const near = candidates.filter((view) => view.row.dataCentreId === placement.dataCentreId);
  const chosen = near.length > 0 ? near : candidates;
  const names = chosen.map((view) => getSchedulerId(view.row.memberId));
  const name = getPreferred(placement.shardId, names);
  const incarnations = chosen.filter((view) => getSchedulerId(view.row.memberId) === name);
  return incarnations.sort((left, right) => right.firstSeenMs - left.firstSeenMs)[0];
}

/**
 * Selects up to `STANDBY_COUNT` standbys of an owner, spread over as many other data centres as
 * possible, so that a standby that can evict the owner remains after the loss of one data centre.
 * @param ownerId - the owner
 * @param ownerDataCentreId - the owner's data centre
 * @param candidates - members whose promises to the owner are in force
 * @returns the standbys' ids; deterministic for a given set of candidates
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
