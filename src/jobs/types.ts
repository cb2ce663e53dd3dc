/** Types of jobs, of their tasks, and of the messages between job homes and shard owners. */

import type {
  DataCentreId,
  Epoch,
  JobId,
  QueueId,
  ShardId,
  TargetId,
  TaskId,
  TeamId,
} from '../types/ids';
import type { ResourceVector } from '../types/resources';

/** The kind of a job, with the settings of that kind. */
export type JobPolicy =
  /** Keeps `replicas` tasks running; requests to the service are routed to them. */
  | { readonly kind: 'service'; readonly serviceName: string; readonly replicas: number }
  /** Runs each task to completion once, before the deadline if one is set. */
  | { readonly kind: 'batch'; readonly taskCount: number; readonly deadlineMs?: number }
  /** Starts either all tasks together or none. */
  | { readonly kind: 'gang'; readonly taskCount: number }
  /** Keeps one task running until the job is cancelled. */
  | { readonly kind: 'watch' };

/** A job as submitted. */
export interface JobSpec {
  readonly jobId: JobId;
  readonly queueId: QueueId;
  readonly policy: JobPolicy;
  /** Declared resource demand of one task; often inaccurate. */
  readonly demand: ResourceVector;
  /** Expected run time of one task; ignored for services and watches. */
  readonly expectedRunMs: number;
}

/**
 * Permission for the owner of a shard to start a task once. It is valid only in this epoch of the
 * shard: a later owner never starts the task, so it can report reliably whether the task runs.
 */
export interface TaskPlacement {
  /** Increases with each placement of the task. */
  readonly attempt: number;
  readonly shardId: ShardId;
  readonly epoch: Epoch;
}

/** State of a task. */
export type TaskState =
  | { readonly kind: 'pending' }
  /** An owner may have started the task; only a status update from an owner changes this state. */
  | { readonly kind: 'assigned'; readonly placement: TaskPlacement }
  | {
      readonly kind: 'running';
      readonly placement: TaskPlacement;
      readonly targetId: TargetId;
    }
  | { readonly kind: 'finished' }
  | { readonly kind: 'failed' }
  /** The task ended because its job was cancelled or failed. */
  | { readonly kind: 'stopped' };

/** One task of a job. */
export interface Task {
  readonly taskId: TaskId;
  readonly state: TaskState;
  /** Attempt number of the latest placement; 0 before the first. */
  readonly attempt: number;
  readonly failureCount: number;
  readonly checkpointFraction: number;
}

/** Overall state of a job. */
export type JobPhase =
  | 'accepted'
  | 'running'
  | 'finished'
  | 'failed'
  | 'cancelled'
  /** No target is large enough; the job starts once one joins. */
  | 'unplaceable';

/** A journaled change to the jobs of a home shard. Replaying an entry is idempotent. */
export type JobEntry =
  | {
      readonly kind: 'submitted';
      readonly spec: JobSpec;
      readonly teamId: TeamId;
      readonly submitNumber: number;
    }
  | { readonly kind: 'phase'; readonly jobId: JobId; readonly phase: JobPhase }
  /** Starts a round of reservations, or ends it by committing the gang to start. */
  | { readonly kind: 'gang'; readonly jobId: JobId; readonly isCommitted: boolean }
  | {
      readonly kind: 'task';
      readonly jobId: JobId;
      readonly index: number;
      readonly state: TaskState;
      readonly attempt: number;
      readonly failureCount: number;
      readonly checkpointFraction: number;
    };

/** Summary of a job, as returned to clients. */
export interface JobSummary {
  readonly jobId: JobId;
  readonly teamId: TeamId;
  readonly queueId: QueueId;
  readonly kind: JobPolicy['kind'];
  readonly phase: JobPhase;
  readonly pendingCount: number;
  readonly runningCount: number;
  readonly finishedCount: number;
  readonly failedCount: number;
  readonly note: string;
}

/** Attached to each started task, so that a new owner or home can rebuild its state from target reports. */
export interface TaskAnnotation {
  readonly taskId: TaskId;
  readonly attempt: number;
  readonly jobId: JobId;
  readonly queueId: QueueId;
  readonly serviceName: string;
  readonly dataCentreId: DataCentreId;
}

/** Status of one placement of a task, as its owner reports it to the job's home. */
export interface TaskStatusUpdate {
  readonly taskId: TaskId;
  readonly jobId: JobId;
  readonly attempt: number;
  /** Epoch of the reporting owner. */
  readonly epoch: Epoch;
  readonly targetId: TargetId;
  /**
   * `refused` and `absent` mean that the placement does not run and never will. `refused` comes from
   * the owner that the placement was made for; `absent` comes from that owner, or from a later one
   * that knows the state of all targets of the shard.
   */
  readonly state: 'reserved' | 'running' | 'finished' | 'failed' | 'stopped' | 'refused' | 'absent';
  readonly checkpointFraction: number;
}

/** A command from a job's home to the owner of a shard about one placement. */
export type TaskCommand =
  /** Starts the task unless it was started or refused before. The owner replies with its status. */
  | { readonly kind: 'start'; readonly start: TaskStart }
  /** Reserves capacity for the task for a short time; repeating the command extends the reservation. */
  | { readonly kind: 'reserve'; readonly start: TaskStart }
  /** Stops the task. The owner replies once the task is known not to run. */
  | {
      readonly kind: 'stop';
      /** The task will be resumed elsewhere, so it is checkpointed before it is stopped. */
      readonly isResumed: boolean;
      readonly taskId: TaskId;
      readonly jobId: JobId;
      readonly placement: TaskPlacement;
    };

/** A task that a job's home commands the owner of a shard to start. */
export interface TaskStart {
  readonly taskId: TaskId;
  readonly jobId: JobId;
  readonly placement: TaskPlacement;
  readonly teamId: TeamId;
  readonly queueId: QueueId;
  readonly serviceName: string;
  readonly demand: ResourceVector;
  readonly runMs: number;
  readonly resumeFraction: number;
}

/** Identifies one run of a task, for example in acknowledgements of status updates. */
export interface TaskRun {
  readonly taskId: TaskId;
  readonly attempt: number;
}

/** Free capacity of a shard as reported by its owner; the basis for placing jobs. */
export interface FreeShardCapacity {
  readonly shardId: ShardId;
  readonly epoch: Epoch;
  readonly freeSlots: number;
}
