/** Applies owners' status updates to the tasks of a job at its home. */

import { assertNever } from '../types/debug';
import { isTerminalPhase, isLongRunning } from './job';
import type { JobRecord, TaskRecord } from './job';
import type { TaskStatusUpdate } from './types';

/** Failures after which a batch or gang task fails its job. */
export const MAX_TASK_FAILURES = 5;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 5_000;
const MAX_BACKOFF_DOUBLINGS = 5;

/** Whether a change has to be journaled. */
export type ChangeDurability = 'durable' | 'volatile';

function delayPlacement(nowMs: number, job: JobRecord, retryCount: number): void {
  const delayMs = MIN_BACKOFF_MS * 2 ** Math.min(retryCount, MAX_BACKOFF_DOUBLINGS);
  job.nextPlacementAtMs = nowMs + Math.min(delayMs, MAX_BACKOFF_MS);
}

/** Ends the placement: the task becomes pending again, or stopped if its job has ended. */
function endPlacement(job: JobRecord, task: TaskRecord): void {
  task.state = isTerminalPhase(job.phase) ? { kind: 'stopped' } : { kind: 'pending' };
  task.confirmedEpoch = undefined;
}

function applyFailure(nowMs: number, job: JobRecord, task: TaskRecord): void {
  task.failureCount += 1;
  if (isLongRunning(job.spec.policy) || task.failureCount < MAX_TASK_FAILURES) {
    delayPlacement(nowMs, job, task.failureCount);
    endPlacement(job, task);
    return;
  }
  task.state = { kind: 'failed' };
  job.note = `task ${task.taskId} failed ${task.failureCount} times`;
}

/**
 * Applies a status update for the current placement of a task.
 * @param nowMs - current time on this process's clock
 * @param job - the task's job, changed in place
 * @param task - the task, changed in place
 * @param update - the status update from the owner
 * @returns whether the change has to be journaled
 */
export function applyStatusUpdate(
  nowMs: number,
  job: JobRecord,
  task: TaskRecord,
  update: TaskStatusUpdate,
): ChangeDurability {
  const { state } = task;
  if (state.kind !== 'assigned' && state.kind !== 'running') return 'volatile';
  const { placement } = state;
  switch (update.state) {
    case 'reserved':
      job.consecutiveRefusalCount = 0;
      return 'volatile';
    case 'running':
      // Needs no journal entry: after a restart, the home learns from the owner that the task runs.
      task.state = { kind: 'running', placement, targetId: update.targetId };
      task.confirmedEpoch = update.epoch;
      job.consecutiveRefusalCount = 0;
      return 'volatile';
    case 'finished':
      if (isLongRunning(job.spec.policy)) endPlacement(job, task);
      else task.state = { kind: 'finished' };
      task.checkpointFraction = isLongRunning(job.spec.policy) ? 0 : 1;
      return 'durable';
    case 'failed':
      applyFailure(nowMs, job, task);
      return 'durable';
    case 'stopped':
      task.checkpointFraction = Math.max(task.checkpointFraction, update.checkpointFraction);
      endPlacement(job, task);
      return 'durable';
    case 'refused':
      task.refusedShardId = placement.shardId;
      job.consecutiveRefusalCount += 1;
      delayPlacement(nowMs, job, job.consecutiveRefusalCount);
      endPlacement(job, task);
      return 'volatile';
    case 'absent':
      endPlacement(job, task);
      return 'volatile';
    default:
      return assertNever(update.state);
  }
}
