/** A group-committed journal: one log per shard, written by whoever holds the shard's lease. */

import type { JsonValue, PlatformCall, RowCheck } from '../platform/types';
import type { OperationId, ShardId } from '../types/ids';

/** Which call a platform result belongs to. */
export type JournalOrigin =
  | { readonly kind: 'journalWrite'; readonly operationId: OperationId }
  | { readonly kind: 'journalTrim'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalPutSnapshot'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalSetHead'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalReadHead'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalReadSnapshot'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalReadRows'; readonly shardId: ShardId; readonly generation: number };

/** A call to the platform on the journal's behalf. */
export interface JournalCall {
  readonly kind: 'callPlatform';
  readonly origin: JournalOrigin;
  readonly call: PlatformCall;
}

/** One row of a shard's journal. */
export interface JournalRow {
  readonly operationId: OperationId;
  readonly sequence: number;
  readonly entries: readonly JsonValue[];
}

/** Names the newest snapshot of a shard; rows up to its sequence are no longer needed. */
export interface JournalHead {
  readonly sequence: number;
  readonly snapshotName: string;
}

/** The lease row that must be unchanged for a write of its shard to commit. */
export interface FenceSource {
  /**
   * @param shardId - the shard
   * @returns the row and its version while this process owns the shard, else undefined
   */
  tryGetFence(shardId: ShardId): RowCheck | undefined;
}

/** What a shard's journal held when it was read back. */
export interface JournalContent {
  readonly shardId: ShardId;
  /** The snapshot's body; null when there is none. */
  readonly snapshot: string | null;
  /** Entries written after the snapshot, in their order. */
  readonly entries: readonly JsonValue[];
  /** Sequence of the last row. */
  readonly lastSequence: number;
  /** Rows at or below this sequence may be deleted. */
  readonly headSequence: number;
  /** Version of the head row, for the next change of it. */
  readonly headVersion: number;
  /** Sequences of rows that are kept in the table. */
  readonly keptSequences: readonly number[];
}
