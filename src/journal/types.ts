/** Types of the group-committed journal: one log per shard, written by the holder of its lease. */

import type { JsonValue, PlatformCall, RowCheck } from '../platform/types';
import type { OperationId, ShardId } from '../types/ids';

/** Identifies the call that a platform result belongs to. */
export type JournalOrigin =
  | { readonly kind: 'journalWrite'; readonly operationId: OperationId }
  | { readonly kind: 'journalTrim'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalPutSnapshot'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalSetHead'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalDropSnapshot'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalReadHead'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalReadSnapshot'; readonly shardId: ShardId; readonly generation: number }
  | { readonly kind: 'journalReadRows'; readonly shardId: ShardId; readonly generation: number };

/** A call of the journal to the platform. */
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

/** Names a shard's newest snapshot. Journal rows up to its sequence are no longer needed. */
export interface JournalHead {
  readonly sequence: number;
  readonly snapshotName: string;
}

/** Provides the check that a shard's lease row is unchanged, without which no write commits. */
export interface FenceSource {
  /**
   * Returns the check of a shard's lease row.
   * @param shardId - the shard
   * @returns the key and version of the row; undefined if this process does not own the shard
   */
  tryGetFence(shardId: ShardId): RowCheck | undefined;
}

/** The content of a shard's journal as it was read. */
export interface JournalContent {
  readonly shardId: ShardId;
  /** The body of the snapshot; null if there is none. */
  readonly snapshot: string | null;
  /** Entries written after the snapshot, in order. */
  readonly entries: readonly JsonValue[];
  /** Sequence of the last row, or of the head if no row follows it. */
  readonly lastSequence: number;
  /** Rows at or below this sequence may be deleted. */
  readonly headSequence: number;
  /** The object that the head row names; empty if there is none. */
  readonly headSnapshotName: string;
  /** Version of the head row, which the next change of it checks. */
  readonly headVersion: number;
  /** Sequences of the journal rows in the table. */
  readonly keptSequences: readonly number[];
}
