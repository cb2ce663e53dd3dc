/** Interface of the table store: conditional transactions, range reads and a change feed. */

import type * as E from 'fp-ts/Either';

/** Address of a row. Rows of the same part can be written together at low cost. */
export interface RowAddress {
  readonly table: string;
  readonly part: string;
  readonly key: string;
}

/** One row. Version 0 means that the row does not exist. */
export interface StoredRow extends RowAddress {
  readonly version: number;
  readonly value: string;
}

/** Where a text is stored, without the table. */
export type StoredText = Pick<StoredRow, 'part' | 'key' | 'value'>;

/** Requires a row to have this version; 0 requires that it does not exist. */
export interface RowCondition extends RowAddress {
  readonly version: number;
}

/** A row to write. */
export interface RowPut extends RowAddress {
  readonly value: string;
}

/** An atomic transaction: if all conditions hold, all changes take effect; otherwise none does. */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly puts: readonly RowPut[];
  readonly removals: readonly RowAddress[];
}

/** Range of rows of one table and part, in ascending order of keys. */
export interface RangeQuery {
  readonly table: string;
  readonly part: string;
  /** First key, inclusive; empty to read from the start. */
  readonly fromKey: string;
  readonly limit: number;
}

/** One page of a range. */
export interface RowPage {
  readonly rows: readonly StoredRow[];
  readonly hasMore: boolean;
  /** Newest version of the whole store when the page was read. */
  readonly storeVersion: number;
  /** Reading of the store's steady clock; undefined when the answer has none. */
  readonly storeMs?: number | undefined;
}

/** One change of a table. */
export type RowChange =
  | { readonly kind: 'put'; readonly row: StoredRow }
  | { readonly kind: 'removed'; readonly address: RowAddress };

/** Changes of a table since a version. */
export interface RowChanges {
  readonly changes: readonly RowChange[];
  /** Version from which to continue following. */
  readonly storeVersion: number;
  /** Reading of the store's steady clock; undefined when the answer has none. */
  readonly storeMs?: number | undefined;
}

/** Why a call to the store failed. */
export type StoreFailure =
  /** A condition did not hold; nothing was performed. */
  | { readonly kind: 'conflict'; readonly rows: readonly StoredRow[] }
  /** The store refused the call or could not be reached; nothing was performed. */
  | { readonly kind: 'notDone'; readonly detail: string }
  /** The store does not take a call with this content, however often it is sent; nothing was performed. */
  | { readonly kind: 'rejected'; readonly detail: string }
  /** The store, or a part of a table, is overloaded; nothing was performed. */
  | { readonly kind: 'busy' }
  /** No usable answer: the call may have been performed or may be performed later. */
  | { readonly kind: 'unknown'; readonly detail: string }
  /** The requested changes are no longer retained. */
  | { readonly kind: 'historyLost' };

/** The outcome of a call to the store. */
export type StoreOutcome<T> = E.Either<StoreFailure, T>;

/** A transaction that took effect. */
export interface Committed {
  /** New version of the written rows. */
  readonly version: number;
}

/** A table store. The promises of its calls never reject. */
export interface RowStore {
  /**
   * Performs a transaction.
   * @param transaction - conditions and changes
   * @param timeoutMs - time after which the outcome is unknown
   * @returns the new version, or the failure
   */
  transact(transaction: RowTransaction, timeoutMs: number): Promise<StoreOutcome<Committed>>;

  /**
   * Reads one page of a range from a consistent snapshot.
   * @param query - the range
   * @param timeoutMs - timeout
   * @returns the page
   */
  readRange(query: RangeQuery, timeoutMs: number): Promise<StoreOutcome<RowPage>>;

  /**
   * Reads changes of a table, waiting for the first one (long polling).
   * @param table - the table
   * @param afterVersion - the last version seen
   * @param waitMs - maximum time for which the store holds the call while there are no changes
   * @returns the changes in order; none when the wait has elapsed
   */
  follow(table: string, afterVersion: number, waitMs: number): Promise<StoreOutcome<RowChanges>>;
}
