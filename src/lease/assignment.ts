/** Selects the preferred owner of each shard and the standbys of each owner. */

import type { MemberView } from '../membership/types';
import { getHash, getRendezvousNode } from '../types/hash';
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
  const inDataCentre = candidates.filter(
    (view) => view.row.dataCentreId === placement.dataCentreId,
  );
  const eligible = inDataCentre.length > 0 ? inDataCentre : candidates;
  const schedulerIds = eligible.map((view) => getSchedulerId(view.row.memberId));
  const preferredId = getRendezvousNode(placement.shardId, schedulerIds);
  const incarnations = eligible.filter((view) => getSchedulerId(view.row.memberId) === preferredId);
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
export function chooseStandbys(
  ownerId: MemberId,
  ownerDataCentreId: DataCentreId,
  candidates: readonly MemberView[],
): readonly MemberId[] {
  const ranked = [...candidates].sort(
    (left, right) =>
      getHash(`${ownerId}|${right.row.memberId}`) - getHash(`${ownerId}|${left.row.memberId}`),
  );
  const coveredDataCentreIds = new Set<DataCentreId>([ownerDataCentreId]);
  const firstInDataCentre = ranked.filter(({ row }) => {
    const isNew = !coveredDataCentreIds.has(row.dataCentreId);
    coveredDataCentreIds.add(row.dataCentreId);
    return isNew;
  });
  const remaining = ranked.filter((view) => !firstInDataCentre.includes(view));
  return [...firstInDataCentre, ...remaining]
    .slice(0, STANDBY_COUNT)
    .map((view) => view.row.memberId);
}
