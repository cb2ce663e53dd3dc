/** What callers submit and what operators configure: queues, teams, submissions of steps. */

import type { ConfigVersion, DataCentreId, QueueId, SubmissionId, TeamId } from '../types/ids';

/** Amounts of processor, memory and accelerators. */
export interface TaskDemand {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** How the tasks of a step run together. */
export type StepPolicy =
  | { readonly kind: 'batch'; readonly isSpeculative: boolean }
  /** All tasks run at the same time, under one run number, and end together. */
  | { readonly kind: 'gang'; readonly isSameRack: boolean }
  /** Tasks run until the submission is cancelled and are restarted however they end. */
  | {
      readonly kind: 'standing';
      /** Upper bound of the response time's tail; 0 when there is none. */
      readonly latencyTargetMs: number;
      /** How many tasks our own actions may keep from work at the same time. */
      readonly maxUnavailableCount: number;
    };

/** One step of a submission. */
export interface StepSpec {
  readonly taskCount: number;
  readonly demand: TaskDemand;
  readonly estimateMs: number;
  /** Numbers of the steps that must be done first. */
  readonly after: readonly number[];
  readonly hasCheckpoints: boolean;
  readonly policy: StepPolicy;
  readonly requiredLabel: string;
  /** Rack that holds the data; empty when any rack will do. */
  readonly dataRack: string;
  /** Upper bound of tasks of this step on one target; 0 when there is none. */
  readonly maxTasksPerTarget: number;
  readonly image: string;
  /** The step runs on processor time that others leave; its processors are not charged. */
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
  /** Opaque text for the tasks. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule: Schedule;
}

/** Costs of the advice service for one queue. */
export interface AdviceCosts {
  /** Time of one call. */
  readonly callMs: number;
  /** Time added by each target that the call names. */
  readonly perTargetMs: number;
  readonly ticketValidMs: number;
}

/** One queue of the configuration. */
export interface Queue {
  readonly id: QueueId;
  readonly host: string;
  readonly pathPrefix: string;
  readonly serviceName: string;
  /** 0 is the most urgent and may preempt others. */
  readonly priority: number;
  /** Runs of a task, or of a gang, that may fail. */
  readonly attemptLimit: number;
  /** Objective: this many times the longest chain of work, and {@link Queue.latencyGoalMs} more. */
  readonly stretchFactor: number;
  readonly latencyGoalMs: number;
  readonly timeoutMs: number;
  readonly advice: AdviceCosts | undefined;
  /** Takes work without a key. */
  readonly isPublic: boolean;
}

/** One team of the configuration. */
export interface Team {
  readonly id: TeamId;
  readonly keys: readonly string[];
  readonly weight: number;
  /** What may run at the same time; 0 means no limit on that budget. */
  readonly limit: TaskDemand;
}

/** A service: a pool of targets. */
export interface ServicePool {
  readonly name: string;
  /** Targets refuse by themselves what does not fit. */
  readonly isGuarded: boolean;
}

/** The whole configuration in one version. */
export interface ClusterConfig {
  readonly version: ConfigVersion;
  readonly queues: readonly Queue[];
  readonly services: readonly ServicePool[];
  readonly teams: readonly Team[];
  readonly maxBodyBytes: number;
}

/** What operators decide, as far as one process knows. */
export interface OperatorState {
  readonly config: ClusterConfig | undefined;
  /** Data centres whose targets get no new work. */
  readonly closedDataCentreIds: readonly DataCentreId[];
}

/** An accepted submission. */
export interface Submission {
  readonly id: SubmissionId;
  readonly queue: Queue;
  /** Empty for a public queue's caller without a key. */
  readonly teamId: TeamId;
  /** Milliseconds since 1970 at the gate that accepted it. */
  readonly acceptedAtMs: number;
  readonly spec: SubmissionSpec;
}

/** What callers are told about a submission. */
export type SubmissionState = 'pending' | 'running' | 'succeeded' | 'failed' | 'cancelled';

/** How a run ended, as its target lists it. */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** Demand of nothing. */
export const NO_DEMAND: TaskDemand = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/**
 * Adds two demands, the second scaled.
 * @param left - the first
 * @param right - the second
 * @param factor - scales the second; -1 subtracts
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
 * Gets what a task of a step is charged.
 * @param step - the step
 * @returns its demand, without processors for a filler
 */
export function getChargedDemand(step: StepSpec): TaskDemand {
  return step.isFiller ? { ...step.demand, cpuMillis: 0 } : step.demand;
}

/**
 * Asks whether a demand fits.
 * @param demand - what is wanted
 * @param free - what is left
 * @returns true when every budget suffices
 */
export function isDemandFitting(demand: TaskDemand, free: TaskDemand): boolean {
  return (
    demand.cpuMillis <= free.cpuMillis &&
    demand.memoryMb <= free.memoryMb &&
    demand.accelerators <= free.accelerators
  );
}
