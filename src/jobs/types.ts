/** Jobs of each kind and the tasks they are made of. */

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

/** What differs between the kinds of job. */
export type JobPolicy =
  /** Keeps this many replicas running; requests that name the service go to them. */
  | { readonly kind: 'service'; readonly serviceName: string; readonly replicas: number }
  /** Runs each task to its end once, before the deadline if there is one. */
  | { readonly kind: 'batch'; readonly taskCount: number; readonly deadlineMs?: number }
  /** Starts all tasks at once or none. */
  | { readonly kind: 'gang'; readonly taskCount: number }
  /** Keeps one standing task until cancelled. */
  | { readonly kind: 'watch' };

/** A job as its submitter describes it. */
export interface JobSpec {
  readonly jobId: JobId;
  readonly queueId: QueueId;
  readonly policy: JobPolicy;
  /** Declared demand of one task; often wrong. */
  readonly demand: ResourceVector;
  /** How long one task is expected to run; a service or watch ignores it. */
  readonly expectedRunMs: number;
}

/**
 * Right of one owner to start a task once. It holds under this epoch of the shard alone, so that a
 * later owner never starts it and can say truthfully whether it runs.
 */
export interface TaskPlacement {
  /** Grows with each placement of the task. */
  readonly attempt: number;
  readonly shardId: ShardId;
  readonly epoch: Epoch;
}

/** Where one task of a job stands. */
export type TaskState =
  | { readonly kind: 'pending' }
  /** An owner may have started it; only an owner's word ends this. */
  | { readonly kind: 'assigned'; readonly placement: TaskPlacement }
  | {
      readonly kind: 'running';
      readonly placement: TaskPlacement;
      readonly targetId: TargetId;
    }
  | { readonly kind: 'finished' }
  | { readonly kind: 'failed' }
  /** Ended because its job was cancelled or failed. */
  | { readonly kind: 'stopped' };

/** One task of a job. */
export interface Task {
  readonly taskId: TaskId;
  readonly state: TaskState;
  /** Of the newest placement, 0 before the first. */
  readonly attempt: number;
  readonly failureCount: number;
  readonly checkpointFraction: number;
}

/** Where a job stands as a whole. */
export type JobPhase =
  | 'accepted'
  | 'running'
  | 'finished'
  | 'failed'
  | 'cancelled'
  /** No target is large enough; it starts when one comes. */
  | 'unplaceable';

/** A durable change of a home shard's jobs; replaying one twice changes nothing. */
export type JobEntry =
  | {
      readonly kind: 'submitted';
      readonly spec: JobSpec;
      readonly teamId: TeamId;
      readonly submitNumber: number;
    }
  | { readonly kind: 'phase'; readonly jobId: JobId; readonly phase: JobPhase }
  /** Precedes a round of reservations, or ends it by starting the gang. */
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

/** One line of a job listing. */
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

/** Attached to each started task, so that a new owner or home can rebuild its state from reports. */
export interface TaskAnnotation {
  readonly taskId: TaskId;
  readonly attempt: number;
  readonly jobId: JobId;
  readonly queueId: QueueId;
  readonly serviceName: string;
  readonly dataCentreId: DataCentreId;
}

/** What became of one placement of a task, as its home hears it. */
export interface TaskNews {
  readonly taskId: TaskId;
  readonly jobId: JobId;
  readonly attempt: number;
  /** Under which the owner says so. */
  readonly epoch: Epoch;
  readonly targetId: TargetId;
  /**
   * `refused` and `absent` say that the placement does not run and never will: refused by the owner
   * it was meant for, absent by that owner or a later one that has heard all targets of the shard.
   */
  readonly state: 'reserved' | 'running' | 'finished' | 'failed' | 'stopped' | 'refused' | 'absent';
  readonly checkpointFraction: number;
}

/** What a job's home asks of the owner of a shard about one placement. */
export type TaskAsk =
  /** Start it, unless it was started or refused before; answered with what became of it. */
  | { readonly kind: 'start'; readonly start: TaskStart }
  /** Hold room for it for a short time; each repetition extends the time. */
  | { readonly kind: 'reserve'; readonly start: TaskStart }
  /** Stop it; answered once it certainly does not run. */
  | {
      readonly kind: 'stop';
      readonly taskId: TaskId;
      readonly jobId: JobId;
      readonly placement: TaskPlacement;
    };

/** A task that a job's home asks the owner of a shard to start. */
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

/** One run of a task, as the owner's words about it are acknowledged. */
export interface TaskRun {
  readonly taskId: TaskId;
  readonly attempt: number;
}

/** Room of one shard, as its owner says; jobs are placed by it. */
export interface ShardRoom {
  readonly shardId: ShardId;
  readonly epoch: Epoch;
  readonly freeSlots: number;
}
