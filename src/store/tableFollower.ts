/** Follows a table: reads a snapshot, then its changes, and a new snapshot when the change history is lost. */

import * as E from 'fp-ts/Either';
import type { RowChange, RowStore, StoredRow } from './types';
import { throwRejection } from '../types/debug';

/** Maximum time for which the store holds a call while there are no changes. */
const FOLLOW_WAIT_MS = 1_000;

/** Delay after a failed call. */
const RETRY_MS = 150;

/** Timeout for reading one page. */
const READ_TIMEOUT_MS = 1_500;

/** Rows per page; the maximum that the store returns. */
const PAGE_ROWS = 500;

/** Rows or changes read by a follower. */
export type FollowerEvent =
  /** All rows of the followed parts; replaces all rows known before. */
  | { readonly kind: 'snapshot'; readonly rows: readonly StoredRow[]; readonly version: number }
  | {
      readonly kind: 'changes';
      readonly changes: readonly RowChange[];
      readonly version: number;
      /** Lower bound of the time of the changes, on the clock of the follower; undefined when it is not known. */
      readonly changedAfterMs: number | undefined;
    };

/** The table to follow, and how often. */
export interface FollowedTable {
  readonly table: string;
  /** Parts that are read for a snapshot; changes are reported for all parts. */
  readonly parts: readonly string[];
  /** Delay between calls, so that many small changes are read with one call. */
  readonly pauseMs: number;
}

/** All rows of one or several parts, and the version from which to follow changes. */
export interface PartSnapshot {
  readonly rows: readonly StoredRow[];
  readonly version: number;
  /** Reading of the store's steady clock in the first answer, if it has one. */
  readonly storeMs?: number | undefined;
}

/**
 * Reads all rows of one part of a table.
 * @param store - the store
 * @param table - the table
 * @param part - the part
 * @param timeoutMs - timeout for each page
 * @param previous - rows of the pages read so far
 * @returns the rows, with the version and the clock of the first page
 */
export async function readPartSnapshot(
  store: Pick<RowStore, 'readRange'>,
  table: string,
  part: string,
  timeoutMs: number,
  previous: PartSnapshot | undefined = undefined,
): Promise<E.Either<string, PartSnapshot>> {
  const lastKey = previous?.rows.at(-1)?.key ?? '';
  const query = { table, part, fromKey: lastKey, limit: PAGE_ROWS };
  const page = await store.readRange(query, timeoutMs);
  if (E.isLeft(page)) return E.left(page.left.kind);
  // Each page begins with the last row of the page before it.
  const newRows = page.right.rows.filter((row) => lastKey === '' || row.key !== lastKey);
  const snapshot: PartSnapshot = {
    rows: [...(previous?.rows ?? []), ...newRows],
    version: previous?.version ?? page.right.storeVersion,
    storeMs: previous === undefined ? page.right.storeMs : previous.storeMs,
  };
  if (!page.right.hasMore || newRows.length === 0) return E.right(snapshot);
  return readPartSnapshot(store, table, part, timeoutMs, snapshot);
}

/**
 * Merges the snapshots of several parts.
 * @param parts - the snapshot of each part, or why it could not be read
 * @returns all rows with the oldest version, so that no change is missed, or the first failure
 */
export function mergeSnapshots(
  parts: readonly E.Either<string, PartSnapshot>[],
): E.Either<string, PartSnapshot> {
  const failure = parts.find(E.isLeft);
  if (failure !== undefined) return failure;
  const snapshots = parts.filter(E.isRight).map(({ right }) => right);
  return E.right({
    rows: snapshots.flatMap(({ rows }) => rows),
    version: Math.min(...snapshots.map(({ version }) => version)),
  });
}

/** Receives readings of the store's clock that come with changes. */
export interface StoreClockListener {
  /** Clock by which the sending of calls is dated. */
  getNowMs(): number;
  onReading(storeMs: number, sentAtMs: number): void;
}

/** Follows one table until it is stopped. */
export class TableFollower {
  #store: RowStore;

  #followed: FollowedTable;

  #onEvent: (event: FollowerEvent) => void;

  #isStopped = false;

  #version: number | undefined;

  #getTimeMs: () => number;

  /** Receives readings of the store's clock. */
  storeClockListener: StoreClockListener | undefined;

  /** All changes before this time have been reported. */
  #readUntilMs: number | undefined;

  /**
   * @param store - the store
   * @param followed - the table to follow
   * @param onEvent - called with snapshots and changes, in order
   * @param getTimeMs - clock by which changes are dated
   */
  constructor(
    store: RowStore,
    followed: FollowedTable,
    onEvent: (event: FollowerEvent) => void,
    getTimeMs: () => number = () => performance.now(),
  ) {
    this.#getTimeMs = getTimeMs;
    this.#store = store;
    this.#followed = followed;
    this.#onEvent = onEvent;
  }

  /**
   * Starts following.
   * @param version - version from which to read changes; when omitted, a snapshot is read first
   */
  start(version?: number): void {
    this.#version = version;
    this.#scheduleNext(0);
  }

  /** The version up to which all changes have been reported; undefined while a snapshot is being read. */
  get version(): number | undefined {
    return this.#version;
  }

  /** Stops following; no further events are reported. */
  stop(): void {
    this.#isStopped = true;
  }

  #scheduleNext(delayMs: number): void {
    if (this.#isStopped) return;
    setTimeout(() => {
      if (this.#isStopped) return;
      const call = this.#version === undefined ? this.#readSnapshot() : this.#follow(this.#version);
      call.then((nextDelayMs) => this.#scheduleNext(nextDelayMs), throwRejection);
    }, delayMs);
  }

  async #readSnapshot(): Promise<number> {
    const { table, parts, pauseMs } = this.#followed;
    const snapshot = mergeSnapshots(
      await Promise.all(
        parts.map((part) => readPartSnapshot(this.#store, table, part, READ_TIMEOUT_MS)),
      ),
    );
    if (this.#isStopped) return 0;
    if (E.isLeft(snapshot)) return RETRY_MS;
    this.#version = snapshot.right.version;
    this.#readUntilMs = undefined;
    const { rows, version } = snapshot.right;
    this.#onEvent({ kind: 'snapshot', rows, version });
    return pauseMs;
  }

  async #follow(version: number): Promise<number> {
    const { table, pauseMs } = this.#followed;
    const sentAtMs = this.#getTimeMs();
    const listener = this.storeClockListener;
    const listenedAtMs = listener?.getNowMs();
    const outcome = await this.#store.follow(table, version, FOLLOW_WAIT_MS);
    if (this.#isStopped) return 0;
    if (E.isLeft(outcome)) {
      if (outcome.left.kind === 'historyLost') this.#version = undefined;
      return outcome.left.kind === 'historyLost' ? 0 : RETRY_MS;
    }
    const { changes, storeVersion, storeMs } = outcome.right;
    if (storeMs !== undefined && listenedAtMs !== undefined)
      listener?.onReading(storeMs, listenedAtMs);
    this.#version = Math.max(version, storeVersion);
    const changedAfterMs = this.#readUntilMs;
    // A response that may have been cut off says nothing about later changes.
    this.#readUntilMs = changes.length < PAGE_ROWS ? sentAtMs : undefined;
    if (changes.length > 0)
      this.#onEvent({ kind: 'changes', changes, version: storeVersion, changedAfterMs });
    return pauseMs;
  }
}
