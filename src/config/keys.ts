/** Parses and verifies team keys and the operator token; digests are compared in constant time. */

import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';
import { toId } from '../types/ids';
import type { KeyId } from '../types/ids';
import type { AcceptedConfig, TeamKey } from './types';

const SECRET_BYTES = 24;
const BEARER_PREFIX = 'Bearer ';

/** A key as presented by a caller. */
export interface PresentedKey {
  readonly keyId: KeyId;
  readonly secret: string;
}

/**
 * Computes the digest of a secret for storage.
 * @param secret - the secret part of a key
 * @returns its SHA-256 in hex
 */
export function getDigest(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/**
 * Compares a secret with a stored digest in constant time.
 * @param secret - the secret presented by the caller
 * @param digest - the stored digest
 * @returns true if they match
 */
export function isMatchingDigest(secret: string, digest: string): boolean {
  const presented = Buffer.from(getDigest(secret), 'hex');
  const stored = Buffer.from(digest, 'hex');
  return presented.length === stored.length && timingSafeEqual(presented, stored);
}

/** @returns a new random secret, URL-safe */
export function createSecret(): string {
  return randomBytes(SECRET_BYTES).toString('base64url');
}

/**
 * Extracts the token from an `Authorization: Bearer` header.
 * @param header - value of the header, if any
 * @returns the token, or undefined if there is none
 */
export function tryGetBearerToken(header: string | undefined): string | undefined {
  if (header === undefined || !header.startsWith(BEARER_PREFIX)) return undefined;
  return header.slice(BEARER_PREFIX.length).trim();
}

/**
 * Splits a token of the form `keyId:secret`.
 * @param token - the token sent by the caller
 * @returns its parts, or undefined if it has another form
 */
export function tryParseKey(token: string): PresentedKey | undefined {
  const separatorIndex = token.indexOf(':');
  if (separatorIndex <= 0) return undefined;
  const keyId = toId<KeyId>(token.slice(0, separatorIndex));
  return { keyId, secret: token.slice(separatorIndex + 1) };
}

/**
 * Finds the granted key that matches a token.
 * @param config - the active configuration
 * @param token - the token sent by the caller
 * @returns the key, or undefined if it is unknown or withdrawn, or if the secret does not match
 */
export function tryAuthenticate(config: AcceptedConfig, token: string): TeamKey | undefined {
  const presented = tryParseKey(token);
  if (presented === undefined) return undefined;
  const key = config.sheet.keys.find((known) => known.keyId === presented.keyId);
  if (key === undefined || !isMatchingDigest(presented.secret, key.secretDigest)) return undefined;
  return key;
}
