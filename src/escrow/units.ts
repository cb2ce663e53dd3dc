/** Allotments in fractions of a team's limit, so that a change of the limit needs no write. */

/** The units that make up the whole limit of one team, whatever the limit is. */
export const WHOLE_UNITS = 1_000_000_000;

/** More shards than this never hold units of one team. */
export const MAX_SHARD_COUNT = 1_000;

/** Limits above this are taken as this, so that products stay exact. */
const MAX_LIMIT_SLOTS = 9_000_000;

/**
 * Gets the units that every holder may round up by. While all holders together round up by less
 * than one slot, the whole slots that they get still sum up to no more than the limit.
 */
function getRoundingUnits(limitSlots: number): number {
  return limitSlots * MAX_SHARD_COUNT < WHOLE_UNITS ? 1 : 0;
}

/**
 * Converts units to slots. The slots of any holders whose units sum up to no more than
 * `WHOLE_UNITS` sum up to no more than the limit.
 * @param units - the units held
 * @param limitSlots - the team's limit in force
 * @returns whole slots
 */
export function getSlots(units: number, limitSlots: number): number {
  if (units <= 0 || limitSlots <= 0) return 0;
  const limit = Math.min(limitSlots, MAX_LIMIT_SLOTS);
  const product = (units + getRoundingUnits(limit)) * limit;
  return (product - (product % WHOLE_UNITS)) / WHOLE_UNITS;
}

/**
 * Converts slots to units.
 * @param slots - the slots wanted, no more than the limit
 * @param limitSlots - the team's limit in force, above 0
 * @returns the fewest units that give as many slots
 */
export function getUnits(slots: number, limitSlots: number): number {
  if (slots <= 0) return 0;
  const limit = Math.min(limitSlots, MAX_LIMIT_SLOTS);
  const units = Math.ceil((Math.min(slots, limit) * WHOLE_UNITS) / limit);
  return Math.max(1, units - getRoundingUnits(limit));
}
