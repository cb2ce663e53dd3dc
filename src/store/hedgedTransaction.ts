/**
 * Hedged transactions: further copies of a transaction are sent before the first one times out. A slow store then
 * costs the latency of one answer instead of a timeout, and a lost answer costs one further call. The first
 * conclusive answer, one from which the stored state is known, decides the outcome.
 */

import * as E from 'fp-ts/Either';
import type { Committed, StoreFailure, StoreOutcome } from './types';
import { throwRejection } from '../types/debug';

/** Maximum number of copies. When a third of the answers is lost, all three are lost about once in 30 transactions. */
const MAX_COPIES = 3;

/** How copies are sent, and the delay between them. */
export interface HedgeOptions {
  /** Sends one copy. The transaction must be idempotent. */
  send(): Promise<StoreOutcome<Committed>>;
  /** Time to wait for an answer before another copy is sent. */
  readonly delayMs: number;
  /** Called each time the delay elapses without an answer. */
  onDelayElapsed(): void;
  /** False while the store is slow: another copy would make it slower and be answered no earlier. */
  isCopyUseful(): boolean;
}

function isConclusive(outcome: StoreOutcome<Committed>): boolean {
  return E.isRight(outcome) || outcome.left.kind === 'conflict';
}

/** One transaction with its copies. */
class HedgedTransaction {
  #options: HedgeOptions;

  #sentCount = 0;

  #delayCount = 0;

  #pendingCount = 0;

  #isSettled = false;

  #unknownFailure: StoreFailure | undefined;

  #timer: NodeJS.Timeout | undefined;

  #resolve: (outcome: StoreOutcome<Committed>) => void;

  constructor(options: HedgeOptions, resolve: (outcome: StoreOutcome<Committed>) => void) {
    this.#options = options;
    this.#resolve = resolve;
  }

  send(): void {
    this.#sentCount += 1;
    this.#pendingCount += 1;
    this.#options.send().then((outcome) => this.#onOutcome(outcome), throwRejection);
    this.#startDelay();
  }

  #startDelay(): void {
    this.#timer = setTimeout(() => this.#onDelayElapsed(), this.#options.delayMs);
  }

  #onDelayElapsed(): void {
    if (this.#isSettled) return;
    this.#options.onDelayElapsed();
    this.#delayCount += 1;
    if (this.#delayCount >= MAX_COPIES) return;
    if (this.#options.isCopyUseful()) this.send();
    else this.#startDelay();
  }

  #onOutcome(outcome: StoreOutcome<Committed>): void {
    this.#pendingCount -= 1;
    if (this.#isSettled) return;
    if (isConclusive(outcome)) {
      this.#settle(outcome);
      return;
    }
    if (E.isLeft(outcome) && outcome.left.kind === 'unknown') this.#unknownFailure = outcome.left;
    if (this.#pendingCount > 0) return;
    // When any copy may have been performed the outcome is unknown, whatever the last answer was.
    this.#settle(this.#unknownFailure === undefined ? outcome : E.left(this.#unknownFailure));
  }

  #settle(outcome: StoreOutcome<Committed>): void {
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#resolve(outcome);
  }
}

/**
 * Performs a transaction, sending further copies while there is no answer.
 * @param options - how and when copies are sent
 * @returns the first conclusive answer; otherwise an unknown outcome if any copy may have been performed, or the
 * last failure
 */
export function transactHedged(options: HedgeOptions): Promise<StoreOutcome<Committed>> {
  return new Promise((resolve) => {
    new HedgedTransaction(options, resolve).send();
  });
}
