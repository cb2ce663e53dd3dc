/** Store decorator that tracks reachability, records metrics and hedges transactions. */

import * as E from 'fp-ts/Either';
import { transactHedged } from './hedgedTransaction';
import { readRepeated } from './repeatedRead';
import { LATE_ANSWER_MS, SlownessDetector } from './slownessDetector';
import { AdaptiveTimeout } from '../types/adaptiveTimeout';
import type { TimeoutBounds } from '../types/adaptiveTimeout';
import type { Clock } from '../types/clock';
import type { Metrics } from '../observe/metrics';
import type {
  Committed,
  RangeQuery,
  RowChanges,
  RowPage,
  RowStore,
  RowTransaction,
  StoreFailure,
  StoreOutcome,
} from './types';

/** Called when the store becomes unreachable or reachable. */
export type ReachabilityListener = (isReachable: boolean, detail: string) => void;

/** Failures that the store has reported about the call, as opposed to itself. */
const ANSWERED_FAILURES: ReadonlySet<StoreFailure['kind']> = new Set([
  'conflict',
  'historyLost',
  'rejected',
]);

/** The store is unreachable when all calls have failed for this long. */
const UNREACHABLE_AFTER_MS = 650;

/** The same for a store whose last answers came late: a transaction that waits for others takes over a second. */
const SLOW_UNREACHABLE_AFTER_MS = 2_000;

/**
 * Bounds of the delay before another copy of a transaction is sent. A transaction usually takes 4 ms, and
 * 0.6 s when the store is slow.
 */
const HEDGE_DELAY_BOUNDS: TimeoutBounds = { minMs: 150, maxMs: 1_500, decayFactor: 0.7 };

/** A store whose reachability is monitored through the outcome of each call. */
export class MonitoredStore implements RowStore {
  #inner: RowStore;

  #clock: Clock;

  #metrics: Metrics;

  #listener: ReachabilityListener;

  #failingSinceMs: number | undefined;

  #isReachable = true;

  #hedgeDelay = new AdaptiveTimeout(HEDGE_DELAY_BOUNDS);

  #slowness = new SlownessDetector();

  /** How long the last read took that was answered. */
  #readMs = 0;

  /** Whether another node reports that the store answers it late. */
  #isReportedSlow: () => boolean;

  /**
   * @param inner - the store
   * @param clock - measures calls and the time without answers
   * @param metrics - receives counts and durations of calls
   * @param listener - called when reachability changes
   * @param isReportedSlow - whether another node reports that the store answers it late
   */
  constructor(
    inner: RowStore,
    clock: Clock,
    metrics: Metrics,
    listener: ReachabilityListener,
    isReportedSlow: () => boolean = () => false,
  ) {
    this.#isReportedSlow = isReportedSlow;
    this.#inner = inner;
    this.#clock = clock;
    this.#metrics = metrics;
    this.#listener = listener;
  }

  /** False when all calls have failed for some time. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** True when the store answers this node late, or answers are missing. */
  get isSlow(): boolean {
    return this.#slowness.isSlow(this.#clock.nowMs());
  }

  /** True when a transaction without an answer is more likely late than lost. */
  get isLate(): boolean {
    return this.#slowness.isAnsweringLate(this.#clock.nowMs()) || this.#isReportedSlow();
  }

  /** Time since the first of the failed calls; 0 while the store is reachable. */
  get unreachableForMs(): number {
    if (this.#isReachable || this.#failingSinceMs === undefined) return 0;
    return this.#clock.nowMs() - this.#failingSinceMs;
  }

  /**
   * Performs a hedged transaction. Its conditions must fail once it has taken effect, so that a second copy has
   * no effect.
   * @param transaction - conditions and changes
   * @param timeoutMs - timeout for each copy
   * @returns the outcome
   */
  transact(transaction: RowTransaction, timeoutMs: number): Promise<StoreOutcome<Committed>> {
    return transactHedged({
      send: () => this.#transactOnce(transaction, timeoutMs),
      // The delay follows the usual latency of the store, so that a lost answer is detected early.
      delayMs: Math.min(timeoutMs, this.#hedgeDelay.timeoutMs),
      onDelayElapsed: () => this.#recordFailure('no answer within the hedge delay'),
      isCopyUseful: () => !this.isLate,
    });
  }

  async #transactOnce(
    transaction: RowTransaction,
    timeoutMs: number,
  ): Promise<StoreOutcome<Committed>> {
    const startedAtMs = this.#clock.nowMs();
    const timer = setTimeout(() => this.#slowness.addDelay(this.#clock.nowMs()), LATE_ANSWER_MS);
    const outcome = await this.#measure('transact', this.#inner.transact(transaction, timeoutMs));
    clearTimeout(timer);
    const isAnswered = E.isRight(outcome) || outcome.left.kind !== 'unknown';
    if (!isAnswered) return outcome;
    const nowMs = this.#clock.nowMs();
    this.#hedgeDelay.addResponse(nowMs - startedAtMs);
    this.#slowness.addAnswer(nowMs - startedAtMs, nowMs);
    return outcome;
  }

  /** {@inheritDoc RowStore.readRange} */
  readRange(query: RangeQuery, timeoutMs: number): Promise<StoreOutcome<RowPage>> {
    return readRepeated({
      ...{ timeoutMs, usualMs: this.#readMs, isCopyUseful: () => !this.isLate },
      send: async (remainingMs) => {
        const sentAtMs = this.#clock.nowMs();
        const outcome = await this.#measure('read', this.#inner.readRange(query, remainingMs));
        if (E.isRight(outcome)) this.#readMs = this.#clock.nowMs() - sentAtMs;
        return outcome;
      },
    });
  }

  /** {@inheritDoc RowStore.follow} */
  follow(table: string, afterVersion: number, waitMs: number): Promise<StoreOutcome<RowChanges>> {
    return this.#measure('follow', this.#inner.follow(table, afterVersion, waitMs));
  }

  async #measure<T>(name: string, call: Promise<StoreOutcome<T>>): Promise<StoreOutcome<T>> {
    const startedAtMs = this.#clock.nowMs();
    const outcome = await call;
    this.#metrics.count(`store_${name}`);
    this.#metrics.record(`store_${name}`, this.#clock.nowMs() - startedAtMs);
    this.#recordOutcome(outcome);
    return outcome;
  }

  #recordOutcome<T>(outcome: StoreOutcome<T>): void {
    const isAnswered = E.isRight(outcome) || ANSWERED_FAILURES.has(outcome.left.kind);
    if (isAnswered) {
      if (!this.#isReachable) this.#listener(true, `after ${Math.round(this.unreachableForMs)} ms`);
      this.#isReachable = true;
      this.#failingSinceMs = undefined;
      return;
    }
    const { left } = outcome;
    this.#metrics.count(`store_failures_${left.kind}`);
    this.#recordFailure('detail' in left ? left.detail : left.kind);
  }

  #recordFailure(detail: string): void {
    const nowMs = this.#clock.nowMs();
    this.#failingSinceMs ??= nowMs;
    const afterMs = this.#slowness.isAnsweringLate(nowMs)
      ? SLOW_UNREACHABLE_AFTER_MS
      : UNREACHABLE_AFTER_MS;
    if (!this.#isReachable || nowMs < this.#failingSinceMs + afterMs) return;
    this.#isReachable = false;
    this.#listener(false, detail);
  }
}
