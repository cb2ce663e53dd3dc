/** Plans transfers of units between the pool and the shards of one owner. */

import type { Team } from '../config/types';
import type { ShardId, TeamId } from '../types/ids';
import type { Allotment } from './allotment';
import type { EscrowContext, PoolRow, TeamUnits } from './types';
import { unitsToSlots, slotsToUnits, TOTAL_UNITS } from './units';

/** A shard with a shortage requests at least this fraction of its usage in addition. */
const MIN_GROWTH_FRACTION = 0.5;

/** Usage and shortage of one team on one shard. */
interface TeamDemand {
  readonly team: Team;
  readonly units: number;
  /** False if the shard was never allotted any units of the team. */
  readonly hasEntry: boolean;
  readonly usedSlots: number;
  readonly shortageSlots: number;
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
export interface EscrowPlanInput {
  readonly teams: readonly Team[];
  readonly pool: PoolRow;
  readonly allotments: ReadonlyMap<ShardId, Allotment>;
  readonly context: EscrowContext;
  getShortageSlots(shardId: ShardId, teamId: TeamId): number;
}

/** Values after a transfer: units of the shard, and free units and wanted slots in the pool. */
interface Transfer {
  readonly units: number;
  readonly free: number;
  readonly wanted: number;
}

function planAcquisition(
  demand: TeamDemand,
  targetSlots: number,
  free: number,
  wanted: number,
): Transfer {
  const { team, units } = demand;
  const missingUnits = Math.max(0, slotsToUnits(targetSlots, team.limitSlots) - units);
  const takenUnits = Math.min(free, missingUnits);
  const nextSlots = unitsToSlots(units + takenUnits, team.limitSlots);
  const isSlotGained = nextSlots > unitsToSlots(units, team.limitSlots);
  const cappedTargetSlots = Math.min(targetSlots, team.limitSlots);
  const gainedUnits = isSlotGained ? takenUnits : 0;
  const missingSlots = Math.max(
    0,
    cappedTargetSlots - unitsToSlots(units + gainedUnits, team.limitSlots),
  );
  return {
    units: units + gainedUnits,
    free: free - gainedUnits,
    wanted: missingSlots > 0 ? Math.max(wanted, missingSlots) : wanted,
  };
}

/** Returns half of the idle slots, so that the shard can still start work, and any partial slot. */
function planReturn(demand: TeamDemand, free: number, wanted: number): Transfer {
  const { team, units, usedSlots } = demand;
  const allottedSlots = unitsToSlots(units, team.limitSlots);
  const idleSlots = allottedSlots - usedSlots;
  const returnedSlots = Math.min(Math.ceil(idleSlots / 2), wanted);
  const keptUnits = Math.min(units, slotsToUnits(allottedSlots - returnedSlots, team.limitSlots));
  return { units: keptUnits, free: free + units - keptUnits, wanted: wanted - returnedSlots };
}

function planTransfer(demand: TeamDemand, free: number, wanted: number): Transfer {
  const { team, units, usedSlots, shortageSlots } = demand;
  const allottedSlots = unitsToSlots(units, team.limitSlots);
  if (usedSlots + shortageSlots > allottedSlots) {
    // Growth in proportion to usage reaches any allotment within a few transactions.
    const growthSlots = Math.max(shortageSlots, Math.ceil(usedSlots * MIN_GROWTH_FRACTION));
    return planAcquisition(demand, usedSlots + growthSlots, free, wanted);
  }
  if (!demand.hasEntry) {
    const equalShareSlots = Math.max(1, Math.floor(team.limitSlots / demand.shardCount));
    return { ...planAcquisition(demand, equalShareSlots, free, wanted), wanted };
  }
  if (wanted > 0 && shortageSlots === 0 && !demand.isInDoubt)
    return planReturn(demand, free, wanted);
  return { units, free, wanted };
}

/**
 * Plans one transaction for all teams and owned shards.
 * @param input - the rows as read, usage, shortages and limits
 * @returns the rows to write
 */
export function createEscrowPlan({
  teams,
  pool,
  allotments,
  context,
  ...input
}: EscrowPlanInput): EscrowPlan {
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
      const demand: TeamDemand = {
        team,
        units: units[teamId] ?? 0,
        hasEntry: teamId in units,
        usedSlots: context.getUsedSlots(shardId, teamId),
        shortageSlots: input.getShortageSlots(shardId, teamId),
        shardCount: Math.max(1, context.shardCount),
        isInDoubt: allotment.isInDoubt,
      };
      const transfer = planTransfer(demand, free[teamId] ?? TOTAL_UNITS, wanted[teamId] ?? 0);
      isChanged ||= transfer.units !== units[teamId];
      units[teamId] = transfer.units;
      free[teamId] = transfer.free;
      if (transfer.wanted > 0) wanted[teamId] = transfer.wanted;
      else delete wanted[teamId];
    });
    // A row in doubt is rewritten even if unchanged, since only a new version resolves the doubt.
    if (isChanged || allotment.isInDoubt) shards.push({ shardId, units });
  });
  const isWantedUnchanged = JSON.stringify(wanted) === JSON.stringify(pool.wanted);
  return { pool: { free, wanted }, shards, isEmpty: shards.length === 0 && isWantedUnchanged };
}
