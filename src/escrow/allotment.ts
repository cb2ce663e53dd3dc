/** One shard's allotment as its owner knows it, with transactions whose outcome is not known. */

import type { Row } from '../platform/types';
import type { TeamId } from '../types/ids';
import type { AllotmentRow, TeamUnits } from './types';

interface Doubt {
  readonly operation: number;
  readonly units: TeamUnits;
}

function isAllotmentRow(value: unknown): value is AllotmentRow {
  return typeof value === 'object' && value !== null && 'units' in value;
}

/**
 * Only the shard's owner writes its row, always against the version read before. So while the
 * version stands still a transaction in doubt may still take effect, and once it moves none can.
 */
export class Allotment {
  #units: TeamUnits = {};

  #rowVersion = 0;

  #isLoaded = false;

  #doubts: readonly Doubt[] = [];

  /** True once the row was read under the present ownership. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** True while an earlier transaction may still take effect. */
  get isInDoubt(): boolean {
    return this.#doubts.length > 0;
  }

  /** The version of the row as last known. */
  get rowVersion(): number {
    return this.#rowVersion;
  }

  /** The row as last known. */
  get units(): TeamUnits {
    return this.#units;
  }

  /**
   * Gets what may be used: the least of the row and of every transaction in doubt.
   * @param teamId - which team
   * @returns units, 0 before the row was read
   */
  getUsable(teamId: TeamId): number {
    if (!this.#isLoaded) return 0;
    return this.#doubts.reduce(
      (least, { units }) => Math.min(least, units[teamId] ?? 0),
      this.#units[teamId] ?? 0,
    );
  }

  /**
   * Holds the row to the lower of before and after, from before the transaction leaves.
   * @param operation - the transaction
   * @param units - the row that it would write
   */
  begin(operation: number, units: TeamUnits): void {
    this.#doubts = [...this.#doubts, { operation, units }];
  }

  /**
   * Ends a transaction that certainly did not take effect.
   * @param operation - the transaction
   */
  drop(operation: number): void {
    this.#doubts = this.#doubts.filter((doubt) => doubt.operation !== operation);
  }

  /**
   * Ends a transaction that took effect.
   * @param operation - the transaction
   * @param rowVersion - the row's version after it
   */
  commit(operation: number, rowVersion: number): void {
    const done = this.#doubts.find((doubt) => doubt.operation === operation);
    if (done === undefined) return;
    this.#units = done.units;
    this.#rowVersion = rowVersion;
    this.#doubts = [];
  }

  /**
   * Takes in the row as read under the present ownership.
   * @param row - the row
   */
  load(row: Row): void {
    if (this.#isLoaded && row.version === this.#rowVersion) return;
    this.#units = isAllotmentRow(row.value) ? row.value.units : {};
    this.#rowVersion = row.version;
    this.#isLoaded = true;
    this.#doubts = [];
  }

  /**
   * Gets the state for an operator.
   * @returns plain data
   */
  dump() {
    return {
      isLoaded: this.#isLoaded,
      rowVersion: this.#rowVersion,
      units: this.#units,
      doubts: this.#doubts,
    };
  }
}
