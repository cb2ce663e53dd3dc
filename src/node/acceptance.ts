/**
 * Writes submissions and cancellations before they are acknowledged. What arrives while a transaction
 * is under way shares the next one. The store removes duplicates: a row must not exist yet.
 */

import * as E from 'fp-ts/Either';
import type { SubmissionId } from '../types/ids';
import type { RowPut, RowStore, StoreFailure, StoreOutcome, Committed } from '../store/types';
import type { Clock } from '../types/clock';
import { getAcceptedPart } from './tables';
import { throwRejection } from '../types/debug';

/** Rows in one transaction: each takes a condition and a put of the store's 100 entries. */
const MAX_ROWS = 45;

/** Characters in one transaction; the store takes 1 MB, in base64. */
const MAX_CHARS = 600_000;

/** Transactions under way at the same time, so that one slow answer does not hold up the rest. */
const MAX_IN_FLIGHT = 8;

/** Time limit of one transaction: half of what callers usually wait. */
const TIMEOUT_MS = 1_200;

/** Pause before a transaction that the store turned away is repeated. */
const RETRY_MS = 80;

/** A caller is answered after this at the latest: half of what callers usually wait. */
const PATIENCE_MS = 1_500;

/** What came of a write. */
export type AcceptOutcome =
  /** The row is stored, now or by an earlier attempt. */
  | { readonly kind: 'stored' }
  /** Nothing was done. */
  | { readonly kind: 'notStored'; readonly detail: string }
  /** The row may be stored, or may yet be. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** One row on its way. */
interface PendingRow {
  readonly put: RowPut;
  resolve(outcome: AcceptOutcome): void;
  readonly giveUpAtMs: number;
  /** An earlier attempt may have been performed. */
  isDoubtful: boolean;
}

/** Groups rows into transactions. */
export class Acceptance {
  #store: Pick<RowStore, 'transact'>;

  #clock: Clock;

  #isStoreAway: () => boolean;

  #waiting: PendingRow[] = [];

  #inFlightCount = 0;

  /**
   * @param store - where the rows go
   * @param clock - for the time after which a caller is answered
   * @param isStoreAway - no way to the store is known to work now
   */
  constructor(store: Pick<RowStore, 'transact'>, clock: Clock, isStoreAway: () => boolean) {
    this.#isStoreAway = isStoreAway;
    this.#store = store;
    this.#clock = clock;
  }

  /** Rows that wait for a transaction. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /**
   * Writes one row that must not exist yet.
   * @param table - its table
   * @param submissionId - its key
   * @param value - its content
   * @returns what came of it
   */
  write(table: string, submissionId: SubmissionId, value: string): Promise<AcceptOutcome> {
    if (this.#isStoreAway()) {
      return Promise.resolve({ kind: 'notStored', detail: 'the store is away' });
    }
    return new Promise((resolve) => {
      const put = { table, part: getAcceptedPart(submissionId), key: submissionId, value };
      const giveUpAtMs = this.#clock.nowMs() + PATIENCE_MS;
      this.#waiting.push({ put, resolve, giveUpAtMs, isDoubtful: false });
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
    this.#store.transact(transaction, TIMEOUT_MS).then((outcome) => {
      this.#inFlightCount -= 1;
      this.#settle(batch, outcome);
      this.#send();
    }, throwRejection);
  }

  /** Takes waiting rows of one part, in their order. */
  #takeBatch(): PendingRow[] {
    const part = this.#waiting[0]?.put.part;
    const batch: PendingRow[] = [];
    const left: PendingRow[] = [];
    const keys = new Set<string>();
    let chars = 0;
    this.#waiting.forEach((row) => {
      const key = `${row.put.table}/${row.put.key}`;
      const isFitting =
        batch.length < MAX_ROWS &&
        (batch.length === 0 || chars + row.put.value.length <= MAX_CHARS);
      // The same row twice in one transaction would contradict itself.
      if (row.put.part !== part || !isFitting || keys.has(key)) {
        left.push(row);
        return;
      }
      keys.add(key);
      chars += row.put.value.length;
      batch.push(row);
    });
    this.#waiting = left;
    return batch;
  }

  #settle(batch: readonly PendingRow[], outcome: StoreOutcome<Committed>): void {
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
          pending.isDoubtful = true;
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

  /** Rows that exist are stored; the others, which they held up, go again. */
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

  /** A repeated write is harmless, as the row must not exist. */
  #retry(batch: readonly PendingRow[], detail: string): void {
    const nowMs = this.#clock.nowMs();
    const isAway = this.#isStoreAway();
    const again = batch.filter((row) => !isAway && nowMs + RETRY_MS < row.giveUpAtMs);
    batch
      .filter((row) => !again.includes(row))
      .forEach((row) => {
        row.resolve({ kind: row.isDoubtful ? 'unknown' : 'notStored', detail });
      });
    if (again.length === 0) return;
    setTimeout(() => {
      this.#waiting.unshift(...again);
      this.#send();
    }, RETRY_MS);
  }
}
