/** Reads request bodies within a size and time limit for each body and a size limit for all bodies together. */

import type { IncomingMessage } from 'node:http';
import { createDiagnostic } from '../types/diagnostics';
import type { Diagnostic } from '../types/diagnostics';
import { fail, ok } from '../types/outcomes';
import type { Result } from '../types/outcomes';
import type { ListenerLimits } from './httpListener';

/** Accounts for the bodies of all open requests. */
export class BodyBuffer {
  #limits: ListenerLimits;

  #sizesBytes = new Map<IncomingMessage, number>();

  #totalBytes = 0;

  /**
   * @param limits - limits of each body and of all bodies together
   */
  constructor(limits: ListenerLimits) {
    this.#limits = limits;
  }

  /** Total size of the bodies of all open requests. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * Reads the body of a request.
   * @param message - the request
   * @returns the complete body, or why reading was aborted
   */
  read(message: IncomingMessage): Promise<Result<Buffer>> {
    return new Promise((resolve) => {
      let chunks: Buffer[] = [];
      let timer: NodeJS.Timeout | undefined;
      const settle = (result: Result<Buffer>) => {
        clearTimeout(timer);
        message.removeAllListeners('data');
        if (result.kind === 'error') {
          chunks = [];
          this.release(message);
          message.pause();
        }
        resolve(result);
      };
      timer = setTimeout(
        () => settle(fail(createDiagnostic('bodyTimeout'))),
        this.#limits.bodyTimeoutMs,
      );
      const earlyRefusal = this.#getRefusal(Number(message.headers['content-length'] ?? 0));
      if (earlyRefusal !== undefined) {
        settle(fail(earlyRefusal));
        return;
      }
      message.on('data', (chunk: Buffer) => {
        const sizeBytes = (this.#sizesBytes.get(message) ?? 0) + chunk.length;
        this.#sizesBytes.set(message, sizeBytes);
        this.#totalBytes += chunk.length;
        const refusal = this.#getRefusal(sizeBytes);
        if (refusal !== undefined) settle(fail(refusal));
        else chunks.push(chunk);
      });
      message.on('end', () => settle(ok(Buffer.concat(chunks))));
      message.on('error', () => settle(fail(createDiagnostic('bodyTimeout'))));
      message.on('close', () => settle(fail(createDiagnostic('bodyTimeout'))));
    });
  }

  /**
   * Releases the body of a request that was answered or refused.
   * @param message - the request
   */
  release(message: IncomingMessage): void {
    this.#totalBytes -= this.#sizesBytes.get(message) ?? 0;
    this.#sizesBytes.delete(message);
  }

  #getRefusal(sizeBytes: number): Diagnostic | undefined {
    const { maxBodyBytes, maxBufferedBytes = Number.POSITIVE_INFINITY } = this.#limits;
    if (sizeBytes > maxBodyBytes) {
      return createDiagnostic('bodyTooLarge', `${maxBodyBytes} bytes`);
    }
    return this.#totalBytes > maxBufferedBytes ? createDiagnostic('overloaded') : undefined;
  }
}
