/** Non-blocking, batched and rate-limited output of log lines to standard output. */

import { write } from 'node:fs';
import { Writable } from 'node:stream';

const STDOUT_FD = 1;

/** Lines are buffered this long, so that one system call writes several. */
const FLUSH_DELAY_MS = 50;

/** Maximum number of lines written per second; a busy owner logs about 300. */
const MAX_LINES_PER_SECOND = 1_000;

/** Maximum size of buffered output; further lines are dropped while the reader is slow. */
const MAX_PENDING_BYTES = 1_048_576;

const SECOND_MS = 1_000;

/** Error code of a write to a full pipe. */
const WOULD_BLOCK_CODE = 'EAGAIN';

/** Destination stream of a bunyan logger. */
export class LogStream extends Writable {
  #pendingLines: string[] = [];

  #pendingBytes = 0;

  #isWriting = false;

  #timer: NodeJS.Timeout | undefined;

  #droppedCount = 0;

  #windowStartMs = 0;

  #windowLineCount = 0;

  constructor() {
    super({
      decodeStrings: false,
      write: (line: unknown, _encoding, callback) => {
        this.#enqueue(String(line));
        callback();
      },
    });
  }

  /** Number of lines dropped because of the rate limit or the buffer limit, plus the number of failed writes. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /** Buffers a line, which includes its line terminator, or drops it. */
  #enqueue(line: string): void {
    if (!this.#isWithinLimits(line)) {
      this.#droppedCount += 1;
      return;
    }
    this.#pendingLines.push(line);
    this.#pendingBytes += line.length;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
  }

  /** Writes all buffered lines, unless a write is in progress. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#pendingLines.length === 0) return;
    const text = this.#pendingLines.join('');
    this.#pendingLines = [];
    this.#isWriting = true;
    this.#write(Buffer.from(text), text.length);
  }

  /** Retries partial writes, which occur when a pipe is almost full, so that no line is truncated. */
  #write(bytes: Buffer, batchBytes: number): void {
    write(STDOUT_FD, bytes, 0, bytes.length, null, (error, writtenBytes) => {
      const remaining = bytes.subarray(error === null ? writtenBytes : 0);
      const hasFailed = error !== null && error.code !== WOULD_BLOCK_CODE;
      if (remaining.length > 0 && !hasFailed) {
        setTimeout(() => this.#write(remaining, batchBytes), FLUSH_DELAY_MS);
        return;
      }
      if (hasFailed) this.#droppedCount += 1;
      this.#isWriting = false;
      this.#pendingBytes -= batchBytes;
      if (this.#pendingLines.length > 0)
        this.#timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
    });
  }

  #isWithinLimits(line: string): boolean {
    const nowMs = Date.now();
    if (nowMs - this.#windowStartMs >= SECOND_MS) {
      this.#windowStartMs = nowMs;
      this.#windowLineCount = 0;
    }
    this.#windowLineCount += 1;
    if (this.#windowLineCount > MAX_LINES_PER_SECOND) return false;
    return this.#pendingBytes + line.length <= MAX_PENDING_BYTES;
  }
}
