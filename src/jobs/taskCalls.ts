/** Records of task runs kept by their owner, and the calls to targets and homes about them. */

import type { Charge, Target } from '../placement/types';
import type { StartPermit } from '../requests/types';
import type { TargetCall } from '../target/types';
import { toId } from '../types/ids';
import type { Epoch, JobId, TaskId } from '../types/ids';
import { TASK_LEASE_MS } from './targetLeaseTracker';
import type { TaskAnnotation, TaskStatusUpdate, TaskRun, TaskStart } from './types';

/** Timeout of a call to a target. */
export const TARGET_CALL_TIMEOUT_MS = 2_000;

/** Identifies the call that a target's result belongs to. */
export type TaskOrigin =
  | { readonly kind: 'taskStart'; readonly runId: TaskId }
  | { readonly kind: 'taskStop'; readonly runId: TaskId }
  | { readonly kind: 'taskAcknowledge'; readonly runId: TaskId }
  /** A checkpoint before the stop of a run that exceeds its team's limit or is to be resumed elsewhere. */
  | { readonly kind: 'taskCheckpoint'; readonly runId: TaskId }
  | { readonly kind: 'taskSurplusStop'; readonly runId: TaskId };

/** An effect for the scheduler to perform on behalf of the task runner. */
export type TaskEffect =
  | {
      readonly kind: 'callTarget';
      readonly origin: TaskOrigin;
      readonly address: string;
      readonly call: TargetCall;
      readonly timeoutMs: number;
      readonly notAfterMs: number;
    }
  | { readonly kind: 'tellHome'; readonly news: TaskStatusUpdate };

/** Reason for a call that stops a run, or that lets its target forget an ended one. */
export type StopKind = 'taskStop' | 'taskSurplusStop' | 'taskAcknowledge';

/** A task run on a target, or the capacity reserved for it. */
export interface TaskRunRecord {
  /** Identifies the run on its target. */
  readonly runId: TaskId;
  readonly run: TaskRun;
  readonly jobId: JobId;
  readonly target: Target;
  readonly serviceName: string;
  readonly charge: Charge;
  state: 'reserved' | 'starting' | 'running' | 'ended';
  reservedUntilMs: number;
  /** A report that was requested after this time and does not list the run proves that it ended. */
  reportsConclusiveAfterMs: number;
  /** Final status; sent repeatedly until the home acknowledges that it is durable. */
  finalUpdate: TaskStatusUpdate | undefined;
  nextNotificationAtMs: number;
  /** The run is being checkpointed and stopped, because its team exceeds its limit or to be resumed elsewhere. */
  isPreempted: boolean;
  /** Last reported checkpoint, as a fraction of the task. */
  checkpointFraction: number;
}

/**
 * Gets the id of a run on its target. Each attempt has its own id, so that the end of one attempt is
 * never mistaken for the end of another.
 * @param run - the task and its attempt
 * @returns the id
 */
export function getRunId({ taskId, attempt }: TaskRun): TaskId {
  return toId<TaskId>(`${taskId}~${attempt}`);
}

/**
 * Parses the annotation of a started task.
 * @param text - the annotation in a target's report
 * @returns the annotation
 */
export function parseAnnotation(text: string): TaskAnnotation {
  return JSON.parse(text) as TaskAnnotation;
}

/**
 * Creates the call that starts a run.
 * @param start - the start parameters of the task
 * @param runId - id of the run
 * @param target - the target to start it on
 * @param permit - permission to start it
 * @returns the call
 */
export function createStartCall(
  start: TaskStart,
  runId: TaskId,
  target: Target,
  permit: StartPermit,
): TaskEffect {
  const annotation: TaskAnnotation = {
    taskId: start.taskId,
    attempt: start.placement.attempt,
    jobId: start.jobId,
    queueId: start.queueId,
    serviceName: start.serviceName,
    dataCentreId: target.dataCentreId,
  };
  return {
    kind: 'callTarget',
    origin: { kind: 'taskStart', runId },
    address: target.address,
    call: {
      kind: 'startTask',
      token: { shardId: target.shardId, epoch: permit.epoch },
      taskId: runId,
      teamId: start.teamId,
      demand: start.demand,
      leaseMs: TASK_LEASE_MS,
      runMs: start.runMs,
      resumeFraction: start.resumeFraction,
      annotation: JSON.stringify(annotation),
    },
    timeoutMs: TARGET_CALL_TIMEOUT_MS,
    notAfterMs: permit.untilMs,
  };
}

/**
 * Creates a status update for a run's home.
 * @param run - the run
 * @param epoch - epoch of the reporting owner
 * @param state - status of the run
 * @param checkpointFraction - progress that a later run can resume from
 * @returns the effect that sends the status update
 */
export function createStatusUpdate(
  { run, jobId, target }: TaskRunRecord,
  epoch: Epoch,
  state: TaskStatusUpdate['state'],
  checkpointFraction: number,
): Extract<TaskEffect, { kind: 'tellHome' }> {
  const { targetId } = target;
  return {
    kind: 'tellHome',
    news: { ...run, jobId, epoch, targetId, state, checkpointFraction },
  };
}

/**
 * Creates the call that stops a run, or that lets its target forget an ended one.
 * @param target - the target of the run
 * @param permit - ownership of the target
 * @param runId - id of the run
 * @param kind - reason for the call
 * @returns the call
 */
export function createStopCall(
  target: Target,
  permit: StartPermit,
  runId: TaskId,
  kind: StopKind,
): TaskEffect {
  return {
    kind: 'callTarget',
    origin: { kind, runId },
    address: target.address,
    call: {
      kind: kind === 'taskAcknowledge' ? 'acknowledge' : 'stop',
      token: { shardId: target.shardId, epoch: permit.epoch },
      taskId: runId,
    },
    timeoutMs: TARGET_CALL_TIMEOUT_MS,
    notAfterMs: permit.untilMs,
  };
}
