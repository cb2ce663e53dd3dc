/** Jobs of each kind and the tasks they are made of. */

import type { DataCentreId, JobId, QueueId, TargetId, TaskId, TeamId } from '../types/ids';
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

/** Where one task of a job stands. */
export type TaskState =
  | { readonly kind: 'pending' }
  | { readonly kind: 'starting'; readonly targetId: TargetId }
  | { readonly kind: 'running'; readonly targetId: TargetId }
  | { readonly kind: 'finished' }
  | { readonly kind: 'failed'; readonly attempts: number };

/** One task of a job. */
export interface Task {
  readonly taskId: TaskId;
  readonly state: TaskState;
  readonly attempts: number;
  readonly checkpointFraction: number;
}

/** Where a job stands as a whole. */
export type JobPhase = 'accepted' | 'running' | 'finished' | 'failed' | 'cancelled';

/** A job with its tasks, as its home scheduler keeps it. */
export interface Job {
  readonly spec: JobSpec;
  readonly teamId: TeamId;
  readonly phase: JobPhase;
  readonly tasks: readonly Task[];
  /** Why the job is where it is, for its submitter. */
  readonly note: string;
}

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
  readonly jobId: JobId;
  readonly queueId: QueueId;
  readonly serviceName: string;
  readonly dataCentreId: DataCentreId;
}

/** What became of a task, as its home hears it. */
export interface TaskNews {
  readonly kind: 'taskNews';
  readonly taskId: TaskId;
  readonly jobId: JobId;
  readonly targetId: TargetId;
  readonly state: 'running' | 'finished' | 'failed' | 'stopped' | 'refused';
  readonly checkpointFraction: number;
}
