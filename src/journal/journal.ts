/**
 * Group commit: all entries since the last write are written in one transaction, with one row for
 * each shard that has entries. Effects appended with an entry are released once it is durable.
 */

import type { JsonValue, PlatformResult, RowCheck, Transaction } from '../platform/types';
import { toId } from '../types/ids';
import type { OperationId, ShardId } from '../types/ids';
import { getJournalKey } from './keys';
import type { FenceSource, JournalCall } from './types';

/** Maximum number of journal rows that all schedulers together write per second. */
export const MAX_JOURNAL_ROWS_PER_S = 60;
/** Entries that are not urgent wait at most this long to be written together with others. */
export const MAX_ENTRY_AGE_MS = 200;
/** A write is sent early when one shard has this many pending entries. */
export const MAX_ROW_ENTRIES = 500;
const MIN_FLUSH_INTERVAL_MS = 20;
const MS_PER_S = 1_000;

interface PendingEntry<F> {
  readonly entry: JsonValue;
  readonly deferredEffects: readonly F[];
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

/** The outcome of a write. */
export interface JournalOutcome<F> {
  readonly releasedEffects: readonly F[];
  /** Rows that were committed, recorded so that they are trimmed after a later snapshot. */
  readonly committed: readonly { readonly shardId: ShardId; readonly sequence: number }[];
  /** Shards that this process no longer owns; their pending entries were discarded. */
  readonly lostShardIds: readonly ShardId[];
}

/** Journals of the shards that this process owns; `F` is the type of the deferred effects. */
export class Journal<F> {
  #writerId: string;

  #fenceSource: FenceSource;

  #logs = new Map<ShardId, ShardLog<F>>();

  #flush: Flush<F> | undefined;

  #oldestPendingMs = Number.POSITIVE_INFINITY;

  #isUrgent = false;

  #nextFlushMs = Number.NEGATIVE_INFINITY;

  #operationCount = 0;

  /**
   * @param writerId - identifies this run of the process in operation ids
   * @param fenceSource - provides the lease row checks that fence each write
   */
  constructor(writerId: string, fenceSource: FenceSource) {
    this.#writerId = writerId;
    this.#fenceSource = fenceSource;
  }

  /** Whether every entry is durable. */
  get isIdle(): boolean {
    return this.#flush === undefined && this.#getDirtyLogs().length === 0;
  }

  /**
   * Opens a shard's log after its journal was read.
   * @param shardId - the shard
   * @param lastSequence - the sequence of the last row; 0 if there is none
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
   * Discards a shard's log together with its pending entries and their deferred effects.
   * @param shardId - the shard
   */
  close(shardId: ShardId): void {
    this.#logs.delete(shardId);
  }

  /**
   * Appends an entry.
   * @param nowMs - the current time on this process's clock
   * @param shardId - a shard whose log is open
   * @param entry - plain data
   * @param deferredEffects - effects that must not be performed before the entry is durable
   * @param isUrgent - whether a caller waits for the entry to be durable
   * @returns the entry's number, for `isDurable`; 0 if the shard's log is not open
   */
  append(
    nowMs: number,
    shardId: ShardId,
    entry: JsonValue,
    deferredEffects: readonly F[] = [],
    isUrgent = false,
  ): number {
    const log = this.#logs.get(shardId);
    if (log === undefined) return 0;
    log.pending.push({ entry, deferredEffects });
    log.appendedCount += 1;
    this.#oldestPendingMs = Math.min(this.#oldestPendingMs, nowMs);
    this.#isUrgent ||= isUrgent || log.pending.length >= MAX_ROW_ENTRIES;
    return log.appendedCount;
  }

  /**
   * Returns whether an entry is durable.
   * @param shardId - the entry's shard
   * @param entryNumber - the number that `append` returned
   * @returns true if the entry has been committed
   */
  isDurable(shardId: ShardId, entryNumber: number): boolean {
    return (this.#logs.get(shardId)?.committedCount ?? -1) >= entryNumber;
  }

  /**
   * Returns the sequence of the last row that was sent or found for a shard.
   * @param shardId - the shard
   * @returns the sequence; 0 if there is none
   */
  getLastSequence(shardId: ShardId): number {
    return (this.#logs.get(shardId)?.nextSequence ?? 1) - 1;
  }

  /**
   * Writes the pending entries if they are due and the write rate allows it, or resends a write
   * whose outcome is unknown.
   * @param nowMs - the current time on this process's clock
   * @param writerCount - number of schedulers that share the write rate
   * @returns the call, if any
   */
  tryFlush(nowMs: number, writerCount: number): readonly JournalCall[] {
    if (this.#flush !== undefined) return this.#resend(nowMs, this.#flush);
    const isDue = this.#isUrgent || nowMs - this.#oldestPendingMs >= MAX_ENTRY_AGE_MS;
    if (!isDue || nowMs < this.#nextFlushMs) return [];
    const writes = this.#collectWrites();
    if (writes.length === 0) return [];
    const intervalPerRowMs = (MS_PER_S * Math.max(1, writerCount)) / MAX_JOURNAL_ROWS_PER_S;
    this.#nextFlushMs = nowMs + Math.max(MIN_FLUSH_INTERVAL_MS, writes.length * intervalPerRowMs);
    this.#isUrgent = false;
    this.#oldestPendingMs = this.#getDirtyLogs().length > 0 ? nowMs : Number.POSITIVE_INFINITY;
    this.#flush = this.#createFlush(writes);
    return [Journal.#createCall(this.#flush)];
  }

  /**
   * Applies the result of a write. If the response is lost, the same write is sent again: it checks
   * that its rows do not exist yet, so it commits at most once, and a conflict returns the existing
   * rows, which show whether this write created them.
   * @param operationId - the id of the write
   * @param result - the result
   * @returns the entries that became durable and the shards that were lost
   */
  applyResult(operationId: OperationId, result: PlatformResult): JournalOutcome<F> {
    const flush = this.#flush;
    if (flush === undefined || flush.operationId !== operationId) return Journal.#emptyOutcome();
    flush.isInFlight = false;
    if (result.kind === 'committed') return this.#commit(flush);
    if (result.kind !== 'conflict') return Journal.#emptyOutcome();
    const isOwn = result.rows.some(
      ({ value }) =>
        typeof value === 'object' &&
        value !== null &&
        'operationId' in value &&
        value.operationId === operationId,
    );
    if (isOwn) return this.#commit(flush);
    const changedKeys = new Set(
      flush.transaction.checks
        .filter((check, index) => result.rows[index]?.version !== check.version)
        .map((check) => check.key),
    );
    const lostShardIds = flush.writes
      .filter(({ fence, shardId, sequence }) =>
        [fence.key, getJournalKey(shardId, sequence)].some((key) => changedKeys.has(key)),
      )
      .filter(({ shardId, log }) => this.#logs.get(shardId) === log)
      .map((write) => write.shardId);
    lostShardIds.forEach((shardId) => this.#logs.delete(shardId));
    this.#requeue(flush);
    return { releasedEffects: [], committed: [], lostShardIds };
  }

  static #emptyOutcome<F>(): JournalOutcome<F> {
    return { releasedEffects: [], committed: [], lostShardIds: [] };
  }

  #getDirtyLogs(): readonly [ShardId, ShardLog<F>][] {
    return [...this.#logs].filter(([, log]) => log.pending.length > 0);
  }

  #collectWrites(): readonly ShardWrite<F>[] {
    return this.#getDirtyLogs().flatMap(([shardId, log]) => {
      const fence = this.#fenceSource.tryGetFence(shardId);
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
    const openWrites = flush.writes.filter(({ shardId, log }) => this.#logs.get(shardId) === log);
    openWrites.forEach(({ log, entries }) => {
      log.committedCount += entries.length;
    });
    return {
      releasedEffects: openWrites.flatMap(({ entries }) =>
        entries.flatMap((entry) => entry.deferredEffects),
      ),
      committed: openWrites.map(({ shardId, sequence }) => ({ shardId, sequence })),
      lostShardIds: [],
    };
  }

  /**
   * Returns the entries of a write that certainly was not committed to their logs. The write cannot
   * commit later either, because a lease row or journal row that it checks has changed.
   */
  #requeue(flush: Flush<F>): void {
    this.#flush = undefined;
    flush.writes.forEach(({ shardId, log, sequence, entries }) => {
      if (this.#logs.get(shardId) !== log) return;
      log.pending = [...entries, ...log.pending];
      log.nextSequence = sequence;
    });
    if (this.#getDirtyLogs().length > 0) this.#isUrgent = true;
  }
}
