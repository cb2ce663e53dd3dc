/** Reads the body of one request. */

import type { IncomingMessage } from 'node:http';
import { createDiagnostic } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { fail, ok } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import { GrowingBuffer } from './growingBuffer';

/**
 * Gets the length of a body that the head of its request tells.
 * @param message - the request
 * @returns number of bytes; undefined for a chunked body and for a request without a body
 */
export function getContentLength(message: IncomingMessage): number | undefined {
  const length = message.headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

/** A body that is being read, or is held until its request is answered. */
export class BodyRead {
  /** The complete body, or why reading was aborted. */
  readonly result: Promise<Result<Buffer>>;

  #message: IncomingMessage;

  #buffer: GrowingBuffer;

  #countedBytes = 0;

  /** Size of the body that the head tells; 0 when it does not. */
  #expectedBytes: number;

  #onMemory: (bytes: number) => Diagnostic | undefined;

  #resolve!: (result: Result<Buffer>) => void;

  #isSettled = false;

  #isAborted = false;

  /**
   * @param message - the request
   * @param maxBytes - limit of the body
   * @param onMemory - called with each change of the memory held; returns why reading has to be aborted
   */
  constructor(
    message: IncomingMessage,
    maxBytes: number,
    onMemory: (bytes: number) => Diagnostic | undefined,
  ) {
    this.#message = message;
    this.#onMemory = onMemory;
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    const expectedBytes = getContentLength(message);
    this.#expectedBytes = expectedBytes ?? 0;
    this.#buffer = new GrowingBuffer({ expectedBytes, isOwner: true });
    const tooLarge = createDiagnostic('bodyTooLarge', `${maxBytes} bytes`);
    if (this.#expectedBytes > maxBytes) {
      this.abort(tooLarge);
      return;
    }
    message.on('data', (piece: Buffer) => {
      this.#buffer.append(piece);
      if (this.#buffer.sizeBytes > maxBytes) this.abort(tooLarge);
      else this.#count();
    });
    message.on('end', () => this.#settle(ok(this.#buffer.read())));
    message.on('error', () => this.abort(createDiagnostic('bodyTimeout')));
    message.on('close', () => this.abort(createDiagnostic('bodyTimeout')));
  }

  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** Whether reading was aborted, so that the rest of the body is not taken. */
  get isAborted(): boolean {
    return this.#isAborted;
  }

  /** Number of bytes of the body that have been parsed. */
  get parsedBytes(): number {
    return this.#buffer.sizeBytes + this.#message.readableLength;
  }

  /** Memory that is held. */
  get countedBytes(): number {
    return this.#countedBytes;
  }

  /** Counts the memory of a body of known length before it is read; without room the body is aborted. */
  reserve(): void {
    if (!this.#isSettled) this.#count();
  }

  /**
   * Stops reading and releases what was read; without effect once the body is complete.
   * @param diagnostic - the reason
   */
  abort(diagnostic: Diagnostic): void {
    if (this.#isSettled) return;
    this.#isAborted = true;
    this.#settle(fail(diagnostic));
    this.release();
    this.#message.pause();
  }

  /** Releases the body; the buffer that `result` resolved with is empty afterwards. */
  release(): void {
    this.#buffer.clear();
    this.#onMemory(-this.#countedBytes);
    this.#countedBytes = 0;
  }

  #count(): void {
    const heldBytes = Math.max(this.#buffer.capacityBytes, this.#expectedBytes);
    const bytes = heldBytes - this.#countedBytes;
    if (bytes === 0) return;
    this.#countedBytes += bytes;
    const refusal = this.#onMemory(bytes);
    if (refusal !== undefined) this.abort(refusal);
  }

  #settle(result: Result<Buffer>): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#message.removeAllListeners('data');
    this.#resolve(result);
  }
}
