/**
 * Stores submissions and cancellations before they are acknowledged, with group commit: rows that
 * arrive while transactions are in flight share a later one. Every write requires that its row does
 * not exist, so duplicates are detected by the store.
 */

import * as E from 'fp-ts/Either';
import type { SubmissionId } from '../types/ids';
import type { RowPut, RowStore, StoreFailure, StoreOutcome, Committed } from '../store/types';
import type { Clock } from '../types/clock';
import { getSubmissionPart } from './tables';
import { throwRejection } from '../types/debug';

/** Rows per transaction; each takes a condition and a put of the store's limit of 100 entries. */
const MAX_ROWS = 45;

/** Characters per transaction; the store accepts 1 MB, base64-encoded. */
const MAX_CHARS = 600_000;

/** Concurrent transactions, so that one slow answer does not delay the other rows. */
const MAX_IN_FLIGHT = 8;

/** Timeout of one transaction; half the usual timeout of callers. */
const TRANSACTION_TIMEOUT_MS = 1_200;

/** Delay before a failed transaction is retried. */
const RETRY_DELAY_MS = 80;

/** A row is not retried after this time, so that its caller gets an answer; half of callers' usual timeout. */
const ANSWER_TIMEOUT_MS = 1_500;

/** The outcome of a write. */
export type AcceptOutcome =
  /** The row is stored, by this or an earlier attempt. */
  | { readonly kind: 'stored' }
  /** The row is not stored. */
  | { readonly kind: 'notStored'; readonly detail: string }
  /** The row may be stored, or may be stored later. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** A row whose write has no final outcome yet. */
interface PendingRow {
  readonly put: RowPut;
  resolve(outcome: AcceptOutcome): void;
  readonly expiresAtMs: number;
  /** An earlier attempt has an unknown outcome and may have stored the row. */
  mayBeStored: boolean;
}

/** Groups rows into transactions and retries them. */
export class AcceptanceWriter {
  #store: Pick<RowStore, 'transact'>;

  #clock: Clock;

  #isStoreUnreachable: () => boolean;

  #waiting: PendingRow[] = [];

  #inFlightCount = 0;

  /**
   * @param store - the store
   * @param clock - clock for retry deadlines
   * @param isStoreUnreachable - true when neither this node nor the owner reaches the store
   */
  constructor(store: Pick<RowStore, 'transact'>, clock: Clock, isStoreUnreachable: () => boolean) {
    this.#isStoreUnreachable = isStoreUnreachable;
    this.#store = store;
    this.#clock = clock;
  }

  /** Number of rows waiting for a transaction. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /**
   * Creates one row.
   * @param table - table of the row
   * @param submissionId - key of the row
   * @param value - content of the row
   * @returns the outcome; `stored` also when the row existed before
   */
  write(table: string, submissionId: SubmissionId, value: string): Promise<AcceptOutcome> {
    if (this.#isStoreUnreachable()) {
      return Promise.resolve({ kind: 'notStored', detail: 'the store is away' });
    }
    return new Promise((resolve) => {
      const put = { table, part: getSubmissionPart(submissionId), key: submissionId, value };
      const expiresAtMs = this.#clock.nowMs() + ANSWER_TIMEOUT_MS;
      this.#waiting.push({ put, resolve, expiresAtMs, mayBeStored: false });
      this.#send();
    });
  }

  #send(): void {
    if (this.#inFlightCount >= MAX_IN_FLIGHT || this.#waiting.length === 0) return;
    const batch = this.#takeBatch();
    this.#inFlightCount += 1;
    const transaction = {
      conditions: batch.map(({ put: { table, part, key } }) => ({ table, part, key, version: 0 })),
      puts: batch.map(({ put }) => put),
      removals: [],
    };
    this.#store.transact(transaction, TRANSACTION_TIMEOUT_MS).then((outcome) => {
      this.#inFlightCount -= 1;
      this.#completeBatch(batch, outcome);
      this.#send();
    }, throwRejection);
  }

  /** Removes up to one transaction's worth of rows of a single part from the queue, in order. */
  #takeBatch(): PendingRow[] {
    const part = this.#waiting[0]?.put.part;
    const batch: PendingRow[] = [];
    const remaining: PendingRow[] = [];
    const keys = new Set<string>();
    let chars = 0;
    this.#waiting.forEach((row) => {
      const key = `${row.put.table}/${row.put.key}`;
      const isFitting =
        batch.length < MAX_ROWS &&
        (batch.length === 0 || chars + row.put.value.length <= MAX_CHARS);
      // A transaction cannot create the same row twice.
      if (row.put.part !== part || !isFitting || keys.has(key)) {
        remaining.push(row);
        return;
      }
      keys.add(key);
      chars += row.put.value.length;
      batch.push(row);
    });
    this.#waiting = remaining;
    return batch;
  }

  #completeBatch(batch: readonly PendingRow[], outcome: StoreOutcome<Committed>): void {
    if (E.isRight(outcome)) {
      batch.forEach((row) => row.resolve({ kind: 'stored' }));
      return;
    }
    const failure = outcome.left;
    switch (failure.kind) {
      case 'conflict':
        this.#onConflict(batch, failure);
        return;
      case 'unknown':
        batch.forEach((row) => {
          const pending = row;
          pending.mayBeStored = true;
        });
        this.#retry(batch, failure.detail);
        return;
      case 'notDone':
        this.#retry(batch, failure.detail);
        return;
      case 'busy':
        this.#retry(batch, 'the store is busy');
        return;
      default:
        batch.forEach((row) => row.resolve({ kind: 'unknown', detail: failure.kind }));
    }
  }

  /** Existing rows count as stored; the other rows, which were rejected with them, are queued again. */
  #onConflict(
    batch: readonly PendingRow[],
    failure: Extract<StoreFailure, { kind: 'conflict' }>,
  ): void {
    const existing = new Set(
      failure.rows.filter(({ version }) => version > 0).map(({ table, key }) => `${table}/${key}`),
    );
    if (existing.size === 0) {
      this.#retry(batch, 'a conflict that names no existing row');
      return;
    }
    batch.forEach((row) => {
      if (existing.has(`${row.put.table}/${row.put.key}`)) row.resolve({ kind: 'stored' });
      else this.#waiting.unshift(row);
    });
  }

  /** Retries rows before their deadline. A retry is safe, as a row is created only if it does not exist. */
  #retry(batch: readonly PendingRow[], detail: string): void {
    const nowMs = this.#clock.nowMs();
    const isUnreachable = this.#isStoreUnreachable();
    const retried = batch.filter(
      (row) => !isUnreachable && nowMs + RETRY_DELAY_MS < row.expiresAtMs,
    );
    batch
      .filter((row) => !retried.includes(row))
      .forEach((row) => {
        row.resolve({ kind: row.mayBeStored ? 'unknown' : 'notStored', detail });
      });
    if (retried.length === 0) return;
    setTimeout(() => {
      this.#waiting.unshift(...retried);
      this.#send();
    }, RETRY_DELAY_MS);
  }
}
