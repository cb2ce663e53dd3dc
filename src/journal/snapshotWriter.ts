/**
 * Writes snapshots of shards: first the object, then the head row that names it; then the journal
 * rows that it covers and the previous snapshot are deleted. After a crash between any two steps,
 * the journal can still be read completely.
 */

import type { PlatformResult, RowCheck } from '../platform/types';
import { toId } from '../types/ids';
import type { OperationId, ShardId } from '../types/ids';
import { isJournalHead } from './journalReader';
import { getHeadKey, getJournalKey, getSnapshotName } from './keys';
import type { FenceSource, JournalCall, JournalContent, JournalOrigin } from './types';

/** A snapshot is written once a shard has this many journal rows. */
export const SNAPSHOT_ROW_THRESHOLD = 256;
const TRIM_BATCH_ROWS = 100;
const RETRY_DELAY_MS = 500;

/** Provides the content of snapshots. */
export interface SnapshotSource {
  /**
   * Serializes the complete state of a shard.
   * @param shardId - the shard
   * @returns the state as text; it includes at least every committed entry
   */
  createSnapshot(shardId: ShardId): string;
}

type SnapshotStep =
  | { readonly kind: 'idle' }
  | { readonly kind: 'put'; readonly sequence: number; readonly body: string }
  | { readonly kind: 'setHead'; readonly sequence: number }
  | { readonly kind: 'trim' }
  | { readonly kind: 'drop' };

interface ShardSnapshotState {
  readonly generation: number;
  keptSequences: number[];
  headSequence: number;
  headVersion: number;
  /** The object that the head row names, followed by the one that it named before. */
  headSnapshotName: string;
  previousSnapshotName: string;
  step: SnapshotStep;
  nextSendMs: number;
}

type StepOrigin = Extract<
  JournalOrigin,
  { kind: 'journalPutSnapshot' | 'journalSetHead' | 'journalTrim' | 'journalDropSnapshot' }
>;

/** Writes the snapshots and trims the journals of the shards that this process owns. */
export class SnapshotWriter {
  #writerId: string;

  #fenceSource: FenceSource;

  #snapshotSource: SnapshotSource;

  #shards = new Map<ShardId, ShardSnapshotState>();

  #generation = 0;

  /**
   * @param writerId - identifies this run of the process in object names and operation ids
   * @param fenceSource - provides the lease row checks that fence each write
   * @param snapshotSource - provides the content of snapshots
   */
  constructor(writerId: string, fenceSource: FenceSource, snapshotSource: SnapshotSource) {
    this.#writerId = writerId;
    this.#fenceSource = fenceSource;
    this.#snapshotSource = snapshotSource;
  }

  /**
   * Opens a shard after its journal was read.
   * @param content - the content of the journal
   */
  open(content: JournalContent): void {
    this.#generation += 1;
    this.#shards.set(content.shardId, {
      generation: this.#generation,
      keptSequences: [...content.keptSequences],
      headSequence: content.headSequence,
      headVersion: content.headVersion,
      headSnapshotName: content.headSnapshotName,
      previousSnapshotName: '',
      step: { kind: 'idle' },
      nextSendMs: Number.NEGATIVE_INFINITY,
    });
  }

  /**
   * Abandons the snapshot and trimming of a shard that was lost.
   * @param shardId - the shard
   */
  close(shardId: ShardId): void {
    this.#shards.delete(shardId);
  }

  /**
   * Records a committed row.
   * @param shardId - the shard
   * @param sequence - the sequence of the row
   */
  addRow(shardId: ShardId, sequence: number): void {
    this.#shards.get(shardId)?.keptSequences.push(sequence);
  }

  /**
   * Starts snapshots and trimming that are due, and retries failed steps.
   * @param nowMs - the current time on this process's clock
   * @returns the calls
   */
  tick(nowMs: number): readonly JournalCall[] {
    return [...this.#shards].flatMap(([shardId, shard]) => {
      if (nowMs < shard.nextSendMs) return [];
      if (shard.step.kind === 'idle') this.#begin(shardId, shard);
      return this.#send(shardId, shard);
    });
  }

  /**
   * Applies the result of a step.
   * @param nowMs - the current time on this process's clock
   * @param origin - identifies the step
   * @param result - the result
   * @returns the call of the next step, if any
   */
  applyResult(nowMs: number, origin: StepOrigin, result: PlatformResult): readonly JournalCall[] {
    const { shardId } = origin;
    const shard = this.#shards.get(shardId);
    if (shard === undefined || shard.generation !== origin.generation) return [];
    const isDone = result.kind === 'committed' || this.#isOwnHead(shardId, shard, result);
    if (!isDone) {
      // A conflict over a head row that does not name this snapshot means that the lease was lost;
      // the next scan reports it.
      shard.nextSendMs = nowMs + RETRY_DELAY_MS;
      return [];
    }
    shard.nextSendMs = Number.NEGATIVE_INFINITY;
    this.#advance(shardId, shard, result);
    return this.#send(shardId, shard);
  }

  #begin(shardId: ShardId, shard: ShardSnapshotState): void {
    if (shard.keptSequences.some((sequence) => sequence <= shard.headSequence)) {
      shard.step = { kind: 'trim' };
      return;
    }
    if (shard.keptSequences.length < SNAPSHOT_ROW_THRESHOLD) return;
    const sequence = Math.max(...shard.keptSequences);
    shard.step = { kind: 'put', sequence, body: this.#snapshotSource.createSnapshot(shardId) };
  }

  #advance(shardId: ShardId, shard: ShardSnapshotState, result: PlatformResult): void {
    const { step } = shard;
    if (step.kind === 'put') shard.step = { kind: 'setHead', sequence: step.sequence };
    if (step.kind === 'setHead') {
      shard.headSequence = step.sequence;
      shard.headVersion = SnapshotWriter.#getHeadVersion(result) ?? shard.headVersion + 1;
      shard.previousSnapshotName = shard.headSnapshotName;
      shard.headSnapshotName = getSnapshotName(shardId, step.sequence, this.#writerId);
      shard.step = { kind: 'trim' };
    }
    if (step.kind === 'drop') {
      shard.previousSnapshotName = '';
      shard.step = { kind: 'idle' };
    }
    if (step.kind !== 'trim') return;
    const trimmedSequences = new Set(SnapshotWriter.#getNextTrimBatch(shard));
    shard.keptSequences = shard.keptSequences.filter((sequence) => !trimmedSequences.has(sequence));
    if (SnapshotWriter.#getNextTrimBatch(shard).length > 0) return;
    shard.step = { kind: shard.previousSnapshotName === '' ? 'idle' : 'drop' };
  }

  static #getNextTrimBatch(shard: ShardSnapshotState): readonly number[] {
    return shard.keptSequences
      .filter((sequence) => sequence <= shard.headSequence)
      .slice(0, TRIM_BATCH_ROWS);
  }

  /** The head row is the first one in the writes and the second one in the checks. */
  static #getHeadVersion(result: PlatformResult): number | undefined {
    if (result.kind === 'committed') return result.rows[0]?.version;
    return result.kind === 'conflict' ? result.rows[1]?.version : undefined;
  }

  #isOwnHead(shardId: ShardId, shard: ShardSnapshotState, result: PlatformResult): boolean {
    if (shard.step.kind !== 'setHead' || result.kind !== 'conflict') return false;
    const name = getSnapshotName(shardId, shard.step.sequence, this.#writerId);
    const value = result.rows[1]?.value;
    return isJournalHead(value) && value.snapshotName === name;
  }

  #send(shardId: ShardId, shard: ShardSnapshotState): readonly JournalCall[] {
    const fence = this.#fenceSource.tryGetFence(shardId);
    const { step, generation } = shard;
    if (fence === undefined || step.kind === 'idle') return [];
    shard.nextSendMs = Number.POSITIVE_INFINITY;
    const commonFields = { shardId, generation };
    switch (step.kind) {
      case 'put': {
        const name = getSnapshotName(shardId, step.sequence, this.#writerId);
        const call = { kind: 'putObject', name, body: step.body } as const;
        const origin = { kind: 'journalPutSnapshot', ...commonFields } as const;
        return [{ kind: 'callPlatform', origin, call }];
      }
      case 'setHead':
        return [this.#createSetHead(shardId, shard, step.sequence, fence)];
      case 'drop': {
        const call = { kind: 'deleteObject', name: shard.previousSnapshotName } as const;
        const origin = { kind: 'journalDropSnapshot', ...commonFields } as const;
        return [{ kind: 'callPlatform', origin, call }];
      }
      default:
        return [this.#createTrim(shardId, shard, fence)];
    }
  }

  #createSetHead(
    shardId: ShardId,
    shard: ShardSnapshotState,
    sequence: number,
    fence: RowCheck,
  ): JournalCall {
    const key = getHeadKey(shardId);
    const snapshotName = getSnapshotName(shardId, sequence, this.#writerId);
    return {
      kind: 'callPlatform',
      origin: { kind: 'journalSetHead', shardId, generation: shard.generation },
      call: {
        kind: 'transact',
        transaction: {
          operationId: toId<OperationId>(`${this.#writerId}/head/${shardId}/${sequence}`),
          checks: [fence, { key, version: shard.headVersion }],
          writes: [{ key, value: { sequence, snapshotName } }],
        },
      },
    };
  }

  #createTrim(shardId: ShardId, shard: ShardSnapshotState, fence: RowCheck): JournalCall {
    const sequences = SnapshotWriter.#getNextTrimBatch(shard);
    return {
      kind: 'callPlatform',
      origin: { kind: 'journalTrim', shardId, generation: shard.generation },
      call: {
        kind: 'transact',
        transaction: {
          operationId: toId<OperationId>(`${this.#writerId}/trim/${shardId}/${sequences[0] ?? 0}`),
          checks: [fence],
          writes: sequences.map((sequence) => ({
            key: getJournalKey(shardId, sequence),
            value: null,
          })),
        },
      },
    };
  }
}
