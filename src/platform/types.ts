/** What hemlockway needs of the platform: transactional rows, objects and the list of VMs. */

import type { DataCentreId, OperationId, VmId } from '../types/ids';
import type { ResourceVector } from '../types/resources';

/** A value that survives JSON. */
export type JsonValue =
  string | number | boolean | null | readonly JsonValue[] | { readonly [field: string]: JsonValue };

/** One row of the table service. Version 0 means that the row does not exist. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

/** A row's version that must still be current for a transaction to commit. */
export interface RowCheck {
  readonly key: string;
  readonly version: number;
}

/** A row to put, or to delete when the value is null. */
export interface RowWrite {
  readonly key: string;
  readonly value: JsonValue;
}

/** All checks and writes take effect together or not at all. */
export interface Transaction {
  readonly operationId: OperationId;
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** A Vm as the platform lists it; the list lags. */
export interface Vm {
  readonly vmId: VmId;
  readonly role: 'target' | 'system';
  readonly address: string;
  readonly dataCentreId: DataCentreId;
  readonly rack: string;
  readonly capacity: ResourceVector;
  readonly leaving: boolean;
}

/** A call to the platform. */
export type PlatformCall =
  | { readonly kind: 'read'; readonly keys: readonly string[] }
  | {
      readonly kind: 'range';
      readonly prefix: string;
      readonly after: string;
      readonly limit: number;
    }
  | { readonly kind: 'transact'; readonly transaction: Transaction }
  | { readonly kind: 'putObject'; readonly name: string; readonly body: string }
  | { readonly kind: 'getObject'; readonly name: string }
  | { readonly kind: 'deleteObject'; readonly name: string }
  | { readonly kind: 'listVms' };

/**
 * What came of a call. `conflict` is certain not to have taken effect; `unavailable` may have, so a
 * write that ended so is resolved by reading. Every answer carries the store's own clock.
 */
export type PlatformResult =
  | { readonly kind: 'rows'; readonly rows: readonly Row[]; readonly storeTimeMs: number }
  | { readonly kind: 'committed'; readonly storeTimeMs: number; readonly rows: readonly RowCheck[] }
  | { readonly kind: 'conflict'; readonly storeTimeMs: number; readonly rows: readonly Row[] }
  | { readonly kind: 'object'; readonly body: string | null; readonly storeTimeMs: number }
  | { readonly kind: 'vms'; readonly vms: readonly Vm[]; readonly storeTimeMs: number }
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Performs calls to the platform; only the adapter behind it knows the wire. */
export interface PlatformClient {
  /**
   * @param call - what to do
   * @param timeoutMs - after this the call counts as unavailable
   * @returns the result; never rejects
   */
  perform(call: PlatformCall, timeoutMs: number): Promise<PlatformResult>;
}
