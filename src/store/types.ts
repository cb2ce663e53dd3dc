/** What hemlockway needs of a table store: conditional transactions, ranges and a feed of changes. */

import type * as E from 'fp-ts/Either';

/** Where a row lies. Rows of one part can be written together cheaply. */
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

/** A row that must still have this version; 0 for a row that must not exist. */
export interface RowCondition extends RowAddress {
  readonly version: number;
}

/** A row to write. */
export interface RowPut extends RowAddress {
  readonly value: string;
}

/** All conditions hold and all changes take effect, or nothing happens. */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly puts: readonly RowPut[];
  readonly removals: readonly RowAddress[];
}

/** Rows of one table and part, keys ascending. */
export interface RangeQuery {
  readonly table: string;
  readonly part: string;
  /** First key; empty for the start. */
  readonly fromKey: string;
  readonly limit: number;
}

/** One page of a range. */
export interface RowPage {
  readonly rows: readonly StoredRow[];
  readonly hasMore: boolean;
  /** Newest version of the whole store when the page was read. */
  readonly storeVersion: number;
}

/** One change of a table. */
export type RowChange =
  | { readonly kind: 'put'; readonly row: StoredRow }
  | { readonly kind: 'removed'; readonly address: RowAddress };

/** Changes of a table since a version. */
export interface RowChanges {
  readonly changes: readonly RowChange[];
  /** Version from which to follow on. */
  readonly storeVersion: number;
}

/** Why a call to the store gave no result. */
export type StoreFailure =
  /** A condition did not hold; nothing was done. */
  | { readonly kind: 'conflict'; readonly rows: readonly StoredRow[] }
  /** The store said no, or was not reached; nothing was done. */
  | { readonly kind: 'notDone'; readonly detail: string }
  /** More is asked of the store, or of a part, than it performs; nothing was done. */
  | { readonly kind: 'busy' }
  /** No answer: the call may have been performed, or may be performed later. */
  | { readonly kind: 'unknown'; readonly detail: string }
  /** The changes asked for are no longer kept. */
  | { readonly kind: 'historyLost' };

/** The outcome of a call to the store. */
export type StoreOutcome<T> = E.Either<StoreFailure, T>;

/** A transaction that took effect. */
export interface Committed {
  /** Version that the written rows now have. */
  readonly version: number;
}

/** A table store. No call ever rejects. */
export interface RowStore {
  /**
   * Performs a transaction.
   * @param transaction - conditions and changes
   * @param timeoutMs - after this the outcome counts as unknown
   * @returns the new version, or why it did not take effect
   */
  transact(transaction: RowTransaction, timeoutMs: number): Promise<StoreOutcome<Committed>>;

  /**
   * Reads rows as of a single moment.
   * @param query - which rows
   * @param timeoutMs - how long to wait
   * @returns one page
   */
  readRange(query: RangeQuery, timeoutMs: number): Promise<StoreOutcome<RowPage>>;

  /**
   * Waits for changes of a table.
   * @param table - the table
   * @param afterVersion - the last version already seen
   * @param waitMs - how long the store may hold the call when nothing changes
   * @returns the changes in order, none when nothing changed
   */
  follow(table: string, afterVersion: number, waitMs: number): Promise<StoreOutcome<RowChanges>>;
}
