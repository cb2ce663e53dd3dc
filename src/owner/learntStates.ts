/**
 * Keeps what the owner learns in one row for each kind of it, so that a successor need not learn it anew. Nothing
 * depends on these rows: a write that fails is dropped, and a row that is missing or not valid is not waited for.
 */

import * as E from 'fp-ts/Either';
import { LearntShares } from './learntShares';
import type { OwnerState } from './ownerState';
import type { LearntRow } from './types';

/** Minimum time between writes of a row. */
const WRITE_INTERVAL_MS = 5_000;

/** Size of a row that is still written; the store rejects larger ones than 65,536 bytes. */
const MAX_ROW_BYTES = 48_000;

/** Something that the owner learns and that is stored in a row of its own. */
export interface LearntState {
  /** Key of its row. */
  readonly key: string;
  /** Number of its changes so far; a row is written only after a change. */
  readonly changeCount: number;
  /** @returns its stored form, of at most 48,000 bytes */
  encode(): string;
  /**
   * Adopts the state of a former owner.
   * @param value - its stored form
   * @returns what to log of it, or why it is not valid, in which case nothing has changed
   */
  adopt(value: string): E.Either<string, Readonly<Record<string, unknown>>>;
}

interface Written {
  readonly atMs: number;
  readonly changeCount: number;
}

/** Reads and writes the rows of all learnt states. */
export class LearntStates {
  #state: OwnerState;

  #learnt: readonly LearntState[];

  #written = new Map<string, Written>();

  /** Until the rows have been read, a write would replace what former owners have learnt. */
  #isRead = false;

  #isWriting = false;

  /**
   * @param state - the shared state of the owner
   * @param learnt - all that is learnt
   */
  constructor(state: OwnerState, learnt: readonly LearntState[]) {
    this.#state = state;
    this.#learnt = learnt;
  }

  /**
   * Adopts the rows of former owners.
   * @param result - all rows, or why they have not been read
   */
  adopt(result: E.Either<string, readonly LearntRow[]>): void {
    if (this.#isRead) return;
    this.#isRead = true;
    this.#learnt.forEach((learnt) => {
      const { key } = learnt;
      const row = E.isRight(result) ? result.right.find((read) => read.key === key) : undefined;
      const missing = E.isLeft(result) ? result.left : 'there is no row';
      const adopted = row === undefined ? E.left(missing) : learnt.adopt(row.value);
      if (E.isRight(adopted)) this.#state.log('learnt state adopted', { key, ...adopted.right });
      else this.#state.log('learnt state starts empty', { key, reason: adopted.left });
    });
  }

  /** Writes the rows that have changed, each at most every 5 s. */
  write(): void {
    const { nowMs } = this.#state;
    if (!this.#isRead || this.#isWriting) return;
    const due = this.#learnt.filter(({ key, changeCount }) => {
      const written = this.#written.get(key);
      if (written === undefined) return changeCount > 0;
      return changeCount > written.changeCount && nowMs >= written.atMs + WRITE_INTERVAL_MS;
    });
    if (due.length === 0) return;
    const rows = due.flatMap((learnt) => this.#encode(learnt));
    if (rows.length === 0) return;
    this.#isWriting = true;
    this.#state.emit({ kind: 'writeLearnt', rows });
  }

  #encode(learnt: LearntState): readonly LearntRow[] {
    const { key, changeCount } = learnt;
    this.#written.set(key, { atMs: this.#state.nowMs, changeCount });
    const value = learnt.encode();
    if (Buffer.byteLength(value) <= MAX_ROW_BYTES) return [{ key, value }];
    this.#state.count('learnt_writes_failed');
    return [];
  }

  /**
   * Handles the result of a write. One that has failed is not repeated: the next one carries the whole state.
   * @param result - nothing, or why it was not committed
   */
  onWritten(result: E.Either<string, unknown>): void {
    this.#isWriting = false;
    this.#state.count(E.isRight(result) ? 'learnt_writes' : 'learnt_writes_failed');
  }
}

/**
 * Lists what an owner learns with the features that are on.
 * @param state - the shared state of the owner
 * @returns the states that are stored
 */
export function createLearntStates({
  durations,
  capacityShares,
  options,
}: OwnerState): readonly LearntState[] {
  const shares = options.sharesContendedCapacity ? [new LearntShares(capacityShares)] : [];
  return durations === undefined ? shares : [durations, ...shares];
}
