/** Keys and values of the configuration rows in the platform's table. */

import { toConfigVersion } from '../types/ids';
import type { ConfigVersion, MemberId, OperationId } from '../types/ids';
import type { JsonValue, PlatformResult } from '../platform/types';
import type { AcceptedConfig, ChangeReport } from './types';

/** Key of the row with the newest configuration. */
export const CONFIG_KEY = 'config/current';

/** Key of the row with only the newest version number, which is read every second. */
export const CONFIG_HEAD_KEY = 'config/head';

/** Key prefix of the rows of processes that must be notified of every change. */
export const CONFIG_MEMBER_PREFIX = 'config/member/';

/** Number of versions to keep; older ones are deleted together with their operation rows. */
export const RETAINED_VERSION_COUNT = 200;

/** Row of a process that must be notified of every change. */
export interface ConfigMemberRow {
  readonly processId: MemberId;
  readonly address: string;
}

/** Row of an accepted version; immutable once written. */
export interface ConfigVersionRow {
  readonly operationId: OperationId;
  readonly config: AcceptedConfig;
}

/** Row with the newest version number. */
export interface ConfigHeadRow {
  readonly version: ConfigVersion;
}

/** Result of a change, stored under its operation id so that a retry returns the same result. */
export interface ConfigOperationRow {
  readonly report: ChangeReport;
}

/** Identifies the call to which a platform result belongs. */
export type ConfigOrigin =
  | { readonly kind: 'configHead'; readonly sentMs: number }
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
 * Gets the key of the row of a version.
 * @param version - the version
 * @returns the key
 */
export function getVersionKey(version: ConfigVersion): string {
  return `config/version/${version}`;
}

/**
 * Gets the key of the row of an operation.
 * @param operationId - operation id of a change
 * @returns the key
 */
export function getOperationKey(operationId: OperationId): string {
  return `config/operation/${operationId}`;
}

/**
 * Gets the key of the row of a process.
 * @param processId - incarnation of a scheduler
 * @returns the key
 */
export function getConfigMemberKey(processId: MemberId): string {
  return `${CONFIG_MEMBER_PREFIX}${processId}`;
}

/**
 * Gets the version whose row is deleted when a new version is written.
 * @param next - the version to be written
 * @returns the version to delete; less than 1 if there is none
 */
export function getTrimmedVersion(next: ConfigVersion): ConfigVersion {
  return toConfigVersion(next - RETAINED_VERSION_COUNT);
}

/** Determines whether a stored value is the row with the newest version number. */
export function isConfigHeadRow(value: unknown): value is ConfigHeadRow {
  return typeof value === 'object' && value !== null && 'version' in value;
}

/** Determines whether a stored value is the row of a process. */
export function isConfigMemberRow(value: unknown): value is ConfigMemberRow {
  return typeof value === 'object' && value !== null && 'processId' in value && 'address' in value;
}

/** Determines whether a stored value is the row of a version. */
export function isConfigVersionRow(value: unknown): value is ConfigVersionRow {
  return typeof value === 'object' && value !== null && 'operationId' in value && 'config' in value;
}

/** Determines whether a stored value is the row of an operation. */
export function isConfigOperationRow(value: unknown): value is ConfigOperationRow {
  return typeof value === 'object' && value !== null && 'report' in value;
}

/**
 * Converts a typed value to plain JSON.
 * @param value - data without functions
 * @returns the data in the form in which the platform stores it
 */
export function toJson(value: object): JsonValue {
  return JSON.parse(JSON.stringify(value));
}

/** Determines whether a platform result contains rows. */
export function hasRows(
  result: PlatformResult,
): result is Extract<PlatformResult, { kind: 'rows' }> {
  return result.kind === 'rows';
}
