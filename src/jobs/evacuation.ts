/** Selects the running tasks to move away from data centres that were taken out of service. */

import { getPlacement, isTerminalPhase } from './job';
import type { JobRecord, TaskRecord } from './job';
import type { PlacementView } from './placer';

/** Tasks that one home evacuates at a time; bounds the load on the remaining data centres. */
export const MAX_EVACUATING_TASKS = 32;
/** Fraction of a service's replicas that may be unavailable at once; at least one replica may move. */
const MAX_UNAVAILABLE_REPLICA_FRACTION = 0.25;

function needsEvacuation(task: TaskRecord, view: PlacementView): boolean {
  const placement = getPlacement(task);
  return (
    task.state.kind === 'running' &&
    placement !== undefined &&
    view.isOutOfService(placement.shardId)
  );
}

/** Returns how many further tasks of a job may be evacuated now. */
function getEvacuationLimit(job: JobRecord): number {
  switch (job.spec.policy.kind) {
    case 'service': {
      const unavailableCount = job.tasks.filter((task) => task.state.kind !== 'running').length;
      const maxUnavailable = Math.max(
        1,
        Math.floor(job.tasks.length * MAX_UNAVAILABLE_REPLICA_FRACTION),
      );
      return Math.max(0, maxUnavailable - unavailableCount);
    }
    case 'gang':
      // Moving a gang would require reserving all of it again, so it runs to completion in place.
      return 0;
    default:
      return job.tasks.length;
  }
}

/**
 * Selects running tasks to checkpoint, stop and place elsewhere. Tasks for which the rest of the
 * cluster has no free capacity keep running.
 * @param jobs - the active jobs
 * @param view - current view of the cluster
 * @returns the tasks to evacuate
 */
export function selectTasksToEvacuate(
  jobs: readonly JobRecord[],
  view: PlacementView,
): ReadonlySet<TaskRecord> {
  const selected = new Set<TaskRecord>();
  let freeSlots = view.shards.reduce((sum, shard) => sum + shard.freeSlots, 0);
  jobs.forEach((job) => {
    if (isTerminalPhase(job.phase)) return;
    const { demand } = job.spec;
    const toEvacuate = job.tasks.filter((task) => needsEvacuation(task, view));
    if (toEvacuate.length === 0) return;
    const hasCapacity = view.shards.some(
      (shard) => shard.freeSlots >= demand.slots && view.isLargeEnough(shard.shardId, demand),
    );
    if (!hasCapacity) return;
    toEvacuate.slice(0, getEvacuationLimit(job)).forEach((task) => {
      if (selected.size >= MAX_EVACUATING_TASKS || freeSlots < demand.slots) return;
      freeSlots -= demand.slots;
      selected.add(task);
    });
  });
  return selected;
}
