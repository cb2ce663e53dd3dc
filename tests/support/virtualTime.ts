/** Events in virtual time, in the order of their moments. */

import { Heap } from 'heap-js';
import type { Timeline } from '../../standins/timeline';

/** Something that happens at a moment. */
interface Scheduled {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

function compareScheduled(left: Scheduled, right: Scheduled): number {
  return left.atMs - right.atMs || left.sequence - right.sequence;
}

/** Runs actions in the order of their moments; those of one moment in the order of their scheduling. */
export class VirtualTime implements Timeline {
  #queue = new Heap<Scheduled>(compareScheduled);

  #sequence = 0;

  nowMs = 0;

  /** Runs an action after a delay. */
  after(delayMs: number, action: () => void): void {
    this.#sequence += 1;
    const atMs = this.nowMs + Math.max(0, delayMs);
    this.#queue.push({ atMs, sequence: this.#sequence, action });
  }

  /** Runs everything up to a moment. */
  runUntil(untilMs: number): void {
    for (;;) {
      const next = this.#queue.peek();
      if (next === undefined || next.atMs > untilMs) break;
      this.#queue.pop();
      this.nowMs = next.atMs;
      next.action();
    }
    this.nowMs = untilMs;
  }
}
