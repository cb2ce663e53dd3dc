/** A store whose reachability is watched, with a line in the log whenever it changes. */

import * as E from 'fp-ts/Either';
import { transactHedged } from './hedgedTransaction';
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
  StoreOutcome,
} from './types';

/** Told when the store is lost and regained. */
export type ReachabilityListener = (isReachable: boolean, detail: string) => void;

/** The store counts as lost when nothing but failures has come for this long; a slow one takes 0.6 s. */
const LOST_AFTER_MS = 650;

/** A transaction takes 4 ms on a calm day and 0.6 s when the store is slow. */
const TRANSACTION_LIMIT: TimeoutBounds = { minMs: 150, maxMs: 1_500, decayFactor: 0.7 };

/** Watches each call. */
export class WatchedStore implements RowStore {
  #inner: RowStore;

  #clock: Clock;

  #metrics: Metrics;

  #listener: ReachabilityListener;

  #failingSinceMs: number | undefined;

  #isReachable = true;

  #limit = new AdaptiveTimeout(TRANSACTION_LIMIT);

  /**
   * @param inner - the store
   * @param clock - for the time since it was lost
   * @param metrics - counts calls and their durations
   * @param listener - told of each change
   */
  constructor(inner: RowStore, clock: Clock, metrics: Metrics, listener: ReachabilityListener) {
    this.#inner = inner;
    this.#clock = clock;
    this.#metrics = metrics;
    this.#listener = listener;
  }

  /** True unless calls have been turned away or not answered for a while. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** For how long it has not answered; 0 while it does. */
  get lostForMs(): number {
    if (this.#isReachable || this.#failingSinceMs === undefined) return 0;
    return this.#clock.nowMs() - this.#failingSinceMs;
  }

  /**
   * Performs a transaction, in several copies when answers stay away. Its conditions must fail once it
   * has taken effect, so that a second copy does nothing.
   * @param transaction - conditions and changes
   * @param timeoutMs - for each copy
   * @returns what came of it
   */
  transact(transaction: RowTransaction, timeoutMs: number): Promise<StoreOutcome<Committed>> {
    return transactHedged({
      send: () => this.#transactOnce(transaction, timeoutMs),
      // What the store usually takes bounds the wait, so that a lost answer is noticed soon.
      delayMs: Math.min(timeoutMs, this.#limit.timeoutMs),
      onSilence: () => this.#noteFailure('no answer within the usual time'),
    });
  }

  async #transactOnce(
    transaction: RowTransaction,
    timeoutMs: number,
  ): Promise<StoreOutcome<Committed>> {
    const startedAtMs = this.#clock.nowMs();
    const outcome = await this.#watch('transact', this.#inner.transact(transaction, timeoutMs));
    const isAnswered = E.isRight(outcome) || outcome.left.kind !== 'unknown';
    if (isAnswered) this.#limit.addResponse(this.#clock.nowMs() - startedAtMs);
    return outcome;
  }

  /** {@inheritDoc RowStore.readRange} */
  readRange(query: RangeQuery, timeoutMs: number): Promise<StoreOutcome<RowPage>> {
    return this.#watch('read', this.#inner.readRange(query, timeoutMs));
  }

  /** {@inheritDoc RowStore.follow} */
  follow(table: string, afterVersion: number, waitMs: number): Promise<StoreOutcome<RowChanges>> {
    return this.#watch('follow', this.#inner.follow(table, afterVersion, waitMs));
  }

  async #watch<T>(name: string, call: Promise<StoreOutcome<T>>): Promise<StoreOutcome<T>> {
    const startedAtMs = this.#clock.nowMs();
    const outcome = await call;
    this.#metrics.count(`store_${name}`);
    this.#metrics.record(`store_${name}`, this.#clock.nowMs() - startedAtMs);
    this.#note(outcome);
    return outcome;
  }

  #note<T>(outcome: StoreOutcome<T>): void {
    const isAnswered =
      E.isRight(outcome) || outcome.left.kind === 'conflict' || outcome.left.kind === 'historyLost';
    if (isAnswered) {
      if (!this.#isReachable) this.#listener(true, `after ${Math.round(this.lostForMs)} ms`);
      this.#isReachable = true;
      this.#failingSinceMs = undefined;
      return;
    }
    const { left } = outcome;
    this.#metrics.count(`store_failures_${left.kind}`);
    this.#noteFailure('detail' in left ? left.detail : left.kind);
  }

  #noteFailure(detail: string): void {
    const nowMs = this.#clock.nowMs();
    this.#failingSinceMs ??= nowMs;
    if (!this.#isReachable || nowMs < this.#failingSinceMs + LOST_AFTER_MS) return;
    this.#isReachable = false;
    this.#listener(false, detail);
  }
}
