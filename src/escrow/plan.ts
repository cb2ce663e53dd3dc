/** Plans transfers of units between the pool and the shards of one owner. */

import type { Team } from '../config/types';
import type { ShardId, TeamId } from '../types/ids';
import type { Allotment } from './allotment';
import type { EscrowContext, PoolRow, TeamUnits } from './types';
import { getSlots, getUnits, WHOLE_UNITS } from './units';

/** A shard with a shortage requests at least this fraction of its usage in addition. */
const GROWTH_FRACTION = 0.5;

/** Usage and shortage of one team on one shard. */
interface Need {
  readonly team: Team;
  readonly units: number;
  /** False if the shard was never allotted any units of the team. */
  readonly isKnown: boolean;
  readonly usedSlots: number;
  readonly shortSlots: number;
  readonly shardCount: number;
  readonly isInDoubt: boolean;
}

/** The rows that a transaction has to write. */
export interface EscrowPlan {
  readonly pool: PoolRow;
  readonly shards: readonly { readonly shardId: ShardId; readonly units: TeamUnits }[];
  readonly isEmpty: boolean;
}

/** Input from which a plan is created. */
export interface PlanInput {
  readonly teams: readonly Team[];
  readonly pool: PoolRow;
  readonly allotments: ReadonlyMap<ShardId, Allotment>;
  readonly context: EscrowContext;
  getShortSlots(shardId: ShardId, teamId: TeamId): number;
}

/** Values after a transfer: units of the shard, and free units and wanted slots in the pool. */
interface Move {
  readonly units: number;
  readonly free: number;
  readonly wanted: number;
}

function take(need: Need, targetSlots: number, free: number, wanted: number): Move {
  const { team, units } = need;
  const missingUnits = Math.max(0, getUnits(targetSlots, team.limitSlots) - units);
  const takenUnits = Math.min(free, missingUnits);
  const nextSlots = getSlots(units + takenUnits, team.limitSlots);
  const isUseful = nextSlots > getSlots(units, team.limitSlots);
  const wantedSlots = Math.min(targetSlots, team.limitSlots);
  const gained = isUseful ? takenUnits : 0;
  const lackingSlots = Math.max(0, wantedSlots - getSlots(units + gained, team.limitSlots));
  return {
    units: units + gained,
    free: free - gained,
    wanted: lackingSlots > 0 ? Math.max(wanted, lackingSlots) : wanted,
  };
}

/** Returns half of the idle slots, so that the shard can still start work, and any partial slot. */
function giveBack(need: Need, free: number, wanted: number): Move {
  const { team, units, usedSlots } = need;
  const allottedSlots = getSlots(units, team.limitSlots);
  const idleSlots = allottedSlots - usedSlots;
  const givenSlots = Math.min(Math.ceil(idleSlots / 2), wanted);
  const keptUnits = Math.min(units, getUnits(allottedSlots - givenSlots, team.limitSlots));
  return { units: keptUnits, free: free + units - keptUnits, wanted: wanted - givenSlots };
}

function getMove(need: Need, free: number, wanted: number): Move {
  const { team, units, usedSlots, shortSlots } = need;
  const allottedSlots = getSlots(units, team.limitSlots);
  if (usedSlots + shortSlots > allottedSlots) {
    // Growth in proportion to usage reaches any allotment within a few transactions.
    const growthSlots = Math.max(shortSlots, Math.ceil(usedSlots * GROWTH_FRACTION));
    return take(need, usedSlots + growthSlots, free, wanted);
  }
  if (!need.isKnown) {
    const evenSlots = Math.max(1, Math.floor(team.limitSlots / need.shardCount));
    return { ...take(need, evenSlots, free, wanted), wanted };
  }
  if (wanted > 0 && shortSlots === 0 && !need.isInDoubt) return giveBack(need, free, wanted);
  return { units, free, wanted };
}

/**
 * Plans one transaction for all teams and owned shards.
 * @param input - the rows as read, usage, shortages and limits
 * @returns the rows to write
 */
export function createPlan({ teams, pool, allotments, context, ...input }: PlanInput): EscrowPlan {
  const free: { [teamId: string]: number } = { ...pool.free };
  const wanted: { [teamId: string]: number } = { ...pool.wanted };
  const shards: { shardId: ShardId; units: TeamUnits }[] = [];
  allotments.forEach((allotment, shardId) => {
    if (!allotment.isLoaded || context.tryGetLeaseCheck(shardId) === undefined) return;
    const units: { [teamId: string]: number } = { ...allotment.units };
    let isChanged = false;
    teams.forEach((team) => {
      const { teamId, limitSlots } = team;
      if (limitSlots <= 0) return;
      const need: Need = {
        team,
        units: units[teamId] ?? 0,
        isKnown: teamId in units,
        usedSlots: context.getUsedSlots(shardId, teamId),
        shortSlots: input.getShortSlots(shardId, teamId),
        shardCount: Math.max(1, context.shardCount),
        isInDoubt: allotment.isInDoubt,
      };
      const move = getMove(need, free[teamId] ?? WHOLE_UNITS, wanted[teamId] ?? 0);
      isChanged ||= move.units !== units[teamId];
      units[teamId] = move.units;
      free[teamId] = move.free;
      if (move.wanted > 0) wanted[teamId] = move.wanted;
      else delete wanted[teamId];
    });
    // A row in doubt is rewritten even if unchanged, since only a new version resolves the doubt.
    if (isChanged || allotment.isInDoubt) shards.push({ shardId, units });
  });
  const isWantedSame = JSON.stringify(wanted) === JSON.stringify(pool.wanted);
  return { pool: { free, wanted }, shards, isEmpty: shards.length === 0 && isWantedSame };
}
