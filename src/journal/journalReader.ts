/** Reads a shard's journal: the head row, the snapshot that it names, then the journal rows. */

import type { JsonValue, PlatformCall, PlatformResult, Row } from '../platform/types';
import type { ShardId } from '../types/ids';
import { getHeadKey, getJournalKey, getJournalPrefix } from './keys';
import type { JournalCall, JournalContent, JournalHead, JournalOrigin, JournalRow } from './types';

const PAGE_ROW_LIMIT = 200;
const RETRY_DELAY_MS = 300;

interface ReadState {
  readonly generation: number;
  step: 'journalReadHead' | 'journalReadSnapshot' | 'journalReadRows';
  head: JournalHead | null;
  headVersion: number;
  snapshot: string | null;
  afterKey: string;
  readonly rows: JournalRow[];
  nextSendMs: number;
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

function createContent(shardId: ShardId, state: ReadState): JournalContent {
  const headSequence = state.head?.sequence ?? 0;
  const rowsAfterHead = state.rows.filter((row) => row.sequence > headSequence);
  return {
    shardId,
    snapshot: state.snapshot,
    entries: rowsAfterHead.flatMap((row): readonly JsonValue[] => row.entries),
    lastSequence: rowsAfterHead[rowsAfterHead.length - 1]?.sequence ?? headSequence,
    headSequence,
    headSnapshotName: state.head?.snapshotName ?? '',
    headVersion: state.headVersion,
    keptSequences: state.rows.map((row) => row.sequence),
  };
}

/** Reads the journals of shards that were acquired and are not usable yet. */
export class JournalReader {
  #readStates = new Map<ShardId, ReadState>();

  #generation = 0;

  /**
   * Starts to read a shard's journal, or restarts it if a read is in progress.
   * @param shardId - the shard
   */
  begin(shardId: ShardId): void {
    this.#generation += 1;
    this.#readStates.set(shardId, {
      generation: this.#generation,
      step: 'journalReadHead',
      head: null,
      headVersion: 0,
      snapshot: null,
      afterKey: '',
      rows: [],
      nextSendMs: Number.NEGATIVE_INFINITY,
    });
  }

  /**
   * Stops reading the journal of a shard that was lost.
   * @param shardId - the shard
   */
  stop(shardId: ShardId): void {
    this.#readStates.delete(shardId);
  }

  /**
   * Sends the read steps that are due.
   * @param nowMs - the current time on this process's clock
   * @returns the calls
   */
  tick(nowMs: number): readonly JournalCall[] {
    return [...this.#readStates].flatMap(([shardId, state]) =>
      nowMs < state.nextSendMs ? [] : [JournalReader.#send(shardId, state)],
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
    const state = this.#readStates.get(shardId);
    const isExpected =
      state !== undefined && state.generation === origin.generation && state.step === origin.kind;
    if (!isExpected) return { calls: [] };
    const isDone = JournalReader.#advance(shardId, state, result);
    if (isDone === undefined) {
      state.nextSendMs = nowMs + RETRY_DELAY_MS;
      return { calls: [] };
    }
    if (!isDone) return { calls: [JournalReader.#send(shardId, state)] };
    this.#readStates.delete(shardId);
    return { calls: [], content: createContent(shardId, state) };
  }

  static #send(shardId: ShardId, state: ReadState): JournalCall {
    // No timeout is needed here: the platform client always returns a result.
    state.nextSendMs = Number.POSITIVE_INFINITY;
    const { generation, step } = state;
    const origin = { kind: step, shardId, generation } as const;
    return { kind: 'callPlatform', origin, call: JournalReader.#createCall(shardId, state) };
  }

  static #createCall(shardId: ShardId, state: ReadState): PlatformCall {
    switch (state.step) {
      case 'journalReadHead':
        return { kind: 'read', keys: [getHeadKey(shardId)] };
      case 'journalReadSnapshot':
        return { kind: 'getObject', name: state.head?.snapshotName ?? '' };
      default:
        return {
          kind: 'range',
          prefix: getJournalPrefix(shardId),
          after: state.afterKey,
          limit: PAGE_ROW_LIMIT,
        };
    }
  }

  /** Returns true after the last step, false if another one follows, undefined for a retry. */
  static #advance(shardId: ShardId, state: ReadState, result: PlatformResult): boolean | undefined {
    switch (state.step) {
      case 'journalReadHead':
        if (result.kind !== 'rows') return undefined;
        JournalReader.#applyHead(state, result.rows[0]);
        return false;
      case 'journalReadSnapshot':
        if (result.kind !== 'object' || result.body === null) return undefined;
        state.snapshot = result.body;
        state.step = 'journalReadRows';
        return false;
      default:
        if (result.kind !== 'rows') return undefined;
        return JournalReader.#applyRows(shardId, state, result.rows);
    }
  }

  static #applyHead(state: ReadState, row: Row | undefined): void {
    state.headVersion = row?.version ?? 0;
    state.step = 'journalReadRows';
    if (row === undefined || !isJournalHead(row.value)) return;
    state.head = row.value;
    state.step = 'journalReadSnapshot';
  }

  static #applyRows(shardId: ShardId, state: ReadState, rows: readonly Row[]): boolean {
    rows.forEach(({ value }) => {
      if (isJournalRow(value)) state.rows.push(value);
    });
    const last = state.rows[state.rows.length - 1];
    if (rows.length < PAGE_ROW_LIMIT || last === undefined) return true;
    state.afterKey = getJournalKey(shardId, last.sequence);
    return false;
  }
}
