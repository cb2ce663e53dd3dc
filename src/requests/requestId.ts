/** Identity of a request: whose it is, its id, and the issue time that a UUIDv7 carries. */

import type { Branded, RequestId, TeamId } from '../types/ids';

/** A request id within its team; two teams may use the same id. */
export type RequestKey = Branded<string, 'RequestKey'>;

const UUID_V7_PATTERN = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIME_DIGITS = 12;
const HEX_RADIX = 16;

/**
 * Builds the key under which a request is known.
 * @param teamId - whose request it is
 * @param requestId - the caller's id for it
 * @returns the key
 */
export function getRequestKey(teamId: TeamId, requestId: RequestId): RequestKey {
  return `${teamId}/${requestId}` as RequestKey;
}

/**
 * Asks whether an id can be used for a non-idempotent request.
 * @param text - the id
 * @returns true for a UUID of version 7 (RFC 9562)
 */
export function isUuidV7(text: string): boolean {
  return UUID_V7_PATTERN.test(text);
}

/**
 * Gets the time at which a UUID of version 7 was issued.
 * @param requestId - the id
 * @returns milliseconds since 1970 by the issuer's clock, undefined for another kind of id
 */
export function tryGetIssuedMs(requestId: RequestId): number | undefined {
  if (!isUuidV7(requestId)) return undefined;
  return Number.parseInt(requestId.replace(/-/g, '').slice(0, TIME_DIGITS), HEX_RADIX);
}
