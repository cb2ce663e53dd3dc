/** Types of submissions and of the cluster configuration. */

import type { ConfigVersion, DataCentreId, QueueId, SubmissionId, TeamId } from '../types/ids';

/** Amounts of processor (in thousandths of a core), memory and accelerators. */
export interface TaskDemand {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** How the tasks of a step are scheduled. */
export type StepPolicy =
  | { readonly kind: 'batch'; readonly isSpeculative: boolean }
  /** All tasks start and end together and share one run number. */
  | { readonly kind: 'gang'; readonly isSameRack: boolean }
  /** Long-running tasks, restarted however they end until the submission is cancelled. */
  | {
      readonly kind: 'standing';
      /** Upper bound of the tail latency of responses; 0 when there is none. */
      readonly latencyTargetMs: number;
      /** Maximum number of tasks that the scheduler may make unavailable at the same time. */
      readonly maxUnavailableCount: number;
    };

/** One step of a submission. */
export interface StepSpec {
  readonly taskCount: number;
  readonly demand: TaskDemand;
  readonly estimateMs: number;
  /** Dependencies: numbers of the steps that must be done first. */
  readonly after: readonly number[];
  readonly hasCheckpoints: boolean;
  readonly policy: StepPolicy;
  readonly requiredLabel: string;
  /** Rack that holds the data; empty when there is no preference. */
  readonly dataRack: string;
  /** Maximum number of tasks of this step on one target; 0 when there is none. */
  readonly maxTasksPerTarget: number;
  readonly image: string;
  /** Whether the tasks use only spare processor time, so that their processors are not charged. */
  readonly isFiller: boolean;
}

/** When the steps of a submission run. */
export type Schedule =
  | { readonly kind: 'once' }
  | {
      readonly kind: 'repeated';
      readonly occurrenceCount: number;
      /** Milliseconds since 1970. */
      readonly firstAtMs: number;
      readonly intervalMs: number;
    };

/** A submission as a caller sent it. */
export interface SubmissionSpec {
  /** Opaque text that is passed to the tasks. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule: Schedule;
}

/** Latency and ticket validity of the advice service for one queue. */
export interface AdviceCosts {
  /** Base latency of a call. */
  readonly callMs: number;
  /** Additional latency for each target named in the call. */
  readonly perTargetMs: number;
  readonly ticketValidMs: number;
}

/** One queue of the configuration. */
export interface Queue {
  readonly id: QueueId;
  readonly host: string;
  readonly pathPrefix: string;
  readonly serviceName: string;
  /** Priority of the queue; 0 is the most urgent. Runs of higher values may be preempted. */
  readonly priority: number;
  /** Number of failed runs of a task, or of a gang, at which the submission fails. */
  readonly attemptLimit: number;
  /** The objective is this many times the summed estimates of the steps, plus {@link Queue.latencyGoalMs}. */
  readonly stretchFactor: number;
  readonly latencyGoalMs: number;
  readonly timeoutMs: number;
  readonly advice: AdviceCosts | undefined;
  /** Whether submissions are accepted without an API key. */
  readonly isPublic: boolean;
}

/** One team of the configuration. */
export interface Team {
  readonly id: TeamId;
  readonly keys: readonly string[];
  readonly weight: number;
  /** Maximum demand of concurrent runs; 0 means no limit on that resource. */
  readonly limit: TaskDemand;
}

/** A service, which is a pool of targets. */
export interface ServicePool {
  readonly name: string;
  /** Whether the targets themselves refuse runs that exceed their capacity. */
  readonly isGuarded: boolean;
}

/** One version of the cluster configuration. */
export interface ClusterConfig {
  readonly version: ConfigVersion;
  readonly queues: readonly Queue[];
  readonly services: readonly ServicePool[];
  readonly teams: readonly Team[];
  readonly maxBodyBytes: number;
}

/** Operator decisions known to one process. */
export interface OperatorState {
  readonly config: ClusterConfig | undefined;
  /** Data centres on whose targets no new runs are started. */
  readonly closedDataCentreIds: readonly DataCentreId[];
}

/** An accepted submission. */
export interface Submission {
  readonly id: SubmissionId;
  readonly queue: Queue;
  /** Empty when submitted to a public queue without a key. */
  readonly teamId: TeamId;
  /** Acceptance time at the accepting gate, in milliseconds since 1970. */
  readonly acceptedAtMs: number;
  readonly spec: SubmissionSpec;
}

/** State of a submission as reported to callers. */
export type SubmissionState = 'pending' | 'running' | 'succeeded' | 'failed' | 'cancelled';

/** How a run ended, as listed by its target. */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** Zero demand. */
export const NO_DEMAND: TaskDemand = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/**
 * Adds a scaled demand to another.
 * @param left - the first demand
 * @param right - the second demand
 * @param factor - scale of the second; -1 subtracts it
 * @returns left + factor * right
 */
export function addDemand(left: TaskDemand, right: TaskDemand, factor = 1): TaskDemand {
  return {
    cpuMillis: left.cpuMillis + factor * right.cpuMillis,
    memoryMb: left.memoryMb + factor * right.memoryMb,
    accelerators: left.accelerators + factor * right.accelerators,
  };
}

/**
 * Gets the demand that is charged for a task of a step.
 * @param step - the step
 * @returns its demand, without processors for a filler step
 */
export function getChargedDemand(step: StepSpec): TaskDemand {
  return step.isFiller ? { ...step.demand, cpuMillis: 0 } : step.demand;
}

/**
 * Checks whether a demand fits into free capacity.
 * @param demand - the demand
 * @param free - the free capacity
 * @returns true when no resource is exceeded
 */
export function isDemandFitting(demand: TaskDemand, free: TaskDemand): boolean {
  return (
    demand.cpuMillis <= free.cpuMillis &&
    demand.memoryMb <= free.memoryMb &&
    demand.accelerators <= free.accelerators
  );
}
