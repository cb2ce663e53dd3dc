/** Selects the running tasks to move away from data centres that were taken out of service. */

import { getPlacement, isEnded } from './job';
import type { KeptJob, KeptTask } from './job';
import type { PlacementView } from './placer';

/** Tasks that one home evacuates at a time; bounds the load on the remaining data centres. */
export const MAX_MOVING_TASKS = 32;
/** Fraction of a service's replicas that may be unavailable at once; at least one replica may move. */
const MOVING_REPLICA_FRACTION = 0.25;

function isLeaving(task: KeptTask, view: PlacementView): boolean {
  const placement = getPlacement(task);
  return (
    task.state.kind === 'running' &&
    placement !== undefined &&
    view.isOutOfService(placement.shardId)
  );
}

/** Returns how many further tasks of a job may be evacuated now. */
function getMovableCount(job: KeptJob): number {
  switch (job.spec.policy.kind) {
    case 'service': {
      const awayCount = job.tasks.filter((task) => task.state.kind !== 'running').length;
      const allowed = Math.max(1, Math.floor(job.tasks.length * MOVING_REPLICA_FRACTION));
      return Math.max(0, allowed - awayCount);
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
export function getMovedTasks(
  jobs: readonly KeptJob[],
  view: PlacementView,
): ReadonlySet<KeptTask> {
  const moved = new Set<KeptTask>();
  let freeSlots = view.rooms.reduce((sum, room) => sum + room.freeSlots, 0);
  jobs.forEach((job) => {
    if (isEnded(job.phase)) return;
    const { demand } = job.spec;
    const leaving = job.tasks.filter((task) => isLeaving(task, view));
    if (leaving.length === 0) return;
    const isRoomy = view.rooms.some(
      (room) => room.freeSlots >= demand.slots && view.isLargeEnough(room.shardId, demand),
    );
    if (!isRoomy) return;
    leaving.slice(0, getMovableCount(job)).forEach((task) => {
      if (moved.size >= MAX_MOVING_TASKS || freeSlots < demand.slots) return;
      freeSlots -= demand.slots;
      moved.add(task);
    });
  });
  return moved;
}
