/**
 * Cost of a placement on uneven targets. It answers batch tasks of 9 cores beside urgent ones of 4.5 on targets of 16,
 * 32 and 64 cores: the free capacity that a placement leaves is counted in units that are the same for all targets, and
 * a resource counts as much as it is scarce. It also answers speeds of 0.8 to 1.3: urgent tasks and the last ones of a
 * step go to fast targets.
 */

import type { TaskDemand } from '../work/types';
import type { Scarcity, SizeProfile } from './profile';

/** Cost per unit of relative slowness. A pressing task takes a faster target at the cost of a worse fit. */
const SPEED_WEIGHTS = { usual: 1, pressing: 2 } as const;

/**
 * Computes the cost of the capacity that remains free.
 * @param demand - demand of the task
 * @param free - free capacity of the target
 * @param sizes - sizes of the service's targets
 * @param scarcity - weights of the resources
 * @returns the weighted sum of what remains of each resource, in units of the median target
 */
export function getRemainderCost(
  demand: TaskDemand,
  free: TaskDemand,
  { median }: SizeProfile,
  scarcity: Scarcity,
): number {
  const cpu = (free.cpuMillis - demand.cpuMillis) / Math.max(median.cpuMillis, 1);
  const memory = (free.memoryMb - demand.memoryMb) / Math.max(median.memoryMb, 1);
  const accelerators = (free.accelerators - demand.accelerators) / Math.max(median.accelerators, 1);
  return scarcity.cpu * cpu + scarcity.memory * memory + scarcity.accelerators * accelerators;
}

/**
 * Computes the cost of a target's speed.
 * @param slowness - duration of its runs relative to the usual one
 * @param isPressing - whether the end of the task matters more than its place
 * @returns the cost; negative for a fast target
 */
export function getSpeedCost(slowness: number, isPressing: boolean): number {
  return (isPressing ? SPEED_WEIGHTS.pressing : SPEED_WEIGHTS.usual) * (slowness - 1);
}
