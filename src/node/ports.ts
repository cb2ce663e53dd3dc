/** What a node needs of the outside: the adapter of a deployment implements it. */

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
import type { RowStore, StoredRow } from '../store/types';
import type { Clock } from '../types/clock';
import type { DataCentreId, StepKey, TargetId } from '../types/ids';
import type { ClusterConfig } from '../work/types';

/** A look at a target. */
export type LookCall = Extract<OwnerEffect, { kind: 'look' }>;
/** A start on a target. */
export type StartCall = Extract<OwnerEffect, { kind: 'startRun' }>;
/** A stop on a target. */
export type StopCall = Extract<OwnerEffect, { kind: 'stopRun' }>;

/** Calls targets. No call ever rejects; `isTooLate` voids one right before it is written. */
export interface TargetClient {
  look(call: LookCall, isTooLate: () => boolean): Promise<E.Either<TargetFailure, Inventory>>;
  start(
    call: StartCall,
    isTooLate: () => boolean,
  ): Promise<E.Either<TargetFailure, TargetResponse>>;
  stop(call: StopCall, isTooLate: () => boolean): Promise<E.Either<TargetFailure, TargetResponse>>;
}

/** Calls the advice service. No call ever rejects. */
export interface AdviceClient {
  /**
   * @param stepKey - the step
   * @param targetIds - the targets to ask about
   * @param timeoutMs - how long to wait
   * @returns which of them may run the step
   */
  advise(
    stepKey: StepKey,
    targetIds: readonly TargetId[],
    timeoutMs: number,
  ): Promise<E.Either<AdviceFailure, Advice>>;
}

/** What one of the operator's rows says. */
export type OperatorRow =
  | { readonly kind: 'config'; readonly config: ClusterConfig }
  | { readonly kind: 'closedDataCentre'; readonly dataCentreId: DataCentreId }
  /** A row that this product has no use for. */
  | { readonly kind: 'ignored' };

/** The operator's rows, as the deployment writes them. */
export interface OperatorRows {
  readonly table: string;
  readonly part: string;
  decode(row: StoredRow): E.Either<string, OperatorRow>;
}

/** The registry of targets, as the deployment writes it. */
export interface TargetRegistry {
  readonly table: string;
  readonly part: string;
  decode(row: StoredRow): E.Either<string, TargetEntry>;
}

/** Everything that a node is built from. */
export interface NodePorts {
  readonly store: RowStore;
  readonly targets: TargetClient;
  readonly advice: AdviceClient;
  readonly operatorRows: OperatorRows;
  readonly registry: TargetRegistry;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
