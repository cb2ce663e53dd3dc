/** Event queue in virtual time. */

import { Heap } from 'heap-js';
import type { TimeSource } from '../../standins/timeSource';

interface ScheduledAction {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

function compareScheduled(left: ScheduledAction, right: ScheduledAction): number {
  return left.atMs - right.atMs || left.sequence - right.sequence;
}

/** Runs actions in the order of their times; actions with equal times run in the order of scheduling. */
export class VirtualTime implements TimeSource {
  #queue = new Heap<ScheduledAction>(compareScheduled);

  #sequence = 0;

  nowMs = 0;

  /** Schedules an action to run after a delay. */
  after(delayMs: number, action: () => void): void {
    this.#sequence += 1;
    const atMs = this.nowMs + Math.max(0, delayMs);
    this.#queue.push({ atMs, sequence: this.#sequence, action });
  }

  /** Runs all actions that are due at or before a time, and advances the time to it. */
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
