/** Keys of journal rows and names of snapshot objects. */

import type { ShardId } from '../types/ids';

const SEQUENCE_DIGITS = 12;

/**
 * Returns the key prefix of a shard's journal rows.
 * @param shardId - the shard
 */
export function getJournalPrefix(shardId: ShardId): string {
  return `journal/${shardId}/`;
}

/**
 * Returns the key of a journal row. The lexical order of the keys is that of the sequences.
 * @param shardId - the shard
 * @param sequence - the row's sequence, starting at 1
 */
export function getJournalKey(shardId: ShardId, sequence: number): string {
  return `${getJournalPrefix(shardId)}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/**
 * Returns the key of the row that names a shard's newest snapshot.
 * @param shardId - the shard
 */
export function getHeadKey(shardId: ShardId): string {
  return `journalHead/${shardId}`;
}

/**
 * Returns the name of a snapshot object. Different writers never use the same name.
 * @param shardId - the shard
 * @param sequence - the sequence of the last row that the snapshot covers
 * @param writerId - the writer of the snapshot
 */
export function getSnapshotName(shardId: ShardId, sequence: number, writerId: string): string {
  return `snapshot/${shardId}/${sequence}/${writerId}`;
}
