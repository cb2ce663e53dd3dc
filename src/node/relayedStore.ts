/**
 * Transactions of a node that the store may turn away while it serves others: then the owner, which
 * reaches the store, performs them.
 */

import * as E from 'fp-ts/Either';
import type { Committed, RowStore, RowTransaction, StoreOutcome } from '../store/types';

/** A way to the store through another node; undefined when there is none now. */
export type Relay = (
  transaction: RowTransaction,
  timeoutMs: number,
) => Promise<StoreOutcome<Committed>> | undefined;

/** Sends each transaction by the way that works. */
export class RelayedStore {
  #own: Pick<RowStore, 'transact'>;

  #relay: Relay;

  #isOwnReachable: () => boolean;

  /**
   * @param own - this node's own calls
   * @param relay - the way through another node
   * @param isOwnReachable - whether the store has answered this node lately
   */
  constructor(own: Pick<RowStore, 'transact'>, relay: Relay, isOwnReachable: () => boolean) {
    this.#own = own;
    this.#relay = relay;
    this.#isOwnReachable = isOwnReachable;
  }

  /**
   * Performs a transaction whose rows must not exist, so that performing it twice is harmless.
   * @param transaction - conditions and changes
   * @param timeoutMs - for each way
   * @returns what came of it
   */
  async transact(transaction: RowTransaction, timeoutMs: number): Promise<StoreOutcome<Committed>> {
    if (!this.#isOwnReachable()) {
      const relayed = await this.#relay(transaction, timeoutMs);
      if (relayed !== undefined) return relayed;
    }
    const outcome = await this.#own.transact(transaction, timeoutMs);
    if (E.isRight(outcome) || outcome.left.kind !== 'notDone') return outcome;
    return (await this.#relay(transaction, timeoutMs)) ?? outcome;
  }
}
