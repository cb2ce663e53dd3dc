/**
 * Limits how many cancellations are stored ahead of their submissions. Their rows are kept for as long as a submission
 * may be on its way, so that DELETE requests for arbitrary ids would otherwise fill the tables and the owner's memory.
 */

import type { Clock } from '../types/clock';
import { takeToken } from './tokenBucket';
import type { TokenBucket } from './tokenBucket';

/** Rows that all nodes together may store in a second; the owner holds about 30,000 rows then. */
const TOTAL_ROWS_PER_SECOND = 200;

/** Time whose rows may be stored at once. */
const BURST_SECONDS = 5;

/** Fraction of a node's rows that one requester may take, so that the others can go on cancelling. */
const REQUESTER_FRACTION = 0.25;

/** Requesters whose share is tracked; the one that came first is forgotten beyond that. */
const MAX_REQUESTERS = 1_000;

/** Longest delay of a refused request. A crowd that is larger than what fits until then is refused again in part. */
const MAX_DELAY_MS = 10_000;

/** Tokens of a requester or of all, and when the last of the refused requests is to return. */
interface Share {
  readonly bucket: TokenBucket | undefined;
  readonly lastReturnMs: number;
}

const UNUSED: Share = { bucket: undefined, lastReturnMs: Number.NEGATIVE_INFINITY };

/** Refused requests return one after the other, at the rate at which they can be taken. */
function addReturn(share: Share, waitMs: number, ratePerMs: number, nowMs: number): Share {
  const returnMs = Math.max(nowMs + waitMs, share.lastReturnMs + 1 / ratePerMs);
  return { ...share, lastReturnMs: Math.min(returnMs, nowMs + MAX_DELAY_MS) };
}

/** The limit of one node. */
export class CancellationLimit {
  #clock: Pick<Clock, 'nowMs'>;

  #getNodeCount: () => number;

  #total = UNUSED;

  #byRequester = new Map<string, Share>();

  /**
   * @param clock - elapsed time
   * @param getNodeCount - number of nodes that share the limit
   */
  constructor(clock: Pick<Clock, 'nowMs'>, getNodeCount: () => number) {
    this.#clock = clock;
    this.#getNodeCount = getNodeCount;
  }

  /**
   * Counts a row if it is within the limit.
   * @param requester - name of the team or queue
   * @returns 0 when the row may be stored, otherwise the time in milliseconds after which to ask again
   */
  take(requester: string): number {
    const nowMs = this.#clock.nowMs();
    const ratePerMs = TOTAL_ROWS_PER_SECOND / Math.max(1, this.#getNodeCount()) / 1_000;
    const ownRatePerMs = ratePerMs * REQUESTER_FRACTION;
    const burstTokens = Math.max(1, ratePerMs * 1_000 * BURST_SECONDS);
    const ownBurstTokens = burstTokens * REQUESTER_FRACTION;
    const share = this.#byRequester.get(requester) ?? UNUSED;
    const total = takeToken(this.#total.bucket, { ratePerMs, burstTokens }, nowMs);
    const own = takeToken(
      share.bucket,
      { ratePerMs: ownRatePerMs, burstTokens: ownBurstTokens },
      nowMs,
    );
    if (own.waitMs > 0) {
      const refused = addReturn(share, own.waitMs, ownRatePerMs, nowMs);
      this.#setShare(requester, refused);
      return Math.max(refused.lastReturnMs - nowMs, total.waitMs);
    }
    if (total.waitMs > 0) {
      this.#total = addReturn(this.#total, total.waitMs, ratePerMs, nowMs);
      return this.#total.lastReturnMs - nowMs;
    }
    this.#total = { ...this.#total, bucket: total.taken };
    this.#setShare(requester, { ...share, bucket: own.taken });
    return 0;
  }

  #setShare(requester: string, share: Share): void {
    this.#byRequester.delete(requester);
    this.#byRequester.set(requester, share);
    if (this.#byRequester.size <= MAX_REQUESTERS) return;
    const [oldest] = this.#byRequester.keys();
    if (oldest !== undefined) this.#byRequester.delete(oldest);
  }
}
