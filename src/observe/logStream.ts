/** Standard output for log lines: batched, bounded by a budget a second, and never waited for. */

import { write } from 'node:fs';
import { Writable } from 'node:stream';

const STDOUT_FD = 1;

/** Lines wait this long for others, so that one call writes several. */
const FLUSH_DELAY_MS = 50;

/** Lines a second that are written; a busy owner logs about 300. */
const LINES_PER_SECOND = 1_000;

/** Bytes that wait for a reader that is slow; beyond this lines are dropped. */
const MAX_WAITING_BYTES = 1_048_576;

const SECOND_MS = 1_000;

/** Nothing could be written now. */
const FULL_PIPE_CODE = 'EAGAIN';

/** Takes the lines of a bunyan logger. */
export class LogStream extends Writable {
  #waiting: string[] = [];

  #waitingBytes = 0;

  #isWriting = false;

  #timer: NodeJS.Timeout | undefined;

  #droppedCount = 0;

  #secondStartMs = 0;

  #secondCount = 0;

  constructor() {
    super({
      decodeStrings: false,
      write: (line: unknown, _encoding, callback) => {
        this.#take(String(line));
        callback();
      },
    });
  }

  /** Lines dropped so far for want of budget or of a reader. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /** Takes one line with its line end; it is never waited for. */
  #take(line: string): void {
    if (!this.#isWithinBudget(line)) {
      this.#droppedCount += 1;
      return;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
  }

  /** Writes what waits. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#waiting.length === 0) return;
    const text = this.#waiting.join('');
    this.#waiting = [];
    this.#isWriting = true;
    this.#write(Buffer.from(text), text.length);
  }

  /** A pipe that is almost full takes a part; the rest follows, so that no line is cut. */
  #write(bytes: Buffer, waitingBytes: number): void {
    write(STDOUT_FD, bytes, 0, bytes.length, null, (error, writtenBytes) => {
      const rest = bytes.subarray(error === null ? writtenBytes : 0);
      const isLost = error !== null && error.code !== FULL_PIPE_CODE;
      if (rest.length > 0 && !isLost) {
        setTimeout(() => this.#write(rest, waitingBytes), FLUSH_DELAY_MS);
        return;
      }
      if (isLost) this.#droppedCount += 1;
      this.#isWriting = false;
      this.#waitingBytes -= waitingBytes;
      if (this.#waiting.length > 0) this.#timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
    });
  }

  #isWithinBudget(line: string): boolean {
    const nowMs = Date.now();
    if (nowMs - this.#secondStartMs >= SECOND_MS) {
      this.#secondStartMs = nowMs;
      this.#secondCount = 0;
    }
    this.#secondCount += 1;
    if (this.#secondCount > LINES_PER_SECOND) return false;
    return this.#waitingBytes + line.length <= MAX_WAITING_BYTES;
  }
}
