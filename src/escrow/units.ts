/**
 * Converts between slots and units. Units are fractions of a team's limit, so that a change of the
 * limit needs no write.
 */

/** Number of units in the limit of a team, regardless of the limit. */
export const TOTAL_UNITS = 1_000_000_000;

/** Maximum number of shards that hold units of one team. */
export const MAX_SHARD_COUNT = 1_000;

/** Larger limits are capped at this value, so that products remain exact integers. */
const MAX_LIMIT_SLOTS = 9_000_000;

/**
 * Gets the number of units by which each holder may round up. While all holders together round up
 * by less than one slot, the sum of their whole slots still does not exceed the limit.
 */
function getRoundingUnits(limitSlots: number): number {
  return limitSlots * MAX_SHARD_COUNT < TOTAL_UNITS ? 1 : 0;
}

/**
 * Converts units to slots. If the units of all holders add up to at most `TOTAL_UNITS`, their slots
 * add up to at most the limit.
 * @param units - the units held
 * @param limitSlots - the current limit of the team
 * @returns the number of whole slots
 */
export function unitsToSlots(units: number, limitSlots: number): number {
  if (units <= 0 || limitSlots <= 0) return 0;
  const limit = Math.min(limitSlots, MAX_LIMIT_SLOTS);
  const product = (units + getRoundingUnits(limit)) * limit;
  return (product - (product % TOTAL_UNITS)) / TOTAL_UNITS;
}

/**
 * Converts slots to units.
 * @param slots - the number of slots, at most the limit
 * @param limitSlots - the current limit of the team, greater than 0
 * @returns the minimum number of units that convert to as many slots
 */
export function slotsToUnits(slots: number, limitSlots: number): number {
  if (slots <= 0) return 0;
  const limit = Math.min(limitSlots, MAX_LIMIT_SLOTS);
  const units = Math.ceil((Math.min(slots, limit) * TOTAL_UNITS) / limit);
  return Math.max(1, units - getRoundingUnits(limit));
}
