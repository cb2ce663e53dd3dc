/** Creates the platform calls that scan and change member rows and shard rows. */

import { getMemberKey, MEMBER_PREFIX } from '../membership/memberTable';
import type { PlatformCall } from '../platform/types';
import type { MemberId, OperationId, ShardId } from '../types/ids';
import type { ShardRow } from './types';

/** Key prefix of all shard rows. */
export const SHARD_PREFIX = 'shard/';

/**
 * A scan that returns this many rows may be truncated, so a row missing from it may still exist.
 */
export const SCAN_LIMIT = 2_000;

/** A shard's row as a scan returned it. */
export interface ShardView {
  readonly row: ShardRow;
  readonly rowVersion: number;
}

/** The new row of a shard, and the version that its current row must have. */
export interface ShardChange {
  readonly row: ShardRow;
  readonly rowVersion: number;
}

/**
 * Returns the key of a shard's row.
 * @param shardId - the shard
 */
export function getShardKey(shardId: ShardId): string {
  return `${SHARD_PREFIX}${shardId}`;
}

/**
 * Returns whether a value is a shard row.
 * @param value - the value of a row under the shard prefix
 */
export function isShardRow(value: unknown): value is ShardRow {
  return typeof value === 'object' && value !== null && 'shardId' in value;
}

/**
 * Creates the call that evicts a member by deleting its row.
 * @param memberId - the member
 * @param rowVersion - the row version that may be evicted; a renewal since then causes a conflict
 * @param operationId - the id of this write
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
 * Creates the call that atomically acquires or releases shards.
 * @param changes - the new rows and the versions that they replace
 * @param operationId - the id of this write
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

/** Creates the call that scans all shard rows. */
export function createShardScan(): PlatformCall {
  return { kind: 'range', prefix: SHARD_PREFIX, after: '', limit: SCAN_LIMIT };
}

/** Creates the call that scans all member rows. */
export function createMemberScan(): PlatformCall {
  return { kind: 'range', prefix: MEMBER_PREFIX, after: '', limit: SCAN_LIMIT };
}
