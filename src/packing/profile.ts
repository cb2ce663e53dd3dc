/**
 * Profile of the targets of one service: their sizes, and how scarce each resource is. It answers targets of half, once
 * and twice the nominal size, on which a sum of fractions of the target's own capacity counts the same number of free
 * cores four times as much on the smallest as on the largest.
 */

import type { TaskDemand } from '../work/types';

/** Spread of sizes. The median of each resource is the unit in which costs are expressed. */
export interface SizeProfile {
  /** Whether any two targets differ in a resource. */
  readonly isUneven: boolean;
  readonly median: TaskDemand;
}

/** Weight of each resource: its fraction in use relative to that of the scarcest one. */
export interface Scarcity {
  readonly cpu: number;
  readonly memory: number;
  readonly accelerators: number;
}

/** Weights while nothing is in use. */
const NO_SCARCITY: Scarcity = { cpu: 1, memory: 1, accelerators: 1 };

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/**
 * Describes the sizes of targets.
 * @param capacities - their capacities
 * @returns the profile; it stays the same until registrations change
 */
export function createSizeProfile(capacities: readonly TaskDemand[]): SizeProfile {
  const [first] = capacities;
  const isUneven = capacities.some(
    ({ cpuMillis, memoryMb, accelerators }) =>
      cpuMillis !== first?.cpuMillis ||
      memoryMb !== first.memoryMb ||
      accelerators !== first.accelerators,
  );
  const median = {
    cpuMillis: getMedian(capacities.map(({ cpuMillis }) => cpuMillis)),
    memoryMb: getMedian(capacities.map(({ memoryMb }) => memoryMb)),
    accelerators: getMedian(capacities.map(({ accelerators }) => accelerators)),
  };
  return { isUneven, median };
}

/**
 * Computes the weights of resources.
 * @param capacity - total capacity of the targets
 * @param free - total free capacity
 * @returns the weights, 1 for the scarcest resource
 */
export function getScarcity(capacity: TaskDemand, free: TaskDemand): Scarcity {
  const getUsed = (total: number, remaining: number) =>
    total <= 0 ? 0 : Math.max(0, 1 - remaining / total);
  const cpu = getUsed(capacity.cpuMillis, free.cpuMillis);
  const memory = getUsed(capacity.memoryMb, free.memoryMb);
  const accelerators = getUsed(capacity.accelerators, free.accelerators);
  const max = Math.max(cpu, memory, accelerators);
  if (max === 0) return NO_SCARCITY;
  return { cpu: cpu / max, memory: memory / max, accelerators: accelerators / max };
}
