/**
 * Stores submissions and cancellations before they are acknowledged, with group commit: rows that
 * arrive while transactions are in flight share a later one. Every write requires that its row does
 * not exist, so duplicates are detected by the store. While the store is slow, another node may commit the rows
 * of all gates together.
 */

import * as E from 'fp-ts/Either';
import type { SubmissionId } from '../types/ids';
import type { RowPut, RowStore, StoreFailure, StoreOutcome, Committed } from '../store/types';
import type { Clock } from '../types/clock';
import { CommitEstimator } from './commitEstimate';
import { commitWithFallback } from './partFallback';
import { getSubmissionPart, getSubmissionParts } from './tables';
import { throwRejection } from '../types/debug';

/** Rows per transaction; each takes a condition and a put of the store's limit of 100 entries. */
const MAX_ROWS = 45;

/** Characters per transaction; the store accepts 1 MB, base64-encoded. */
const MAX_CHARS = 600_000;

/** Concurrent transactions, so that one slow answer does not delay the other rows. */
const MAX_IN_FLIGHT = 16;

/**
 * Concurrent transactions of one part. The store runs them one after another, so more would only carry fewer
 * rows each.
 */
const MAX_IN_FLIGHT_PER_PART = 2;

/** Timeout of one transaction; half the usual timeout of callers. */
const TRANSACTION_TIMEOUT_MS = 1_200;

/** The same while the store answers late: a transaction that is given up is repeated, which adds to the load. */
const SLOW_TRANSACTION_TIMEOUT_MS = 2_000;

/** Delay before a failed transaction is retried. */
const RETRY_DELAY_MS = 80;

/** A row is not retried after this time, so that its caller gets an answer; half of callers' usual timeout. */
const ANSWER_TIMEOUT_MS = 1_500;

/** The same while the store answers late, which is within the usual timeout of callers. */
const SLOW_ANSWER_TIMEOUT_MS = 2_400;

/** A part for which the store did not answer is written to last for this long. */
const SILENT_PART_MS = 1_000;

/** The outcome of a write. */
export type AcceptOutcome =
  /** The row is stored, by this or an earlier attempt. */
  | { readonly kind: 'stored' }
  /** The row is not stored. */
  | { readonly kind: 'notStored'; readonly detail: string }
  /** The row may be stored, or may be stored later. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** The outcome of a row that was handed to another node. */
export type DelegatedOutcome =
  | AcceptOutcome
  /** The other node has not received the row. */
  | { readonly kind: 'notSent' };

/** Lets another node commit rows. */
export interface RowDelegate {
  /** Whether the store answers late, as opposed to not at all. */
  isStoreLate(): boolean;
  /**
   * @param put - the row to create
   * @param timeoutMs - time in which the outcome is needed
   * @returns undefined when this node has to commit the row itself
   */
  tryDelegate(put: RowPut, timeoutMs: number): Promise<DelegatedOutcome> | undefined;
}

/** No row is handed to another node. */
export const NO_DELEGATE: RowDelegate = { isStoreLate: () => false, tryDelegate: () => undefined };

/** Tells whether a row is being written. */
export interface WriteWatch {
  /** Whether a write of the row was in progress at any time since the watch began. */
  hasWrite: boolean;
}

/** A row whose write has no final outcome yet. */
interface PendingRow {
  readonly put: RowPut;
  resolve(outcome: AcceptOutcome): void;
  readonly expiresAtMs: number;
  readonly timer: NodeJS.Timeout;
  /** An earlier attempt has an unknown outcome and may have stored the row. */
  mayBeStored: boolean;
  /** A transaction that held it with others was rejected, so it is sent by itself. */
  isSentAlone: boolean;
}

function toRowKey({ table, key }: Pick<RowPut, 'table' | 'key'>): string {
  return `${table}/${key}`;
}

/** Groups rows into transactions and retries them. */
export class AcceptanceWriter {
  #store: Pick<RowStore, 'transact'>;

  #clock: Clock;

  #isStoreUnreachable: () => boolean;

  #delegate: RowDelegate;

  #waiting: PendingRow[] = [];

  #inFlightCount = 0;

  #inFlightCountByPart = new Map<string, number>();

  #estimator = new CommitEstimator();

  #silentUntilMs = new Map<string, number>();

  /** Writes without a final outcome, so that a repeated request joins the first one. */
  #openWrites = new Map<string, Promise<AcceptOutcome>>();

  #watches = new Map<string, Set<WriteWatch>>();

  /**
   * @param store - the store
   * @param clock - clock for retry deadlines
   * @param isStoreUnreachable - true when neither this node nor the owner reaches the store
   * @param delegate - hands rows to another node
   */
  constructor(
    store: Pick<RowStore, 'transact'>,
    clock: Clock,
    isStoreUnreachable: () => boolean,
    delegate: RowDelegate = NO_DELEGATE,
  ) {
    this.#isStoreUnreachable = isStoreUnreachable;
    this.#store = store;
    this.#clock = clock;
    this.#delegate = delegate;
  }

  /** Number of rows waiting for a transaction. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /**
   * Creates one row, through another node if the delegate takes it.
   * @param table - table of the row
   * @param submissionId - the submission
   * @param value - content of the row
   * @param key - key of the row, which begins with the id; the id by itself when omitted
   * @returns the outcome; `stored` also when the row existed before
   */
  write(
    table: string,
    submissionId: SubmissionId,
    value: string,
    key: string = submissionId,
  ): Promise<AcceptOutcome> {
    const put = { table, part: getSubmissionPart(submissionId), key, value };
    return this.#join(put, () => this.#delegateOrCommit(put));
  }

  /**
   * Creates one row for another node.
   * @param put - the row
   * @param timeoutMs - time in which the other node needs the outcome
   * @returns the outcome
   */
  writeForPeer(put: RowPut, timeoutMs: number): Promise<AcceptOutcome> {
    return this.#join(put, () => this.#commit(put, timeoutMs, false));
  }

  /**
   * Watches for writes of a row, by this node for itself and for others, until the watch is ended.
   * @param table - table of the row
   * @param submissionId - key of the row
   * @returns the watch
   */
  watch(table: string, submissionId: SubmissionId): WriteWatch {
    const key = toRowKey({ table, key: submissionId });
    const watch = { hasWrite: this.#openWrites.has(key) };
    this.#watches.set(key, (this.#watches.get(key) ?? new Set()).add(watch));
    return watch;
  }

  /**
   * Ends a watch.
   * @param table - table of the row
   * @param submissionId - key of the row
   * @param watch - the watch
   */
  endWatch(table: string, submissionId: SubmissionId, watch: WriteWatch): void {
    const key = toRowKey({ table, key: submissionId });
    const watches = this.#watches.get(key);
    watches?.delete(watch);
    if (watches?.size === 0) this.#watches.delete(key);
  }

  /** Starts a write, or joins one of the same row. */
  #join(put: RowPut, start: () => Promise<AcceptOutcome>): Promise<AcceptOutcome> {
    if (this.#isStoreUnreachable()) {
      return Promise.resolve({ kind: 'notStored', detail: 'the store is away' });
    }
    const key = toRowKey(put);
    const open = this.#openWrites.get(key);
    if (open !== undefined) return open;
    this.#watches.get(key)?.forEach((known) => {
      const watch = known;
      watch.hasWrite = true;
    });
    const write = start().finally(() => this.#openWrites.delete(key));
    this.#openWrites.set(key, write);
    return write;
  }

  async #delegateOrCommit(put: RowPut): Promise<AcceptOutcome> {
    const startedAtMs = this.#clock.nowMs();
    const timeoutMs = this.#delegate.isStoreLate() ? SLOW_ANSWER_TIMEOUT_MS : ANSWER_TIMEOUT_MS;
    const delegated = await this.#delegate.tryDelegate(put, timeoutMs);
    const remainingMs = timeoutMs - (this.#clock.nowMs() - startedAtMs);
    switch (delegated?.kind) {
      case 'stored':
      case 'notStored':
        return delegated;
      case 'unknown':
        // The other node may still store the row, so this node cannot report it as not stored.
        return remainingMs > 0 ? this.#commit(put, remainingMs, true) : delegated;
      default:
        return this.#commit(put, remainingMs, false);
    }
  }

  #commit(put: RowPut, timeoutMs: number, mayBeStored: boolean): Promise<AcceptOutcome> {
    const expiresAtMs = this.#clock.nowMs() + timeoutMs;
    return commitWithFallback({
      parts: this.#getPartsInOrder(put.key as SubmissionId),
      commit: (part) => this.#commitInPart({ ...put, part }, expiresAtMs, mayBeStored),
      isFallbackUseful: () => !this.#delegate.isStoreLate() && !this.#isStoreUnreachable(),
      onSilent: (parts) => {
        const silentUntilMs = this.#clock.nowMs() + SILENT_PART_MS;
        parts.forEach((part) => this.#silentUntilMs.set(part, silentUntilMs));
      },
    });
  }

  #getPartsInOrder(submissionId: SubmissionId): readonly string[] {
    const nowMs = this.#clock.nowMs();
    const parts = getSubmissionParts(submissionId);
    const isSilent = (part: string) => nowMs < (this.#silentUntilMs.get(part) ?? 0);
    return [...parts.filter((part) => !isSilent(part)), ...parts.filter(isSilent)];
  }

  #commitInPart(put: RowPut, expiresAtMs: number, mayBeStored: boolean): Promise<AcceptOutcome> {
    const nowMs = this.#clock.nowMs();
    const timeoutMs = expiresAtMs - nowMs;
    const expectedMs = this.#estimator.getExpectedMs(put.part, this.#hasFreeSlot(put.part), nowMs);
    if (expectedMs > timeoutMs && !mayBeStored) {
      const detail = `the store needs ${Math.round(expectedMs)} ms, the caller waits ${Math.round(timeoutMs)} ms`;
      return Promise.resolve({ kind: 'notStored', detail });
    }
    return new Promise((resolve) => {
      const row: PendingRow = {
        ...{ put, expiresAtMs, mayBeStored, isSentAlone: false },
        resolve: (outcome) => {
          clearTimeout(row.timer);
          resolve(outcome);
        },
        timer: setTimeout(() => this.#expire(row), timeoutMs),
      };
      this.#waiting.push(row);
      this.#send();
    });
  }

  /** Answers a row whose time has passed, also while its transaction is in flight. */
  #expire(row: PendingRow): void {
    const isWaiting = this.#waiting.includes(row);
    this.#waiting = this.#waiting.filter((other) => other !== row);
    if (isWaiting) AcceptanceWriter.#giveUp(row, 'no transaction in time');
    else row.resolve({ kind: 'unknown', detail: 'no answer in time' });
  }

  #send(): void {
    if (this.#inFlightCount >= MAX_IN_FLIGHT) return;
    const next = this.#waiting.find(({ put }) => this.#hasFreeSlot(put.part));
    if (next === undefined) return;
    const { part } = next.put;
    const batch = this.#takeBatch(part);
    this.#addInFlight(part, 1);
    const sentAtMs = this.#clock.nowMs();
    const transaction = {
      conditions: batch.map(({ put: { table, key } }) => ({ table, part, key, version: 0 })),
      puts: batch.map(({ put }) => put),
      removals: [],
    };
    const timeoutMs = this.#delegate.isStoreLate()
      ? SLOW_TRANSACTION_TIMEOUT_MS
      : TRANSACTION_TIMEOUT_MS;
    this.#store.transact(transaction, timeoutMs).then((outcome) => {
      this.#addInFlight(part, -1);
      const nowMs = this.#clock.nowMs();
      if (E.isRight(outcome)) this.#estimator.addCommit(part, nowMs - sentAtMs, nowMs);
      this.#completeBatch(batch, outcome);
      this.#send();
    }, throwRejection);
    this.#send();
  }

  #hasFreeSlot(part: string): boolean {
    return (this.#inFlightCountByPart.get(part) ?? 0) < MAX_IN_FLIGHT_PER_PART;
  }

  static #giveUp(row: PendingRow, detail: string): void {
    row.resolve({ kind: row.mayBeStored ? 'unknown' : 'notStored', detail });
  }

  #addInFlight(part: string, change: 1 | -1): void {
    this.#inFlightCount += change;
    this.#inFlightCountByPart.set(part, (this.#inFlightCountByPart.get(part) ?? 0) + change);
  }

  /** Removes up to one transaction's worth of rows of a single part from the queue, in order. */
  #takeBatch(part: string): PendingRow[] {
    const batch: PendingRow[] = [];
    const remaining: PendingRow[] = [];
    const keys = new Set<string>();
    let chars = 0;
    this.#waiting.forEach((row) => {
      const key = toRowKey(row.put);
      const isFitting =
        batch.length < MAX_ROWS &&
        !batch.some(({ isSentAlone }) => isSentAlone) &&
        (batch.length === 0 || !row.isSentAlone) &&
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
      case 'rejected':
        this.#onRejected(batch, failure.detail);
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
    const existing = new Set(failure.rows.filter(({ version }) => version > 0).map(toRowKey));
    if (existing.size === 0) {
      this.#retry(batch, 'a conflict that names no existing row');
      return;
    }
    batch.forEach((row) => {
      if (existing.has(toRowKey(row.put))) row.resolve({ kind: 'stored' });
      else this.#waiting.unshift(row);
    });
  }

  /** One row that the store does not take must not keep the others from being stored. */
  #onRejected(batch: readonly PendingRow[], detail: string): void {
    if (batch.length === 1) {
      batch.forEach((row) => AcceptanceWriter.#giveUp(row, `the store rejects the row: ${detail}`));
      return;
    }
    batch.forEach((row) => {
      const pending = row;
      pending.isSentAlone = true;
    });
    this.#waiting.unshift(...batch);
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
      .forEach((row) => AcceptanceWriter.#giveUp(row, detail));
    if (retried.length === 0) return;
    setTimeout(() => {
      this.#waiting.unshift(...retried);
      this.#send();
    }, RETRY_DELAY_MS);
  }
}
