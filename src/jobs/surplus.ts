/** Selects the tasks to stop when a team uses more slots than its limit allows. */

/** A running task that could be stopped. */
export interface SurplusCandidate {
  readonly slots: number;
  /** Empty unless the task is a replica of a service. */
  readonly serviceName: string;
  /** True if the task is already being stopped. */
  readonly isStopping: boolean;
}

/**
 * Selects the tasks to stop. Batch, gang and watch tasks go before replicas of services; within each
 * group the most recently started task goes first, because it loses the least progress.
 * @param candidates - the team's running tasks on the shard, in the order in which they started
 * @param slots - number of slots to free, including those of tasks that are already being stopped
 * @returns the tasks to stop now
 */
export function selectTasksToStop<T extends SurplusCandidate>(
  candidates: readonly T[],
  slots: number,
): readonly T[] {
  const latestFirst = [...candidates].reverse();
  const inStopOrder = [
    ...latestFirst.filter((candidate) => candidate.serviceName === ''),
    ...latestFirst.filter((candidate) => candidate.serviceName !== ''),
  ];
  let remainingSlots = inStopOrder
    .filter((candidate) => candidate.isStopping)
    .reduce((left, candidate) => left - candidate.slots, slots);
  return inStopOrder.filter((candidate) => {
    if (candidate.isStopping || remainingSlots <= 0) return false;
    remainingSlots -= candidate.slots;
    return true;
  });
}
