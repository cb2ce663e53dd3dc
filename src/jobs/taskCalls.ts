/** Runs of tasks as their owner keeps them, and the calls to targets about them. */

import type { Charge, Target } from '../placement/types';
import type { StartPermit } from '../requests/types';
import type { TargetCall } from '../target/types';
import { toId } from '../types/ids';
import type { Epoch, JobId, TaskId } from '../types/ids';
import { TASK_LEASE_MS } from './targetContacts';
import type { TaskAnnotation, TaskNews, TaskRun, TaskStart } from './types';

/** How long a call to a target may take. */
export const TARGET_TIMEOUT_MS = 2_000;

/** Which call a target's result belongs to. */
export type TaskOrigin =
  | { readonly kind: 'taskStart'; readonly runId: TaskId }
  | { readonly kind: 'taskStop'; readonly runId: TaskId }
  | { readonly kind: 'taskAcknowledge'; readonly runId: TaskId }
  /** A checkpoint that is followed by a stop, for a run above its team's limit. */
  | { readonly kind: 'taskCheckpoint'; readonly runId: TaskId }
  | { readonly kind: 'taskSurplusStop'; readonly runId: TaskId };

/** What the task runner wants done. */
export type TaskEffect =
  | {
      readonly kind: 'callTarget';
      readonly origin: TaskOrigin;
      readonly address: string;
      readonly call: TargetCall;
      readonly timeoutMs: number;
      readonly notAfterMs: number;
    }
  | { readonly kind: 'tellHome'; readonly news: TaskNews };

/** Why a target is told to end or to forget a run. */
export type StopKind = 'taskStop' | 'taskSurplusStop' | 'taskAcknowledge';

/** A run on a target, or room that is held for it. */
export interface RunningTask {
  /** Names this run to the target. */
  readonly runId: TaskId;
  readonly run: TaskRun;
  readonly jobId: JobId;
  readonly target: Target;
  readonly serviceName: string;
  readonly charge: Charge;
  state: 'reserved' | 'starting' | 'running' | 'ended';
  reservedUntilMs: number;
  /** A report that was asked for after this time and doesn't list the run proves that it ended. */
  certainAfterMs: number;
  /** Told until the home has made it durable. */
  end: TaskNews | undefined;
  nextTellMs: number;
  /** It is checkpointed and stopped for its team's limit. */
  isSurplus: boolean;
  /** As last reported; a stop resumes from here. */
  checkpointFraction: number;
}

/**
 * Gets the name of a run on its target. Each attempt has its own, so that the end of one is never
 * taken for the end of another.
 * @param run - the task and its attempt
 * @returns the name
 */
export function getRunId({ taskId, attempt }: TaskRun): TaskId {
  return toId<TaskId>(`${taskId}~${attempt}`);
}

/**
 * Reads back what was attached to a start.
 * @param text - from a target's report
 * @returns the annotation
 */
export function parseAnnotation(text: string): TaskAnnotation {
  return JSON.parse(text) as TaskAnnotation;
}

/**
 * Builds the call that starts a run.
 * @param start - the task
 * @param runId - names the run
 * @param target - where
 * @param permit - the right to start it
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
    timeoutMs: TARGET_TIMEOUT_MS,
    notAfterMs: permit.untilMs,
  };
}

/**
 * Builds what a run's home is told.
 * @param run - the run
 * @param epoch - under which the owner speaks
 * @param state - what became of it
 * @param checkpointFraction - progress that a later run can resume from
 * @returns the news
 */
export function createNews(
  { run, jobId, target }: RunningTask,
  epoch: Epoch,
  state: TaskNews['state'],
  checkpointFraction: number,
): Extract<TaskEffect, { kind: 'tellHome' }> {
  const { targetId } = target;
  return {
    kind: 'tellHome',
    news: { ...run, jobId, epoch, targetId, state, checkpointFraction },
  };
}

/**
 * Builds the call that ends a run, or lets its target forget an ended one.
 * @param target - where it runs
 * @param permit - the ownership of the target
 * @param runId - which run
 * @param kind - why
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
    timeoutMs: TARGET_TIMEOUT_MS,
    notAfterMs: permit.untilMs,
  };
}
