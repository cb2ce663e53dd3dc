/** Follows a table: reads it whole once, then its changes, and reads it again when history is lost. */

import * as E from 'fp-ts/Either';
import type { RowChange, RowStore, StoredRow } from './types';
import { throwRejection } from '../types/debug';

/** How long the store may hold a call while nothing changes. */
const FOLLOW_WAIT_MS = 1_000;

/** Pause after a failed call. */
const RETRY_MS = 150;

/** Time limit of one page. */
const READ_TIMEOUT_MS = 1_500;

/** Rows of one page; the store gives 500 at most. */
const PAGE_ROWS = 500;

/** Where the follower has got to. */
export type FollowerEvent =
  /** The whole table as of one moment; it replaces everything known. */
  | { readonly kind: 'snapshot'; readonly rows: readonly StoredRow[]; readonly version: number }
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[]; readonly version: number };

/** Which table is followed, and how eagerly. */
export interface FollowedTable {
  readonly table: string;
  /** Parts that are read when the history is lost; changes come of all parts. */
  readonly parts: readonly string[];
  /** Pause between two calls, so that many small changes cost one call. */
  readonly pauseMs: number;
}

/** Rows of a whole part, and the version from which its changes can be followed. */
export interface WholePart {
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

/**
 * Reads every row of a part of a table.
 * @param store - the store
 * @param table - the table
 * @param part - the part
 * @param timeoutMs - for each page
 * @param former - the pages read so far
 * @returns the rows and the version of the first page
 */
export async function readWholePart(
  store: RowStore,
  table: string,
  part: string,
  timeoutMs: number,
  former: WholePart | undefined = undefined,
): Promise<E.Either<string, WholePart>> {
  const lastKey = former?.rows.at(-1)?.key ?? '';
  const query = { table, part, fromKey: lastKey, limit: PAGE_ROWS };
  const page = await store.readRange(query, timeoutMs);
  if (E.isLeft(page)) return E.left(page.left.kind);
  // Each page begins with the row that ended the one before it.
  const fresh = page.right.rows.filter((row) => lastKey === '' || row.key !== lastKey);
  const whole: WholePart = {
    rows: [...(former?.rows ?? []), ...fresh],
    version: former?.version ?? page.right.storeVersion,
  };
  if (!page.right.hasMore || fresh.length === 0) return E.right(whole);
  return readWholePart(store, table, part, timeoutMs, whole);
}

/**
 * Joins what was read of several parts.
 * @param parts - each part, or why it was not read
 * @returns all rows and the oldest version, from which no change is missed
 */
export function joinParts(
  parts: readonly E.Either<string, WholePart>[],
): E.Either<string, WholePart> {
  const failure = parts.find(E.isLeft);
  if (failure !== undefined) return failure;
  const read = parts.filter(E.isRight).map(({ right }) => right);
  return E.right({
    rows: read.flatMap(({ rows }) => rows),
    version: Math.min(...read.map(({ version }) => version)),
  });
}

/** Follows one table until it is stopped. */
export class TableFollower {
  #store: RowStore;

  #followed: FollowedTable;

  #onEvent: (event: FollowerEvent) => void;

  #isStopped = false;

  #version: number | undefined;

  /**
   * @param store - the store
   * @param followed - which table
   * @param onEvent - told of rows and changes, in order
   */
  constructor(store: RowStore, followed: FollowedTable, onEvent: (event: FollowerEvent) => void) {
    this.#store = store;
    this.#followed = followed;
    this.#onEvent = onEvent;
  }

  /**
   * Starts to follow.
   * @param version - where to start; left out, the table is read whole first
   */
  start(version?: number): void {
    this.#version = version;
    this.#next(0);
  }

  /** Ends it; no further event comes. */
  stop(): void {
    this.#isStopped = true;
  }

  #next(delayMs: number): void {
    if (this.#isStopped) return;
    setTimeout(() => {
      if (this.#isStopped) return;
      const step = this.#version === undefined ? this.#read() : this.#follow(this.#version);
      step.then((nextDelayMs) => this.#next(nextDelayMs), throwRejection);
    }, delayMs);
  }

  async #read(): Promise<number> {
    const { table, parts, pauseMs } = this.#followed;
    const whole = joinParts(
      await Promise.all(
        parts.map((part) => readWholePart(this.#store, table, part, READ_TIMEOUT_MS)),
      ),
    );
    if (this.#isStopped) return 0;
    if (E.isLeft(whole)) return RETRY_MS;
    this.#version = whole.right.version;
    this.#onEvent({ kind: 'snapshot', ...whole.right });
    return pauseMs;
  }

  async #follow(version: number): Promise<number> {
    const { table, pauseMs } = this.#followed;
    const outcome = await this.#store.follow(table, version, FOLLOW_WAIT_MS);
    if (this.#isStopped) return 0;
    if (E.isLeft(outcome)) {
      if (outcome.left.kind === 'historyLost') this.#version = undefined;
      return outcome.left.kind === 'historyLost' ? 0 : RETRY_MS;
    }
    const { changes, storeVersion } = outcome.right;
    this.#version = Math.max(version, storeVersion);
    if (changes.length > 0) this.#onEvent({ kind: 'changes', changes, version: storeVersion });
    return pauseMs;
  }
}
