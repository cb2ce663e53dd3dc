/** Events in virtual time, in the order of their moments. */

import type { Timeline } from '../../standins/timeline';

/** Something that happens at a moment. */
interface Scheduled {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** Runs actions in the order of their moments. */
export class VirtualTime implements Timeline {
  #queue: Scheduled[] = [];

  #sequence = 0;

  nowMs = 0;

  /** Runs an action after a delay. */
  after(delayMs: number, action: () => void): void {
    this.#sequence += 1;
    const scheduled = { atMs: this.nowMs + Math.max(0, delayMs), sequence: this.#sequence, action };
    let position = this.#queue.length;
    while (position > 0 && (this.#queue[position - 1]?.atMs ?? 0) > scheduled.atMs) position -= 1;
    this.#queue.splice(position, 0, scheduled);
  }

  /** Runs everything up to a moment. */
  runUntil(untilMs: number): void {
    for (;;) {
      const next = this.#queue[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.#queue.shift();
      this.nowMs = next.atMs;
      next.action();
    }
    this.nowMs = untilMs;
  }
}
