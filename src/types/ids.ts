/** Branded identifiers, so that one kind of id cannot be passed where another is expected. */

declare const brand: unique symbol;

/** A value of type `T` that carries the compile-time label `B`. */
export type Branded<T, B extends string> = T & { readonly [brand]: B };

export type TeamId = Branded<string, 'TeamId'>;
export type TargetId = Branded<string, 'TargetId'>;
export type VmId = Branded<string, 'VmId'>;
export type DataCentreId = Branded<string, 'DataCentreId'>;
export type ShardId = Branded<string, 'ShardId'>;
/** Name of a scheduler that stays the same over its restarts. */
export type SchedulerId = Branded<string, 'SchedulerId'>;
/** One run of a scheduler process: its id and incarnation. */
export type MemberId = Branded<string, 'MemberId'>;
export type RequestId = Branded<string, 'RequestId'>;
export type JobId = Branded<string, 'JobId'>;
export type TaskId = Branded<string, 'TaskId'>;
export type QueueId = Branded<string, 'QueueId'>;
export type KeyId = Branded<string, 'KeyId'>;
export type OperationId = Branded<string, 'OperationId'>;
/** Fencing token of a shard: grows by one with each change of owner. */
export type Epoch = Branded<number, 'Epoch'>;
export type ConfigVersion = Branded<number, 'ConfigVersion'>;

/** Any string brand, for the one conversion below. */
type StringId = Branded<string, string>;

/**
 * Labels a checked string as an id.
 * @param text - the id's text, already validated by its schema
 * @returns the same text with the id's type
 */
export function toId<T extends StringId>(text: string): T {
  return text as T;
}

/**
 * Labels a number as an epoch.
 * @param value - a whole number, 0 for "never owned"
 * @returns the same number as an epoch
 */
export function toEpoch(value: number): Epoch {
  return value as Epoch;
}

/**
 * Labels a number as a configuration version.
 * @param value - a whole number, 0 for "no configuration yet"
 * @returns the same number as a version
 */
export function toConfigVersion(value: number): ConfigVersion {
  return value as ConfigVersion;
}

/**
 * Builds the id of one run of a scheduler.
 * @param schedulerId - the scheduler's stable name
 * @param incarnation - grows with each start of the process
 * @returns the member id
 */
export function toMemberId(schedulerId: SchedulerId, incarnation: string): MemberId {
  return `${schedulerId}#${incarnation}` as MemberId;
}

/**
 * Gets the scheduler that a member id is a run of.
 * @param memberId - the member id
 * @returns the scheduler's stable name
 */
export function getSchedulerId(memberId: MemberId): SchedulerId {
  return memberId.slice(0, memberId.indexOf('#')) as SchedulerId;
}

export type SubmissionId = Branded<string, 'SubmissionId'>;
/** One machine of the system by its settings' name. */
export type NodeId = Branded<string, 'NodeId'>;
/** One occurrence of a step: `submission.occurrence.step`. */
export type StepKey = Branded<string, 'StepKey'>;
/** One task of a step: `submission.occurrence.step.index`. */
export type TaskKey = Branded<string, 'TaskKey'>;
/** Text with which a target resumes a task from its last checkpoint. */
export type Checkpoint = Branded<string, 'Checkpoint'>;
/** Permission of the advice service to run one step on one target. */
export type Ticket = Branded<string, 'Ticket'>;
