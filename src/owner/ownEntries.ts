/** The entries of one target in the registry that are certainly its own, as their numbers follow one another. */

/** What the own entries of a target tell. */
export class OwnEntries {
  #writtenAfterMs = Number.NEGATIVE_INFINITY;

  #drainingCount = 0;

  /** The latest entry was written after this, on the steady clock; minus infinity if that is not known. */
  get writtenAfterMs(): number {
    return this.#writtenAfterMs;
  }

  /** Number of entries in a row that say that the target drains; another writer may have written a single one. */
  get drainingCount(): number {
    return this.#drainingCount;
  }

  /**
   * Adds an entry whose number follows that of the one before.
   * @param isDraining - whether it says that the target drains
   * @param writtenAfterMs - lower bound of the time at which it was written, on the steady clock
   */
  add(isDraining: boolean, writtenAfterMs: number): void {
    this.#writtenAfterMs = Math.max(this.#writtenAfterMs, writtenAfterMs);
    this.#drainingCount = isDraining ? this.#drainingCount + 1 : 0;
  }

  /** Forgets the entries, as the present one may be that of another writer. */
  clear(): void {
    this.#writtenAfterMs = Number.NEGATIVE_INFINITY;
    this.#drainingCount = 0;
  }
}
