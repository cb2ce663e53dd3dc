/** Resource amounts: capacities of targets and demands of work. */

/** An amount of each resource of a target. */
export interface ResourceVector {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly slots: number;
  readonly connections: number;
}

/** The resources of a vector, in reporting order. */
export const RESOURCE_KINDS = [
  'cpuMillis',
  'memoryMb',
  'accelerators',
  'slots',
  'connections',
] as const;

export type ResourceKind = (typeof RESOURCE_KINDS)[number];

export const NO_RESOURCES: ResourceVector = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
  slots: 0,
  connections: 0,
};

/**
 * Adds a vector and a multiple of another one.
 * @param left - first vector
 * @param right - second vector
 * @param factor - multiplier of the second vector; -1 subtracts it
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
 * Checks whether a demand fits into the free amount of every resource.
 * @param demand - amounts needed
 * @param free - amounts available
 * @returns true when no resource would be exceeded
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
 * Gets the fraction of the capacity that a demand takes of its dominant resource.
 * @param demand - amounts used or needed
 * @param capacity - total amounts; a resource without capacity is ignored unless the demand includes it
 * @returns the dominant fraction, from 0 to infinity
 */
export function getDominantFraction(demand: ResourceVector, capacity: ResourceVector): number {
  return RESOURCE_KINDS.reduce((largest, kind) => {
    if (demand[kind] === 0) return largest;
    return Math.max(largest, demand[kind] / capacity[kind]);
  }, 0);
}
