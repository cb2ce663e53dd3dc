/** Names of the rows and objects of a journal. */

import type { ShardId } from '../types/ids';

const SEQUENCE_DIGITS = 12;

/**
 * Gets the prefix of a shard's journal rows.
 * @param shardId - the shard
 * @returns the prefix
 */
export function getJournalPrefix(shardId: ShardId): string {
  return `journal/${shardId}/`;
}

/**
 * Gets the key of one journal row; keys sort by sequence.
 * @param shardId - the shard
 * @param sequence - the row's number, from 1
 * @returns the key
 */
export function getJournalKey(shardId: ShardId, sequence: number): string {
  return `${getJournalPrefix(shardId)}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/**
 * Gets the key of the row that names a shard's newest snapshot.
 * @param shardId - the shard
 * @returns the key
 */
export function getHeadKey(shardId: ShardId): string {
  return `journalHead/${shardId}`;
}

/**
 * Gets the name of a snapshot object. Two writers never share a name.
 * @param shardId - the shard
 * @param sequence - the last row that the snapshot covers
 * @param writerId - who writes it
 * @returns the name
 */
export function getSnapshotName(shardId: ShardId, sequence: number, writerId: string): string {
  return `snapshot/${shardId}/${sequence}/${writerId}`;
}
