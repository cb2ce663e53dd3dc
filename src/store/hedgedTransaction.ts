/**
 * Sends a transaction again before its answer is given up. A slow store then costs one answer and no
 * timeout, and a lost answer costs one more call. The first answer that says what is stored counts.
 */

import * as E from 'fp-ts/Either';
import type { Committed, StoreFailure, StoreOutcome } from './types';
import { throwRejection } from '../types/debug';

/** Copies of one transaction: with a third of the answers lost, all three are lost once in 30. */
const MAX_COPIES = 3;

/** How to send one copy, and how long to wait before the next. */
export interface Hedge {
  /** Sends one copy; performing it twice must be harmless. */
  send(): Promise<StoreOutcome<Committed>>;
  /** Wait for an answer before a further copy leaves. */
  readonly delayMs: number;
  /** Told each time the wait has passed without an answer. */
  onSilence(): void;
}

function isDecisive(outcome: StoreOutcome<Committed>): boolean {
  return E.isRight(outcome) || outcome.left.kind === 'conflict';
}

/** One transaction and its copies. */
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
    // A copy that may have been performed makes the whole doubtful, whatever the last one was told.
    this.#settle(this.#doubt === undefined ? outcome : E.left(this.#doubt));
  }

  #settle(outcome: StoreOutcome<Committed>): void {
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#resolve(outcome);
  }
}

/**
 * Performs a transaction with further copies while its answer is missing.
 * @param hedge - how to send a copy and when
 * @returns the first answer that says what is stored; else the last failure
 */
export function transactHedged(hedge: Hedge): Promise<StoreOutcome<Committed>> {
  return new Promise((resolve) => {
    new HedgedTransaction(hedge, resolve).send();
  });
}
