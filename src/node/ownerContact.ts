/** Knows how long a node has not been connected to an owner, and whether that owner is alive. */

/** A node without a connection to an owner that is alive is not ready after this time. */
const UNCONNECTED_LIMIT_MS = 5_000;

/** An owner counts as alive for this long after the last sign of it. */
const SIGN_OF_LIFE_MS = 3_000;

const LOG_INTERVAL_MS = 5_000;

/** The contact of one node with the owner. */
export class OwnerContact {
  #unconnectedSinceMs: number | undefined;

  #loggedAtMs = -Infinity;

  #signOfLifeAtMs = -Infinity;

  /**
   * Records a sign that the owner is alive, by whatever way.
   * @param nowMs - current time
   */
  noteSignOfLife(nowMs: number): void {
    this.#signOfLifeAtMs = nowMs;
  }

  /**
   * Records whether the node is connected.
   * @param isConnected - whether it is, or owns the fleet itself
   * @param nowMs - current time
   * @returns fields of a log line while the contact is missing; undefined when nothing has to be logged
   */
  update(isConnected: boolean, nowMs: number): Readonly<Record<string, unknown>> | undefined {
    if (isConnected) {
      this.#unconnectedSinceMs = undefined;
      return undefined;
    }
    this.#unconnectedSinceMs ??= nowMs;
    const lastMs = Math.max(this.#loggedAtMs, this.#unconnectedSinceMs);
    if (nowMs < lastMs + LOG_INTERVAL_MS) return undefined;
    this.#loggedAtMs = nowMs;
    const unconnectedForMs = Math.round(nowMs - this.#unconnectedSinceMs);
    return { unconnectedForMs, isOwnerAlive: this.#isAlive(nowMs) };
  }

  /**
   * Checks whether the node lacks a connection to an owner that serves other nodes.
   * @param nowMs - current time
   * @returns true once that has lasted for a while
   */
  isCutFromLiveOwner(nowMs: number): boolean {
    const sinceMs = this.#unconnectedSinceMs;
    const isLong = sinceMs !== undefined && nowMs >= sinceMs + UNCONNECTED_LIMIT_MS;
    return isLong && this.#isAlive(nowMs);
  }

  #isAlive(nowMs: number): boolean {
    return nowMs < this.#signOfLifeAtMs + SIGN_OF_LIFE_MS;
  }
}
