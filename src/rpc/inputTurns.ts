/**
 * Lets connections with more input than one request parse it in turn. A read of 64 KB may have 3,600 requests or
 * 10,900 chunks; parsed at once for many connections, it would keep the event loop from all other requests for seconds.
 */

/** Connections that are served before the event loop goes on. */
const CONNECTIONS_PER_TURN = 2;

/** Runs callbacks in the order in which they were added, a few in each round of the event loop. */
export class InputTurns {
  #waiting = new Set<() => void>();

  #isScheduled = false;

  /**
   * Adds a callback.
   * @param callback - called once
   */
  add(callback: () => void): void {
    this.#waiting.add(callback);
    this.#schedule();
  }

  /**
   * Removes a callback.
   * @param callback - the callback
   */
  remove(callback: () => void): void {
    this.#waiting.delete(callback);
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#run());
  }

  #run(): void {
    this.#isScheduled = false;
    const callbacks: (() => void)[] = [];
    const iterator = this.#waiting.values();
    while (callbacks.length < CONNECTIONS_PER_TURN) {
      const next = iterator.next();
      if (next.done === true) break;
      callbacks.push(next.value);
    }
    callbacks.forEach((callback) => {
      this.#waiting.delete(callback);
      callback();
    });
    if (this.#waiting.size > 0) this.#schedule();
  }
}
