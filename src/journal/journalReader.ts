/** Reads a shard's journal: the head row, the snapshot that it names, then the journal rows. */

import type { JsonValue, PlatformCall, PlatformResult, Row } from '../platform/types';
import type { ShardId } from '../types/ids';
import { getHeadKey, getJournalKey, getJournalPrefix } from './keys';
import type { JournalCall, JournalContent, JournalHead, JournalOrigin, JournalRow } from './types';

const PAGE_ROWS = 200;
const RETRY_MS = 300;

interface Reading {
  readonly generation: number;
  step: 'journalReadHead' | 'journalReadSnapshot' | 'journalReadRows';
  head: JournalHead | null;
  headVersion: number;
  snapshot: string | null;
  afterKey: string;
  readonly rows: JournalRow[];
  nextMs: number;
}

type ReadOrigin = Extract<
  JournalOrigin,
  { kind: 'journalReadHead' | 'journalReadSnapshot' | 'journalReadRows' }
>;

/** The outcome of a read step. */
export interface ReadProgress {
  readonly calls: readonly JournalCall[];
  /** Set once the shard's journal has been read completely. */
  readonly content?: JournalContent;
}

/**
 * Returns whether a value is a journal head.
 * @param value - the value of a row
 */
export function isJournalHead(value: unknown): value is JournalHead {
  return typeof value === 'object' && value !== null && 'snapshotName' in value;
}

function isJournalRow(value: unknown): value is JournalRow {
  return typeof value === 'object' && value !== null && 'entries' in value;
}

function createContent(shardId: ShardId, reading: Reading): JournalContent {
  const headSequence = reading.head?.sequence ?? 0;
  const newer = reading.rows.filter((row) => row.sequence > headSequence);
  return {
    shardId,
    snapshot: reading.snapshot,
    entries: newer.flatMap((row): readonly JsonValue[] => row.entries),
    lastSequence: newer[newer.length - 1]?.sequence ?? headSequence,
    headSequence,
    headSnapshotName: reading.head?.snapshotName ?? '',
    headVersion: reading.headVersion,
    keptSequences: reading.rows.map((row) => row.sequence),
  };
}

/** Reads the journals of shards that were acquired and are not usable yet. */
export class JournalReader {
  #readings = new Map<ShardId, Reading>();

  #generation = 0;

  /**
   * Starts to read a shard's journal, or restarts it if a read is in progress.
   * @param shardId - the shard
   */
  begin(shardId: ShardId): void {
    this.#generation += 1;
    this.#readings.set(shardId, {
      generation: this.#generation,
      step: 'journalReadHead',
      head: null,
      headVersion: 0,
      snapshot: null,
      afterKey: '',
      rows: [],
      nextMs: Number.NEGATIVE_INFINITY,
    });
  }

  /**
   * Stops reading the journal of a shard that was lost.
   * @param shardId - the shard
   */
  stop(shardId: ShardId): void {
    this.#readings.delete(shardId);
  }

  /**
   * Sends the read steps that are due.
   * @param nowMs - the current time on this process's clock
   * @returns the calls
   */
  tick(nowMs: number): readonly JournalCall[] {
    return [...this.#readings].flatMap(([shardId, reading]) =>
      nowMs < reading.nextMs ? [] : [JournalReader.#send(shardId, reading)],
    );
  }

  /**
   * Applies the result of a read step.
   * @param nowMs - the current time on this process's clock
   * @param origin - identifies the step
   * @param result - the result
   * @returns the call of the next step, or the content after the last one
   */
  applyResult(nowMs: number, origin: ReadOrigin, result: PlatformResult): ReadProgress {
    const { shardId } = origin;
    const reading = this.#readings.get(shardId);
    const isExpected =
      reading !== undefined &&
      reading.generation === origin.generation &&
      reading.step === origin.kind;
    if (!isExpected) return { calls: [] };
    const isDone = JournalReader.#advance(shardId, reading, result);
    if (isDone === undefined) {
      reading.nextMs = nowMs + RETRY_MS;
      return { calls: [] };
    }
    if (!isDone) return { calls: [JournalReader.#send(shardId, reading)] };
    this.#readings.delete(shardId);
    return { calls: [], content: createContent(shardId, reading) };
  }

  static #send(shardId: ShardId, reading: Reading): JournalCall {
    // No timeout is needed here: the platform client always returns a result.
    reading.nextMs = Number.POSITIVE_INFINITY;
    const { generation, step } = reading;
    const origin = { kind: step, shardId, generation } as const;
    return { kind: 'callPlatform', origin, call: JournalReader.#createCall(shardId, reading) };
  }

  static #createCall(shardId: ShardId, reading: Reading): PlatformCall {
    switch (reading.step) {
      case 'journalReadHead':
        return { kind: 'read', keys: [getHeadKey(shardId)] };
      case 'journalReadSnapshot':
        return { kind: 'getObject', name: reading.head?.snapshotName ?? '' };
      default:
        return {
          kind: 'range',
          prefix: getJournalPrefix(shardId),
          after: reading.afterKey,
          limit: PAGE_ROWS,
        };
    }
  }

  /** Returns true after the last step, false if another one follows, undefined for a retry. */
  static #advance(shardId: ShardId, reading: Reading, result: PlatformResult): boolean | undefined {
    switch (reading.step) {
      case 'journalReadHead':
        if (result.kind !== 'rows') return undefined;
        JournalReader.#applyHead(reading, result.rows[0]);
        return false;
      case 'journalReadSnapshot':
        if (result.kind !== 'object' || result.body === null) return undefined;
        reading.snapshot = result.body;
        reading.step = 'journalReadRows';
        return false;
      default:
        if (result.kind !== 'rows') return undefined;
        return JournalReader.#applyRows(shardId, reading, result.rows);
    }
  }

  static #applyHead(reading: Reading, row: Row | undefined): void {
    reading.headVersion = row?.version ?? 0;
    reading.step = 'journalReadRows';
    if (row === undefined || !isJournalHead(row.value)) return;
    reading.head = row.value;
    reading.step = 'journalReadSnapshot';
  }

  static #applyRows(shardId: ShardId, reading: Reading, rows: readonly Row[]): boolean {
    rows.forEach(({ value }) => {
      if (isJournalRow(value)) reading.rows.push(value);
    });
    const last = reading.rows[reading.rows.length - 1];
    if (rows.length < PAGE_ROWS || last === undefined) return true;
    reading.afterKey = getJournalKey(shardId, last.sequence);
    return false;
  }
}
