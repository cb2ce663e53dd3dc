/** A token bucket; compare RFC 2697, section 3. */

/** Tokens that were left at some time. */
export interface TokenBucket {
  readonly tokens: number;
  readonly atMs: number;
}

/** Rate and depth of a bucket. */
export interface BucketLimit {
  readonly ratePerMs: number;
  /** Tokens of a full bucket; at least one. */
  readonly burstTokens: number;
}

/**
 * Computes what taking one token does.
 * @param bucket - the bucket; undefined for one that is full
 * @param limit - its limit
 * @param nowMs - current time
 * @returns the bucket without the token, and the time in milliseconds until there is one; 0 when there is one now
 */
export function takeToken(
  bucket: TokenBucket | undefined,
  { ratePerMs, burstTokens }: BucketLimit,
  nowMs: number,
): { readonly taken: TokenBucket; readonly waitMs: number } {
  const depth = Math.max(1, burstTokens);
  const elapsedMs = Math.max(0, nowMs - (bucket?.atMs ?? nowMs));
  const tokens = Math.min(depth, (bucket?.tokens ?? depth) + elapsedMs * ratePerMs);
  const waitMs = tokens >= 1 ? 0 : (1 - tokens) / ratePerMs;
  return { taken: { tokens: tokens - 1, atMs: nowMs }, waitMs };
}
