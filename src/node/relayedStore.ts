/**
 * Transactions with a fallback: the store may reject this node's calls while it serves other nodes.
 * In that case they are relayed to the owner, which reaches the store.
 */

import * as E from 'fp-ts/Either';
import type { Committed, RowStore, RowTransaction, StoreOutcome } from '../store/types';

/** Performs a transaction through another node; returns undefined when no such node is connected. */
export type Relay = (
  transaction: RowTransaction,
  timeoutMs: number,
) => Promise<StoreOutcome<Committed>> | undefined;

/** Performs each transaction directly or through the relay. */
export class RelayedStore {
  #localStore: Pick<RowStore, 'transact'>;

  #relay: Relay;

  #isLocalReachable: () => boolean;

  /**
   * @param localStore - this node's client of the store
   * @param relay - performs a transaction through another node
   * @param isLocalReachable - whether the store has answered this node recently
   */
  constructor(
    localStore: Pick<RowStore, 'transact'>,
    relay: Relay,
    isLocalReachable: () => boolean,
  ) {
    this.#localStore = localStore;
    this.#relay = relay;
    this.#isLocalReachable = isLocalReachable;
  }

  /**
   * Performs a transaction that only creates rows. Such a transaction is idempotent, so it may be
   * sent both directly and through the relay.
   * @param transaction - conditions and changes
   * @param timeoutMs - timeout of each of the two attempts
   * @returns the outcome
   */
  async transact(transaction: RowTransaction, timeoutMs: number): Promise<StoreOutcome<Committed>> {
    if (!this.#isLocalReachable()) {
      const relayed = await this.#relay(transaction, timeoutMs);
      if (relayed !== undefined) return relayed;
    }
    const outcome = await this.#localStore.transact(transaction, timeoutMs);
    if (E.isRight(outcome) || outcome.left.kind !== 'notDone') return outcome;
    return (await this.#relay(transaction, timeoutMs)) ?? outcome;
  }
}
