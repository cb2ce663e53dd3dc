/** Reads request bodies within a size limit for each body and a limit for all bodies of a listener together. */

import type { IncomingMessage } from 'node:http';
import { createDiagnostic } from '../types/diagnostics';
import { BodyRead } from './bodyRead';

/** Limits of request bodies. */
export interface BodyLimits {
  readonly maxBodyBytes: number;
  /** Maximum memory of the bodies of all open requests of a listener; unlimited when omitted. */
  readonly maxBufferedBytes?: number;
}

/** Accounts for the bodies of all open requests of a listener. */
export class BodyBuffer {
  #limits: BodyLimits;

  #totalBytes = 0;

  /**
   * @param limits - limits of each body and of all bodies together
   */
  constructor(limits: BodyLimits) {
    this.#limits = limits;
  }

  /** Total memory of the bodies of all open requests. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * Reads the body of a request.
   * @param message - the request
   * @param onMemory - called with each change of the memory held
   * @returns the body, which has to be released
   */
  read(message: IncomingMessage, onMemory: (bytes: number) => void): BodyRead {
    const { maxBodyBytes, maxBufferedBytes = Number.POSITIVE_INFINITY } = this.#limits;
    return new BodyRead(message, maxBodyBytes, (bytes) => {
      this.#totalBytes += bytes;
      onMemory(bytes);
      const isExceeded = bytes > 0 && this.#totalBytes > maxBufferedBytes;
      return isExceeded ? createDiagnostic('overloaded') : undefined;
    });
  }
}
