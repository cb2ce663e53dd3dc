/** Non-blocking, batched and rate-limited output of log lines to standard output. */

import { write } from 'node:fs';
import { Writable } from 'node:stream';
import { LogBudget } from './logBudget';
import type { DroppedLines, LogLevel } from './logBudget';

const STDOUT_FD = 1;

/** Lines are buffered this long, so that one system call writes several. */
const FLUSH_DELAY_MS = 50;

/** Error code of a write to a full pipe. */
const WOULD_BLOCK_CODE = 'EAGAIN';

/** Destination stream of a bunyan logger, which asks it before it builds a line. */
export class LogStream extends Writable {
  #fd: number;

  #budget = new LogBudget();

  #pendingLines: string[] = [];

  #pendingBytes = 0;

  #isWriting = false;

  #timer: NodeJS.Timeout | undefined;

  #failedWriteCount = 0;

  /**
   * @param fd - file descriptor that the lines are written to
   */
  constructor(fd = STDOUT_FD) {
    super({
      decodeStrings: false,
      write: (line: unknown, _encoding, callback) => {
        this.#enqueue(String(line));
        callback();
      },
    });
    this.#fd = fd;
  }

  /** Number of lines dropped because of the rate limit or the buffer limit, plus the number of failed writes. */
  get droppedCount(): number {
    return this.#budget.droppedCount + this.#failedWriteCount;
  }

  /** Number of dropped lines that mark a change of state. */
  get droppedChangeCount(): number {
    return this.#budget.droppedChangeCount;
  }

  /**
   * Decides whether a line may be written. Only such lines may be passed to the stream.
   * @param level - its severity
   * @param message - its message
   * @returns false when it has to be dropped
   */
  tryTake(level: LogLevel, message: string): boolean {
    return this.#budget.tryTake(level, message, Date.now(), this.#pendingBytes);
  }

  /** @returns the lines dropped since the last call, or undefined when there are none */
  takeDropped(): DroppedLines | undefined {
    return this.#budget.takeDropped();
  }

  /** Buffers a line, which includes its line terminator. */
  #enqueue(line: string): void {
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
    write(this.#fd, bytes, 0, bytes.length, null, (error, writtenBytes) => {
      const remaining = bytes.subarray(error === null ? writtenBytes : 0);
      const hasFailed = error !== null && error.code !== WOULD_BLOCK_CODE;
      if (remaining.length > 0 && !hasFailed) {
        setTimeout(() => this.#write(remaining, batchBytes), FLUSH_DELAY_MS);
        return;
      }
      if (hasFailed) this.#failedWriteCount += 1;
      this.#isWriting = false;
      this.#pendingBytes -= batchBytes;
      if (this.#pendingLines.length > 0)
        this.#timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
    });
  }
}
