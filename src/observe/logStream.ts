/** Non-blocking, batched and rate-limited output of log lines to standard output. */

import { write } from 'node:fs';
import { Writable } from 'node:stream';

const STDOUT_FD = 1;

/** Lines are buffered this long, so that one system call writes several. */
const FLUSH_DELAY_MS = 50;

/** Maximum number of lines written per second; a busy owner logs about 300. */
const LINES_PER_SECOND = 1_000;

/** Maximum size of buffered output; further lines are dropped while the reader is slow. */
const MAX_WAITING_BYTES = 1_048_576;

const SECOND_MS = 1_000;

/** Error code of a write to a full pipe. */
const FULL_PIPE_CODE = 'EAGAIN';

/** Destination stream of a bunyan logger. */
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

  /** Number of lines dropped because of the rate limit, the buffer limit or a failed write. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /** Buffers a line, which includes its line terminator, or drops it. */
  #take(line: string): void {
    if (!this.#isWithinBudget(line)) {
      this.#droppedCount += 1;
      return;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
  }

  /** Writes all buffered lines, unless a write is in progress. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#waiting.length === 0) return;
    const text = this.#waiting.join('');
    this.#waiting = [];
    this.#isWriting = true;
    this.#write(Buffer.from(text), text.length);
  }

  /** Retries partial writes, which occur when a pipe is almost full, so that no line is truncated. */
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
