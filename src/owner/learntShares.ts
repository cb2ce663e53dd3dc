/** Keeps the debts of teams in a row, so that a takeover during a burst does not clear them. */

import * as E from 'fp-ts/Either';
import { decodeDebts, encodeDebts } from '../share/debtCodec';
import type { CapacityShares } from './capacityShares';
import type { LearntState } from './learntStates';

/** Stored form of the debts of teams. */
export class LearntShares implements LearntState {
  readonly key = 'shares';

  #shares: CapacityShares;

  /**
   * @param shares - the shares of the teams
   */
  constructor(shares: CapacityShares) {
    this.#shares = shares;
  }

  /** {@inheritDoc LearntState.changeCount} */
  get changeCount(): number {
    return this.#shares.changeCount;
  }

  /** {@inheritDoc LearntState.encode} */
  encode(): string {
    return encodeDebts(this.#shares.debts);
  }

  /** {@inheritDoc LearntState.adopt} */
  adopt(value: string): E.Either<string, Readonly<Record<string, unknown>>> {
    const { debts, isMalformed } = decodeDebts(value);
    if (isMalformed) return E.left('the row is malformed or of another version');
    this.#shares.adoptDebts(debts);
    return E.right({ debtCount: debts.length });
  }
}
