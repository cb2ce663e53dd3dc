/** Request keys, and the issue time encoded in a UUIDv7 request id. */

import type { Branded, RequestId, TeamId } from '../types/ids';

/** Request id qualified by its team, because two teams may use the same id. */
export type RequestKey = Branded<string, 'RequestKey'>;

const UUID_V7_PATTERN = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIMESTAMP_HEX_DIGITS = 12;
const HEX_RADIX = 16;

/**
 * Builds the key that identifies a request.
 * @param teamId - team of the request
 * @param requestId - id chosen by the caller
 * @returns the key
 */
export function getRequestKey(teamId: TeamId, requestId: RequestId): RequestKey {
  return `${teamId}/${requestId}` as RequestKey;
}

/**
 * Checks whether a text is a UUIDv7 (RFC 9562), as non-idempotent requests require.
 * @param text - the id
 * @returns true for a UUIDv7
 */
export function isUuidV7(text: string): boolean {
  return UUID_V7_PATTERN.test(text);
}

/**
 * Gets the issue time encoded in a UUIDv7.
 * @param requestId - the id
 * @returns Unix time in milliseconds by the issuer's clock, or undefined if the id is no UUIDv7
 */
export function tryGetIssueTimeMs(requestId: RequestId): number | undefined {
  if (!isUuidV7(requestId)) return undefined;
  return Number.parseInt(requestId.replace(/-/g, '').slice(0, TIMESTAMP_HEX_DIGITS), HEX_RADIX);
}
