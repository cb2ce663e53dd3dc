/**
 * Group commit: all entries since the last write leave in one transaction, with one row per shard
 * that has any. Effects handed in with an entry are released only once the entry is durable.
 */

import type { JsonValue, PlatformResult, RowCheck, Transaction } from '../platform/types';
import { toId } from '../types/ids';
import type { OperationId, ShardId } from '../types/ids';
import { getJournalKey } from './keys';
import type { FenceSource, JournalCall } from './types';

/** Rows a second that all schedulers together may write to their journals. */
export const JOURNAL_ROWS_PER_S = 60;
/** Entries that are not urgent wait this long for others. */
export const MAX_ENTRY_AGE_MS = 200;
/** A write leaves early when one shard has this many entries. */
export const MAX_ROW_ENTRIES = 500;
const MIN_FLUSH_INTERVAL_MS = 20;
const MS_PER_S = 1_000;

interface PendingEntry<F> {
  readonly entry: JsonValue;
  readonly released: readonly F[];
}

interface ShardLog<F> {
  pending: PendingEntry<F>[];
  nextSequence: number;
  appendedCount: number;
  committedCount: number;
}

interface ShardWrite<F> {
  readonly shardId: ShardId;
  readonly log: ShardLog<F>;
  readonly fence: RowCheck;
  readonly sequence: number;
  readonly entries: readonly PendingEntry<F>[];
}

interface Flush<F> {
  readonly operationId: OperationId;
  readonly transaction: Transaction;
  readonly writes: readonly ShardWrite<F>[];
  isInFlight: boolean;
}

/** What came of a write. */
export interface JournalOutcome<F> {
  readonly released: readonly F[];
  /** Rows that were committed, for the trimming behind snapshots. */
  readonly committed: readonly { readonly shardId: ShardId; readonly sequence: number }[];
  /** Shards that this process no longer owns; their entries are gone. */
  readonly lostShardIds: readonly ShardId[];
}

/** Journals of the shards that this process owns; `F` is the type of the effects held back. */
export class Journal<F> {
  #writerId: string;

  #fences: FenceSource;

  #logs = new Map<ShardId, ShardLog<F>>();

  #flush: Flush<F> | undefined;

  #oldestMs = Number.POSITIVE_INFINITY;

  #isUrgent = false;

  #nextFlushMs = Number.NEGATIVE_INFINITY;

  #operationCount = 0;

  /**
   * @param writerId - distinguishes this run of the process in operation ids
   * @param fences - the lease rows that guard each write
   */
  constructor(writerId: string, fences: FenceSource) {
    this.#writerId = writerId;
    this.#fences = fences;
  }

  /** True when every entry is durable. */
  get isIdle(): boolean {
    return this.#flush === undefined && this.#getDirty().length === 0;
  }

  /**
   * Opens a shard's log after it was read back.
   * @param shardId - the shard
   * @param lastSequence - of the last row found, 0 for none
   */
  open(shardId: ShardId, lastSequence: number): void {
    this.#logs.set(shardId, {
      pending: [],
      nextSequence: lastSequence + 1,
      appendedCount: 0,
      committedCount: 0,
    });
  }

  /**
   * Drops a shard's log with the effects that waited for it.
   * @param shardId - the shard
   */
  close(shardId: ShardId): void {
    this.#logs.delete(shardId);
  }

  /**
   * Adds an entry.
   * @param nowMs - this process's clock
   * @param shardId - an open shard
   * @param entry - plain data
   * @param released - effects that must not leave before the entry is durable
   * @param isUrgent - true when somebody waits for it
   * @returns the entry's number, for `isDurable`
   */
  append(
    nowMs: number,
    shardId: ShardId,
    entry: JsonValue,
    released: readonly F[] = [],
    isUrgent = false,
  ): number {
    const log = this.#logs.get(shardId);
    if (log === undefined) return 0;
    log.pending.push({ entry, released });
    log.appendedCount += 1;
    this.#oldestMs = Math.min(this.#oldestMs, nowMs);
    this.#isUrgent ||= isUrgent || log.pending.length >= MAX_ROW_ENTRIES;
    return log.appendedCount;
  }

  /**
   * Asks whether an entry is durable.
   * @param shardId - its shard
   * @param entryNumber - from `append`
   * @returns true when it is committed
   */
  isDurable(shardId: ShardId, entryNumber: number): boolean {
    return (this.#logs.get(shardId)?.committedCount ?? -1) >= entryNumber;
  }

  /**
   * Gets the last sequence that this shard has assigned to a row.
   * @param shardId - the shard
   * @returns the sequence
   */
  getLastSequence(shardId: ShardId): number {
    return (this.#logs.get(shardId)?.nextSequence ?? 1) - 1;
  }

  /**
   * Writes what has gathered, when it is due and the write budget allows.
   * @param nowMs - this process's clock
   * @param writerCount - schedulers that share the platform's write rate
   * @returns the call, if any
   */
  tryFlush(nowMs: number, writerCount: number): readonly JournalCall[] {
    if (this.#flush !== undefined) return this.#resend(nowMs, this.#flush);
    const isDue = this.#isUrgent || nowMs - this.#oldestMs >= MAX_ENTRY_AGE_MS;
    if (!isDue || nowMs < this.#nextFlushMs) return [];
    const writes = this.#takeWrites();
    if (writes.length === 0) return [];
    const rowMs = (MS_PER_S * Math.max(1, writerCount)) / JOURNAL_ROWS_PER_S;
    this.#nextFlushMs = nowMs + Math.max(MIN_FLUSH_INTERVAL_MS, writes.length * rowMs);
    this.#isUrgent = false;
    this.#oldestMs = this.#getDirty().length > 0 ? nowMs : Number.POSITIVE_INFINITY;
    this.#flush = this.#createFlush(writes);
    return [Journal.#createCall(this.#flush)];
  }

  /**
   * Takes in what came of a write. A lost answer is resolved by sending the same write again: its
   * rows must not exist yet, so that it commits once, and a conflict shows whose rows they are.
   * @param operationId - which write
   * @param result - what came
   * @returns what is durable now
   */
  applyResult(operationId: OperationId, result: PlatformResult): JournalOutcome<F> {
    const flush = this.#flush;
    if (flush === undefined || flush.operationId !== operationId) return Journal.#nothing();
    flush.isInFlight = false;
    if (result.kind === 'committed') return this.#commit(flush);
    if (result.kind !== 'conflict') return Journal.#nothing();
    const isOwn = result.rows.some(
      ({ value }) =>
        typeof value === 'object' &&
        value !== null &&
        'operationId' in value &&
        value.operationId === operationId,
    );
    if (isOwn) return this.#commit(flush);
    const changed = new Set(
      flush.transaction.checks
        .filter((check, index) => result.rows[index]?.version !== check.version)
        .map((check) => check.key),
    );
    const lostShardIds = flush.writes
      .filter(({ fence, shardId, sequence }) =>
        [fence.key, getJournalKey(shardId, sequence)].some((key) => changed.has(key)),
      )
      .filter(({ shardId, log }) => this.#logs.get(shardId) === log)
      .map((write) => write.shardId);
    lostShardIds.forEach((shardId) => this.#logs.delete(shardId));
    this.#requeue(flush);
    return { released: [], committed: [], lostShardIds };
  }

  static #nothing<F>(): JournalOutcome<F> {
    return { released: [], committed: [], lostShardIds: [] };
  }

  #getDirty(): readonly [ShardId, ShardLog<F>][] {
    return [...this.#logs].filter(([, log]) => log.pending.length > 0);
  }

  #takeWrites(): readonly ShardWrite<F>[] {
    return this.#getDirty().flatMap(([shardId, log]) => {
      const fence = this.#fences.tryGetFence(shardId);
      if (fence === undefined) return [];
      const entries = log.pending;
      const sequence = log.nextSequence;
      log.pending = [];
      log.nextSequence += 1;
      return [{ shardId, log, fence, sequence, entries }];
    });
  }

  #createFlush(writes: readonly ShardWrite<F>[]): Flush<F> {
    this.#operationCount += 1;
    const operationId = toId<OperationId>(`${this.#writerId}/journal/${this.#operationCount}`);
    const checks = writes.flatMap(({ shardId, fence, sequence }) => [
      fence,
      { key: getJournalKey(shardId, sequence), version: 0 },
    ]);
    const transaction: Transaction = {
      operationId,
      checks,
      writes: writes.map(({ shardId, sequence, entries }) => ({
        key: getJournalKey(shardId, sequence),
        value: { operationId, sequence, entries: entries.map(({ entry }) => entry) },
      })),
    };
    return { operationId, transaction, writes, isInFlight: true };
  }

  static #createCall<F>({ operationId, transaction }: Flush<F>): JournalCall {
    return {
      kind: 'callPlatform',
      origin: { kind: 'journalWrite', operationId },
      call: { kind: 'transact', transaction },
    };
  }

  #resend(nowMs: number, flush: Flush<F>): readonly JournalCall[] {
    if (flush.isInFlight || nowMs < this.#nextFlushMs) return [];
    this.#nextFlushMs = nowMs + MAX_ENTRY_AGE_MS;
    flush.isInFlight = true;
    return [Journal.#createCall(flush)];
  }

  #commit(flush: Flush<F>): JournalOutcome<F> {
    this.#flush = undefined;
    const open = flush.writes.filter(({ shardId, log }) => this.#logs.get(shardId) === log);
    open.forEach(({ log, entries }) => {
      log.committedCount += entries.length;
    });
    return {
      released: open.flatMap(({ entries }) => entries.flatMap((entry) => entry.released)),
      committed: open.map(({ shardId, sequence }) => ({ shardId, sequence })),
      lostShardIds: [],
    };
  }

  /**
   * Puts a write that certainly has not committed back. It can't commit later either: it checks a
   * lease row that has changed.
   */
  #requeue(flush: Flush<F>): void {
    this.#flush = undefined;
    flush.writes.forEach(({ shardId, log, sequence, entries }) => {
      if (this.#logs.get(shardId) !== log) return;
      log.pending = [...entries, ...log.pending];
      log.nextSequence = sequence;
    });
    if (this.#getDirty().length > 0) this.#isUrgent = true;
  }
}
