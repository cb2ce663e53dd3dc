/** Chooses which running tasks leave a data centre that was taken out of service. */

import { getPlacement, isEnded } from './job';
import type { KeptJob, KeptTask } from './job';
import type { PlacementView } from './placer';

/** Tasks that one home moves at a time; bounds the load on the data centres that stay. */
export const MAX_MOVING_TASKS = 32;
/** Part of a service's replicas that may be away at once; at least one replica moves. */
const MOVING_REPLICA_FRACTION = 0.25;

function isLeaving(task: KeptTask, view: PlacementView): boolean {
  const placement = getPlacement(task);
  return (
    task.state.kind === 'running' &&
    placement !== undefined &&
    view.isOutOfService(placement.shardId)
  );
}

/** How many tasks of a job may be away from their targets at once. */
function getMovableCount(job: KeptJob): number {
  switch (job.spec.policy.kind) {
    case 'service': {
      const awayCount = job.tasks.filter((task) => task.state.kind !== 'running').length;
      const allowed = Math.max(1, Math.floor(job.tasks.length * MOVING_REPLICA_FRACTION));
      return Math.max(0, allowed - awayCount);
    }
    case 'gang':
      // A gang would have to be reserved anew as a whole; it runs to its end where it is.
      return 0;
    default:
      return job.tasks.length;
  }
}

/**
 * Lists the running tasks that are to be checkpointed, stopped and placed elsewhere, as far as there
 * is room for them. What has no room elsewhere runs on.
 * @param jobs - jobs that have not come to rest
 * @param view - the cluster
 * @returns the tasks
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
