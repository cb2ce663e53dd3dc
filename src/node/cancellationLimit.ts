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

/** The limit of one node. */
export class CancellationLimit {
  #clock: Pick<Clock, 'nowMs'>;

  #getNodeCount: () => number;

  #total: TokenBucket | undefined;

  #byRequester = new Map<string, TokenBucket>();

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
   * @returns 0 when the row may be stored, otherwise the time in milliseconds after which one may
   */
  take(requester: string): number {
    const nowMs = this.#clock.nowMs();
    const ratePerMs = TOTAL_ROWS_PER_SECOND / Math.max(1, this.#getNodeCount()) / 1_000;
    const burstTokens = Math.max(1, ratePerMs * 1_000 * BURST_SECONDS);
    const total = takeToken(this.#total, { ratePerMs, burstTokens }, nowMs);
    const own = takeToken(
      this.#byRequester.get(requester),
      { ratePerMs: ratePerMs * REQUESTER_FRACTION, burstTokens: burstTokens * REQUESTER_FRACTION },
      nowMs,
    );
    const waitMs = Math.max(total.waitMs, own.waitMs);
    if (waitMs > 0) return waitMs;
    this.#total = total.taken;
    this.#setBucket(requester, own.taken);
    return 0;
  }

  #setBucket(requester: string, bucket: TokenBucket): void {
    this.#byRequester.delete(requester);
    this.#byRequester.set(requester, bucket);
    if (this.#byRequester.size <= MAX_REQUESTERS) return;
    const [oldest] = this.#byRequester.keys();
    if (oldest !== undefined) this.#byRequester.delete(oldest);
  }
}
