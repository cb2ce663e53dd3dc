/**
 * Repeated reads: while a read has no answer, it is sent again beside the first one. One that was sent while the store
 * was silent is not answered when the store is back, so without this its whole timeout passes first.
 */

import * as E from 'fp-ts/Either';
import { throwRejection } from '../types/debug';
import type { StoreOutcome } from './types';

/** A read without an answer for this long is sent again. */
export const READ_REPEAT_MS = 400;

/** A slow store that answers in time gets no second copy of each read. */
const USUAL_FACTOR = 2;

/** How a read is sent. */
export interface RepeatOptions<T> {
  /** Sends the read once, with the time that is left for its answer. */
  send(timeoutMs: number): Promise<StoreOutcome<T>>;
  /** Time for the answer, over all copies. */
  readonly timeoutMs: number;
  /** Time that the last read took that was answered; another copy sooner than after twice that is no use. */
  readonly usualMs: number;
  /** False while the store is slow: another copy would make it slower and be answered no earlier. */
  isCopyUseful(): boolean;
}

/**
 * Performs a read, sending further copies while there is no answer.
 * @param options - how the read is sent
 * @returns the first result; a failure once no copy is pending
 */
export function readRepeated<T>(options: RepeatOptions<T>): Promise<StoreOutcome<T>> {
  const { timeoutMs, usualMs } = options;
  const repeatMs = Math.max(READ_REPEAT_MS, USUAL_FACTOR * usualMs);
  return new Promise((resolve) => {
    let pendingCount = 0;
    let timer: NodeJS.Timeout | undefined;
    const send = (remainingMs: number): void => {
      pendingCount += 1;
      options.send(remainingMs).then((outcome) => {
        pendingCount -= 1;
        if (E.isLeft(outcome) && pendingCount > 0) return;
        clearTimeout(timer);
        resolve(outcome);
      }, throwRejection);
    };
    const repeatLater = (remainingMs: number): void => {
      if (remainingMs <= repeatMs) return;
      timer = setTimeout(() => {
        const leftMs = remainingMs - repeatMs;
        if (options.isCopyUseful()) send(leftMs);
        repeatLater(leftMs);
      }, repeatMs);
    };
    send(timeoutMs);
    repeatLater(timeoutMs);
  });
}
