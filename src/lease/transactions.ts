/** Builds the calls that scan and change members and shard leases. */

import { getMemberKey, MEMBER_PREFIX } from '../membership/memberTable';
import type { PlatformCall } from '../platform/types';
import type { MemberId, OperationId, ShardId } from '../types/ids';
import type { ShardRow } from './types';

/** Prefix of the rows of all shards. */
export const SHARD_PREFIX = 'shard/';

/** A scan that brings this many rows may be cut short, and says nothing of rows that are missing. */
export const SCAN_LIMIT = 2_000;

/** A shard's row as scanned. */
export interface ShardView {
  readonly row: ShardRow;
  readonly rowVersion: number;
}

/** The row that a shard is to have, and the version that its present one must have. */
export interface ShardChange {
  readonly row: ShardRow;
  readonly rowVersion: number;
}

/**
 * Gets the key of a shard's row.
 * @param shardId - the shard
 * @returns the key
 */
export function getShardKey(shardId: ShardId): string {
  return `${SHARD_PREFIX}${shardId}`;
}

/**
 * Asks whether a value is a shard's row.
 * @param value - of a row under the prefix
 * @returns true when it is
 */
export function isShardRow(value: unknown): value is ShardRow {
  return typeof value === 'object' && value !== null && 'shardId' in value;
}

/**
 * Builds the eviction of a member.
 * @param memberId - who
 * @param rowVersion - of the row that was judged; a renewal in between makes it conflict
 * @param operationId - of this write
 * @returns the call
 */
export function createEviction(
  memberId: MemberId,
  rowVersion: number,
  operationId: OperationId,
): PlatformCall {
  const key = getMemberKey(memberId);
  const checks = [{ key, version: rowVersion }];
  return {
    kind: 'transact',
    transaction: { operationId, checks, writes: [{ key, value: null }] },
  };
}

/**
 * Builds an acquisition or a release of several shards, which commits as a whole or not at all.
 * @param changes - rows and the versions that they replace
 * @param operationId - of this write
 * @returns the call
 */
export function createShardChange(
  changes: readonly ShardChange[],
  operationId: OperationId,
): PlatformCall {
  return {
    kind: 'transact',
    transaction: {
      operationId,
      checks: changes.map(({ row, rowVersion }) => ({
        key: getShardKey(row.shardId),
        version: rowVersion,
      })),
      writes: changes.map(({ row }) => ({ key: getShardKey(row.shardId), value: { ...row } })),
    },
  };
}

/**
 * Builds the scan of all shards.
 * @returns the call
 */
export function createShardScan(): PlatformCall {
  return { kind: 'range', prefix: SHARD_PREFIX, after: '', limit: SCAN_LIMIT };
}

/**
 * Builds the scan of all members.
 * @returns the call
 */
export function createMemberScan(): PlatformCall {
  return { kind: 'range', prefix: MEMBER_PREFIX, after: '', limit: SCAN_LIMIT };
}
