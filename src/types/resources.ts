/** Amounts of what a target offers and what work takes of it. */

/** Capacity or demand on every budget of a target. */
export interface ResourceVector {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly slots: number;
  readonly connections: number;
}

/** The budgets of a vector, in the order in which they are reported. */
export const RESOURCE_KINDS = [
  'cpuMillis',
  'memoryMb',
  'accelerators',
  'slots',
  'connections',
] as const;

/** Name of one budget. */
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** The vector with nothing in it. */
export const NO_RESOURCES: ResourceVector = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/**
 * Adds two vectors, the second scaled.
 * @param left - the first vector
 * @param right - the second vector
 * @param factor - scales the second; -1 subtracts
 * @returns left + factor * right
 */
export function addResources(
  left: ResourceVector,
  right: ResourceVector,
  factor = 1,
): ResourceVector {
  return {
    cpuMillis: left.cpuMillis + factor * right.cpuMillis,
    memoryMb: left.memoryMb + factor * right.memoryMb,
    accelerators: left.accelerators + factor * right.accelerators,
    slots: left.slots + factor * right.slots,
    connections: left.connections + factor * right.connections,
  };
}

/**
 * Asks whether a demand fits into what is free, on every budget.
 * @param demand - what is wanted
 * @param free - what is left
 * @returns true when no budget would be exceeded
 */
export function isFitting(demand: ResourceVector, free: ResourceVector): boolean {
  return (
    demand.cpuMillis <= free.cpuMillis &&
    demand.memoryMb <= free.memoryMb &&
    demand.accelerators <= free.accelerators &&
    demand.slots <= free.slots &&
    demand.connections <= free.connections
  );
}

/**
 * Gets the largest fraction of any budget that a demand takes.
 * @param demand - what is used or wanted
 * @param capacity - the whole; a budget of 0 counts only when something of it is wanted
 * @returns the dominant fraction, 0 to infinity
 */
export function getDominantFraction(demand: ResourceVector, capacity: ResourceVector): number {
  return RESOURCE_KINDS.reduce((largest, kind) => {
    if (demand[kind] === 0) return largest;
    return Math.max(largest, demand[kind] / capacity[kind]);
  }, 0);
}
