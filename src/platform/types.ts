/** Interface to the platform: transactional rows, objects and the list of VMs. */

import type { DataCentreId, OperationId, VmId } from '../types/ids';
import type { ResourceVector } from '../types/resources';

/** A value that JSON can represent. */
export type JsonValue =
  string | number | boolean | null | readonly JsonValue[] | { readonly [field: string]: JsonValue };

/** A row of the table service. Version 0 means that the row does not exist. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

/** Precondition of a transaction: the row must still have this version. */
export interface RowCheck {
  readonly key: string;
  readonly version: number;
}

/** A row to put, or to delete when the value is null. */
export interface RowWrite {
  readonly key: string;
  readonly value: JsonValue;
}

/** An atomic set of checks and writes. */
export interface Transaction {
  readonly operationId: OperationId;
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** A Vm in the list of the platform. The list can lag behind the actual state. */
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
 * Result of a call. After `conflict` the call is certain not to have taken effect. After `unavailable` it may
 * have, so the outcome of a write has to be determined by reading. All other results include the time of the
 * store's clock.
 */
export type PlatformResult =
  | { readonly kind: 'rows'; readonly rows: readonly Row[]; readonly storeTimeMs: number }
  | { readonly kind: 'committed'; readonly storeTimeMs: number; readonly rows: readonly RowCheck[] }
  | { readonly kind: 'conflict'; readonly storeTimeMs: number; readonly rows: readonly Row[] }
  | { readonly kind: 'object'; readonly body: string | null; readonly storeTimeMs: number }
  | { readonly kind: 'vms'; readonly vms: readonly Vm[]; readonly storeTimeMs: number }
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Performs calls to the platform, independent of the wire format. */
export interface PlatformClient {
  /**
   * @param call - the call
   * @param timeoutMs - the call counts as unavailable after this time
   * @returns the result; never rejects
   */
  perform(call: PlatformCall, timeoutMs: number): Promise<PlatformResult>;
}
