/**
 * Reads the parts of the tables that gates write, for a takeover that goes on without those that do not answer. A part
 * is read again and again, one call at a time, until it has been read.
 */

import * as E from 'fp-ts/Either';
import { readPartSnapshot } from '../store/tableFollower';
import type { PartSnapshot } from '../store/tableFollower';
import type { RowStore } from '../store/types';
import { throwRejection } from '../types/debug';

/** Delays between the reads of a part; doubled each time. */
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;

/** A part of a table. */
export interface TablePart {
  readonly table: string;
  readonly part: string;
}

/** A part that has been read. */
export interface PartRead extends TablePart {
  readonly snapshot: PartSnapshot;
}

/** Which parts are read, and how long each call may take. */
export interface PartReaderOptions {
  readonly tables: readonly string[];
  readonly parts: readonly string[];
  readonly timeoutMs: number;
}

/** Calls back when a condition holds, or after some time. */
interface Waiter {
  isDone(): boolean;
  readonly resolve: () => void;
}

/** Reads each part of some tables once. */
export class PartReader {
  #store: Pick<RowStore, 'readRange'>;

  #options: PartReaderOptions;

  /** Parts that have not answered. */
  #missing: TablePart[];

  /** Parts that have been read and not been taken. */
  #untaken: PartRead[] = [];

  #waiters = new Set<Waiter>();

  #isStopped = false;

  #onRead: ((read: PartRead) => void) | undefined;

  /**
   * @param store - the store
   * @param options - the tables and parts
   */
  constructor(store: Pick<RowStore, 'readRange'>, options: PartReaderOptions) {
    this.#store = store;
    this.#options = options;
    const { tables, parts } = options;
    this.#missing = tables.flatMap((table) => parts.map((part) => ({ table, part })));
  }

  /** Starts reading. */
  start(): void {
    this.#missing.forEach((address) => this.#read(address, FIRST_RETRY_DELAY_MS));
  }

  /** Stops reading; nothing is reported any more. */
  stop(): void {
    this.#isStopped = true;
  }

  /** The parts whose rows have not been taken. */
  get unread(): readonly TablePart[] {
    return [...this.#missing, ...this.#untaken];
  }

  /**
   * @param table - a table
   * @returns its parts whose rows have not been taken
   */
  getUnreadParts(table: string): readonly string[] {
    return this.unread.filter((address) => address.table === table).map(({ part }) => part);
  }

  /** Whether all parts have answered. */
  get isComplete(): boolean {
    return this.#missing.length === 0;
  }

  /**
   * @param table - a table
   * @returns whether any part of it has been read and not been taken
   */
  hasRead(table: string): boolean {
    return this.#untaken.some((read) => read.table === table);
  }

  /** @returns the parts that have been read since the last call */
  takeReads(): readonly PartRead[] {
    const reads = this.#untaken;
    this.#untaken = [];
    return reads;
  }

  /**
   * Reports parts as they are read, from the first one on that has not been taken.
   * @param onRead - called with each part
   */
  follow(onRead: (read: PartRead) => void): void {
    this.#onRead = onRead;
    this.takeReads().forEach((read) => onRead(read));
  }

  /**
   * Waits until a condition holds, which is checked after each read.
   * @param isDone - the condition
   * @param timeoutMs - maximum time to wait
   */
  async waitUntil(isDone: () => boolean, timeoutMs: number): Promise<void> {
    if (isDone()) return;
    await new Promise<void>((resolve) => {
      const waiter: Waiter = { isDone, resolve };
      this.#waiters.add(waiter);
      setTimeout(() => this.#endWait(waiter), timeoutMs).unref();
    });
  }

  #read(address: TablePart, retryDelayMs: number): void {
    const { table, part } = address;
    readPartSnapshot(this.#store, table, part, this.#options.timeoutMs).then((outcome) => {
      if (this.#isStopped) return;
      if (E.isRight(outcome)) {
        this.#addRead({ ...address, snapshot: outcome.right }, address);
        return;
      }
      setTimeout(() => {
        if (this.#isStopped) return;
        this.#read(address, Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS));
      }, retryDelayMs).unref();
    }, throwRejection);
  }

  #addRead(read: PartRead, address: TablePart): void {
    this.#missing = this.#missing.filter((other) => other !== address);
    if (this.#onRead !== undefined) {
      this.#onRead(read);
      return;
    }
    this.#untaken.push(read);
    this.#waiters.forEach((waiter) => {
      if (waiter.isDone()) this.#endWait(waiter);
    });
  }

  #endWait(waiter: Waiter): void {
    if (this.#waiters.delete(waiter)) waiter.resolve();
  }
}
