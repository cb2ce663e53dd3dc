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
export interface Hedge {
  /** Sends one copy. The transaction must be idempotent. */
  send(): Promise<StoreOutcome<Committed>>;
  /** Time to wait for an answer before another copy is sent. */
  readonly delayMs: number;
  /** Called each time the delay elapses without an answer. */
  onSilence(): void;
}

function isDecisive(outcome: StoreOutcome<Committed>): boolean {
  return E.isRight(outcome) || outcome.left.kind === 'conflict';
}

/** One transaction with its copies. */
class HedgedTransaction {
  #hedge: Hedge;

  #sentCount = 0;

  #openCount = 0;

  #isSettled = false;

  #doubt: StoreFailure | undefined;

  #timer: NodeJS.Timeout | undefined;

  #resolve: (outcome: StoreOutcome<Committed>) => void;

  constructor(hedge: Hedge, resolve: (outcome: StoreOutcome<Committed>) => void) {
    this.#hedge = hedge;
    this.#resolve = resolve;
  }

  send(): void {
    this.#sentCount += 1;
    this.#openCount += 1;
    this.#hedge.send().then((outcome) => this.#onOutcome(outcome), throwRejection);
    this.#timer = setTimeout(() => this.#onSilence(), this.#hedge.delayMs);
  }

  #onSilence(): void {
    if (this.#isSettled) return;
    this.#hedge.onSilence();
    if (this.#sentCount < MAX_COPIES) this.send();
  }

  #onOutcome(outcome: StoreOutcome<Committed>): void {
    this.#openCount -= 1;
    if (this.#isSettled) return;
    if (isDecisive(outcome)) {
      this.#settle(outcome);
      return;
    }
    if (E.isLeft(outcome) && outcome.left.kind === 'unknown') this.#doubt = outcome.left;
    if (this.#openCount > 0) return;
    // When any copy may have been performed the outcome is unknown, whatever the last answer was.
    this.#settle(this.#doubt === undefined ? outcome : E.left(this.#doubt));
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
export function transactHedged(hedge: Hedge): Promise<StoreOutcome<Committed>> {
  return new Promise((resolve) => {
    new HedgedTransaction(hedge, resolve).send();
  });
}
