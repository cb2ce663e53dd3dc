/** Waiting requests of one service, ordered by urgency, team priority and deadline. */

import type { Queue } from '../config/types';
import { assertNever } from '../types/debug';

const URGENCY_RANKS = { urgent: 0, normal: 1, background: 2 } as const;
const MIN_STALE_ENTRIES_TO_COMPACT = 64;

/** Sort key of a queued request. */
export interface QueuePosition {
  readonly urgency: Queue['urgency'];
  /** Lower values are served first. */
  readonly teamPriority: number;
  readonly deadlineMs: number;
}

interface QueueEntry {
  readonly callId: number;
  readonly position: QueuePosition;
}

function isBefore(left: QueueEntry, right: QueueEntry): boolean {
  const urgency = URGENCY_RANKS[left.position.urgency] - URGENCY_RANKS[right.position.urgency];
  if (urgency !== 0) return urgency < 0;
  const priority = left.position.teamPriority - right.position.teamPriority;
  if (priority !== 0) return priority < 0;
  if (left.position.deadlineMs !== right.position.deadlineMs) {
    return left.position.deadlineMs < right.position.deadlineMs;
  }
  return left.callId < right.callId;
}

/**
 * Binary heap (Williams, 1964) with lazy deletion: removed entries are dropped when they reach the
 * top.
 */
export class RequestQueue {
  #heap: QueueEntry[] = [];

  #livePositions = new Map<number, QueuePosition>();

  #liveCounts = { urgent: 0, normal: 0, background: 0 };

  /** Number of queued requests. */
  get size(): number {
    return this.#livePositions.size;
  }

  /**
   * Adds a request.
   * @param callId - call id of the request, which must not be queued yet
   * @param position - sort key of the request
   */
  push(callId: number, position: QueuePosition): void {
    this.#livePositions.set(callId, position);
    this.#liveCounts[position.urgency] += 1;
    this.#heap.push({ callId, position });
    this.#siftUp(this.#heap.length - 1);
  }

  /**
   * Removes a request; does nothing if it is not queued.
   * @param callId - call id of the request
   */
  remove(callId: number): void {
    const position = this.#livePositions.get(callId);
    if (position === undefined) return;
    this.#livePositions.delete(callId);
    this.#liveCounts[position.urgency] -= 1;
    const staleCount = this.#heap.length - this.#livePositions.size;
    if (staleCount < MIN_STALE_ENTRIES_TO_COMPACT || staleCount < this.#livePositions.size) return;
    this.#heap = this.#heap.filter((entry) => this.#isLive(entry));
    for (let index = Math.floor(this.#heap.length / 2) - 1; index >= 0; index -= 1) {
      this.#siftDown(index);
    }
  }

  /** @returns call id of the next request, or undefined if the queue is empty */
  peek(): number | undefined {
    for (;;) {
      const top = this.#heap[0];
      if (top === undefined || this.#isLive(top)) return top?.callId;
      this.#removeTop();
    }
  }

  /**
   * Counts the queued requests of equal or higher urgency.
   * @param urgency - urgency of a new request
   * @returns the number of requests ahead of the new request
   */
  countAhead(urgency: Queue['urgency']): number {
    const { urgent, normal, background } = this.#liveCounts;
    switch (urgency) {
      case 'urgent':
        return urgent;
      case 'normal':
        return urgent + normal;
      case 'background':
        return urgent + normal + background;
      default:
        return assertNever(urgency);
    }
  }

  #isLive(entry: QueueEntry): boolean {
    return this.#livePositions.get(entry.callId) === entry.position;
  }

  #removeTop(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) return;
    this.#heap[0] = last;
    this.#siftDown(0);
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#trySwap(index, parent)) return;
      index = parent;
    }
  }

  #siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const [leftEntry, rightEntry] = [this.#heap[left], this.#heap[left + 1]];
      if (leftEntry === undefined) return;
      const isRightFirst = rightEntry !== undefined && isBefore(rightEntry, leftEntry);
      const child = isRightFirst ? left + 1 : left;
      if (!this.#trySwap(child, index)) return;
      index = child;
    }
  }

  /** Swaps a child with its parent if the child sorts before it. */
  #trySwap(child: number, parent: number): boolean {
    const [childEntry, parentEntry] = [this.#heap[child], this.#heap[parent]];
    if (childEntry === undefined || parentEntry === undefined) return false;
    if (!isBefore(childEntry, parentEntry)) return false;
    this.#heap[child] = parentEntry;
    this.#heap[parent] = childEntry;
    return true;
  }
}
