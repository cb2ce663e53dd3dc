/** Keys and values of the configuration's rows in the platform's table. */

import { toConfigVersion } from '../types/ids';
import type { ConfigVersion, MemberId, OperationId } from '../types/ids';
import type { JsonValue, PlatformResult } from '../platform/types';
import type { AcceptedConfig, ChangeReport } from './types';

/** Key of the row that holds the newest configuration. */
export const CONFIG_KEY = 'config/current';

/** Prefix of the rows of processes that must learn of every change. */
export const CONFIG_MEMBER_PREFIX = 'config/member/';

/** Older versions and their operation ids are deleted. */
export const KEPT_VERSION_COUNT = 200;

/** A process that must learn of every change. */
export interface ConfigMemberRow {
  readonly processId: MemberId;
  readonly address: string;
}

/** One accepted version, never changed after it was written. */
export interface ConfigVersionRow {
  readonly operationId: OperationId;
  readonly config: AcceptedConfig;
}

/** What a change came to, found by its operation id. */
export interface ConfigOperationRow {
  readonly report: ChangeReport;
}

/** What a platform result belongs to. */
export type ConfigOrigin =
  | { readonly kind: 'configRead'; readonly sentMs: number }
  | { readonly kind: 'configMembers'; readonly sentMs: number }
  | { readonly kind: 'configRegister' }
  | { readonly kind: 'configUnregister' }
  | { readonly kind: 'configChangeRead'; readonly attempt: number }
  | {
      readonly kind: 'configChangeWrite';
      readonly attempt: number;
      readonly config: AcceptedConfig;
      readonly report: ChangeReport;
    };

/**
 * Gets the key of a version's row.
 * @param version - which version
 * @returns the key
 */
export function getVersionKey(version: ConfigVersion): string {
  return `config/version/${version}`;
}

/**
 * Gets the key of an operation's row.
 * @param operationId - of a change
 * @returns the key
 */
export function getOperationKey(operationId: OperationId): string {
  return `config/operation/${operationId}`;
}

/**
 * Gets the key of a process's row.
 * @param processId - this run of a scheduler
 * @returns the key
 */
export function getConfigMemberKey(processId: MemberId): string {
  return `${CONFIG_MEMBER_PREFIX}${processId}`;
}

/**
 * Gets the version whose row is deleted when another one is written.
 * @param next - the version to be written
 * @returns the version; below 1 when there is nothing to delete
 */
export function getTrimmedVersion(next: ConfigVersion): ConfigVersion {
  return toConfigVersion(next - KEPT_VERSION_COUNT);
}

/** Asks whether a stored value is a process's row. */
export function isConfigMemberRow(value: unknown): value is ConfigMemberRow {
  return typeof value === 'object' && value !== null && 'processId' in value && 'address' in value;
}

/** Asks whether a stored value is a version's row. */
export function isConfigVersionRow(value: unknown): value is ConfigVersionRow {
  return typeof value === 'object' && value !== null && 'operationId' in value && 'config' in value;
}

/** Asks whether a stored value is an operation's row. */
export function isConfigOperationRow(value: unknown): value is ConfigOperationRow {
  return typeof value === 'object' && value !== null && 'report' in value;
}

/**
 * Copies a typed value into plain JSON.
 * @param value - data without functions
 * @returns the same data as the platform stores it
 */
export function toJson(value: object): JsonValue {
  return JSON.parse(JSON.stringify(value));
}

/** Asks whether a result carries rows. */
export function hasRows(
  result: PlatformResult,
): result is Extract<PlatformResult, { kind: 'rows' }> {
  return result.kind === 'rows';
}
