/** External dependencies of a node; the adapter for a deployment implements them. */

import type * as E from 'fp-ts/Either';
import type { Metrics } from '../observe/metrics';
import type { Logger } from '../observe/logger';
import type {
  Advice,
  AdviceFailure,
  Inventory,
  OwnerEffect,
  TargetResponse,
  TargetEntry,
  TargetFailure,
} from '../owner/types';
import type { SchedulingOptions } from '../owner/schedulingOptions';
import type { RowStore, StoredRow } from '../store/types';
import type { Clock } from '../types/clock';
import type { DataCentreId, StepKey, TargetId } from '../types/ids';
import type { ClusterConfig } from '../work/types';

/** A poll of a target's inventory. */
export type PollCall = Extract<OwnerEffect, { kind: 'poll' }>;
/** A request to a target to start a run. */
export type StartCall = Extract<OwnerEffect, { kind: 'startRun' }>;
/** A request to a target to stop a run. */
export type StopCall = Extract<OwnerEffect, { kind: 'stopRun' }>;

/**
 * Calls targets. The promises never reject. `isTooLate` is evaluated right before a call is written;
 * the call is not sent when it returns true.
 */
export interface TargetClient {
  /** Longest lease that targets grant, on their own clocks. */
  readonly maxLeaseMs: number;
  poll(call: PollCall, isTooLate: () => boolean): Promise<E.Either<TargetFailure, Inventory>>;
  start(
    call: StartCall,
    isTooLate: () => boolean,
  ): Promise<E.Either<TargetFailure, TargetResponse>>;
  stop(call: StopCall, isTooLate: () => boolean): Promise<E.Either<TargetFailure, TargetResponse>>;
}

/** Calls the advice service. The promises never reject. */
export interface AdviceClient {
  /**
   * @param stepKey - the step
   * @param targetIds - the candidate targets
   * @param timeoutMs - timeout of the call
   * @returns the targets that may run the step
   */
  advise(
    stepKey: StepKey,
    targetIds: readonly TargetId[],
    timeoutMs: number,
  ): Promise<E.Either<AdviceFailure, Advice>>;
}

/** Decoded content of one operator row. */
export type OperatorRow =
  | { readonly kind: 'config'; readonly config: ClusterConfig }
  | { readonly kind: 'closedDataCentre'; readonly dataCentreId: DataCentreId }
  /** A row that does not concern the scheduler. */
  | { readonly kind: 'ignored' };

/** Location and decoder of the deployment's operator rows. */
export interface OperatorRows {
  readonly table: string;
  readonly part: string;
  decode(row: StoredRow): E.Either<string, OperatorRow>;
}

/** Location and decoder of the deployment's target registry. */
export interface TargetRegistry {
  readonly table: string;
  readonly part: string;
  /** Time of silence after which a target is dropped at the earliest; undefined when it is not known. */
  readonly lapseMs?: number | undefined;
  /**
   * @param row - the entry
   * @param wallMs - the time of day, against which start times are checked; by default that of the system
   * @returns the target, or why the entry names none
   */
  decode(row: StoredRow, wallMs?: number): E.Either<string, TargetEntry>;
}

/** Dependencies of a node. */
export interface NodePorts {
  readonly store: RowStore;
  readonly targets: TargetClient;
  readonly advice: AdviceClient;
  readonly operatorRows: OperatorRows;
  readonly registry: TargetRegistry;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Scheduling features; the defaults apply when omitted. */
  readonly scheduling?: SchedulingOptions;
}
