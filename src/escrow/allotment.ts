/** A shard's allotment as known to its owner, with the transactions whose outcome is unknown. */

import type { Row } from '../platform/types';
import type { TeamId } from '../types/ids';
import type { AllotmentRow, TeamUnits } from './types';

interface InDoubtTransaction {
  readonly operation: number;
  readonly units: TeamUnits;
}

function isAllotmentRow(value: unknown): value is AllotmentRow {
  return typeof value === 'object' && value !== null && 'units' in value;
}

/**
 * The row of an allotment is written only by the owner of the shard, and only if its version is the
 * one read before. So a transaction in doubt can still take effect while the version is unchanged,
 * and none can once the version has changed.
 */
export class Allotment {
  #units: TeamUnits = {};

  #rowVersion = 0;

  #isLoaded = false;

  #inDoubtTransactions: readonly InDoubtTransaction[] = [];

  /** True once the row was read under the current ownership. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** True while a transaction with unknown outcome may still take effect. */
  get isInDoubt(): boolean {
    return this.#inDoubtTransactions.length > 0;
  }

  /** Last known version of the row. */
  get rowVersion(): number {
    return this.#rowVersion;
  }

  /** Last known units of the row. */
  get units(): TeamUnits {
    return this.#units;
  }

  /**
   * Gets the usable units: the minimum over the row and all transactions in doubt.
   * @param teamId - the team
   * @returns the number of units; 0 before the row was read
   */
  getUsableUnits(teamId: TeamId): number {
    if (!this.#isLoaded) return 0;
    return this.#inDoubtTransactions.reduce(
      (least, { units }) => Math.min(least, units[teamId] ?? 0),
      this.#units[teamId] ?? 0,
    );
  }

  /**
   * Limits usage to the minimum of the units before and after a transaction. Must be called before
   * the transaction is sent.
   * @param operation - number of the transaction
   * @param units - the units that it writes
   */
  beginTransaction(operation: number, units: TeamUnits): void {
    this.#inDoubtTransactions = [...this.#inDoubtTransactions, { operation, units }];
  }

  /**
   * Removes a transaction that certainly did not take effect.
   * @param operation - number of the transaction
   */
  abortTransaction(operation: number): void {
    this.#inDoubtTransactions = this.#inDoubtTransactions.filter(
      (transaction) => transaction.operation !== operation,
    );
  }

  /**
   * Applies a transaction that took effect.
   * @param operation - number of the transaction
   * @param rowVersion - version of the row after the transaction
   */
  commitTransaction(operation: number, rowVersion: number): void {
    const committed = this.#inDoubtTransactions.find(
      (transaction) => transaction.operation === operation,
    );
    if (committed === undefined) return;
    this.#units = committed.units;
    this.#rowVersion = rowVersion;
    this.#inDoubtTransactions = [];
  }

  /**
   * Applies the row as read under the current ownership.
   * @param row - the row
   */
  load(row: Row): void {
    if (this.#isLoaded && row.version === this.#rowVersion) return;
    this.#units = isAllotmentRow(row.value) ? row.value.units : {};
    this.#rowVersion = row.version;
    this.#isLoaded = true;
    this.#inDoubtTransactions = [];
  }

  /**
   * Returns the state for diagnostics.
   * @returns the state as plain data
   */
  dump() {
    return {
      isLoaded: this.#isLoaded,
      rowVersion: this.#rowVersion,
      units: this.#units,
      inDoubtTransactions: this.#inDoubtTransactions,
    };
  }
}
