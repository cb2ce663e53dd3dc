/** Branded identifier types, which prevent passing one kind of id where another is expected. */

declare const brand: unique symbol;

/** A value of type `T` that carries the compile-time label `B`. */
export type Branded<T, B extends string> = T & { readonly [brand]: B };

export type TeamId = Branded<string, 'TeamId'>;
export type TargetId = Branded<string, 'TargetId'>;
export type VmId = Branded<string, 'VmId'>;
export type DataCentreId = Branded<string, 'DataCentreId'>;
export type ShardId = Branded<string, 'ShardId'>;
/** Name of a scheduler; stable across restarts. */
export type SchedulerId = Branded<string, 'SchedulerId'>;
/** One run of a scheduler process: its id and incarnation. */
export type MemberId = Branded<string, 'MemberId'>;
export type RequestId = Branded<string, 'RequestId'>;
export type JobId = Branded<string, 'JobId'>;
export type TaskId = Branded<string, 'TaskId'>;
export type QueueId = Branded<string, 'QueueId'>;
export type KeyId = Branded<string, 'KeyId'>;
export type OperationId = Branded<string, 'OperationId'>;
/** Fencing token of a shard; incremented with each change of owner. */
export type Epoch = Branded<number, 'Epoch'>;
export type ConfigVersion = Branded<number, 'ConfigVersion'>;

type StringId = Branded<string, string>;

/**
 * Casts a string to an id.
 * @param text - text that the schema of the id has already validated
 * @returns the same text
 */
export function toId<T extends StringId>(text: string): T {
  return text as T;
}

/**
 * Casts a number to an epoch.
 * @param value - a non-negative integer; 0 means that the shard was never owned
 * @returns the same number
 */
export function toEpoch(value: number): Epoch {
  return value as Epoch;
}

/**
 * Casts a number to a configuration version.
 * @param value - a non-negative integer; 0 means that there is no configuration yet
 * @returns the same number
 */
export function toConfigVersion(value: number): ConfigVersion {
  return value as ConfigVersion;
}

/**
 * Builds the id of one run of a scheduler process.
 * @param schedulerId - the scheduler
 * @param incarnation - increases with each start of the process
 * @returns the member id
 */
export function toMemberId(schedulerId: SchedulerId, incarnation: string): MemberId {
  return `${schedulerId}#${incarnation}` as MemberId;
}

/**
 * Gets the scheduler part of a member id.
 * @param memberId - the member id
 * @returns the stable name of the scheduler
 */
export function getSchedulerId(memberId: MemberId): SchedulerId {
  return memberId.slice(0, memberId.indexOf('#')) as SchedulerId;
}

export type SubmissionId = Branded<string, 'SubmissionId'>;
/** Name of a machine of the system, as configured in its settings. */
export type NodeId = Branded<string, 'NodeId'>;
/** One occurrence of a step: `submission.occurrence.step`. */
export type StepKey = Branded<string, 'StepKey'>;
/** One task of a step: `submission.occurrence.step.index`. */
export type TaskKey = Branded<string, 'TaskKey'>;
/** Opaque text from which a target resumes a task at its last checkpoint. */
export type Checkpoint = Branded<string, 'Checkpoint'>;
/** Permission, issued by the advice service, to run one step on one target. */
export type Ticket = Branded<string, 'Ticket'>;
