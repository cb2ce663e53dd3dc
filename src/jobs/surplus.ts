/** Chooses which tasks end when more of a team runs than its limit allows. */

/** A running task that could be stopped. */
export interface SurplusCandidate {
  readonly slots: number;
  /** Empty for work other than a replica of a service. */
  readonly serviceName: string;
  /** True when it is being stopped already. */
  readonly isStopping: boolean;
}

/**
 * Picks tasks in the order in which they are stopped: batch, gang and watch tasks before replicas of
 * services, and of each the latest started first, since it has the least to lose.
 * @param candidates - the team's tasks on the shard, earliest started first
 * @param slots - how much has to end; what is being stopped already counts
 * @returns the tasks to stop now
 */
export function pickSurplus<T extends SurplusCandidate>(
  candidates: readonly T[],
  slots: number,
): readonly T[] {
  const latestFirst = [...candidates].reverse();
  const ordered = [
    ...latestFirst.filter((candidate) => candidate.serviceName === ''),
    ...latestFirst.filter((candidate) => candidate.serviceName !== ''),
  ];
  let leftSlots = ordered
    .filter((candidate) => candidate.isStopping)
    .reduce((left, candidate) => left - candidate.slots, slots);
  return ordered.filter((candidate) => {
    if (candidate.isStopping || leftSlots <= 0) return false;
    leftSlots -= candidate.slots;
    return true;
  });
}
