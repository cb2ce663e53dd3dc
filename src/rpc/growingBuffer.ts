/**
 * Collects the pieces of a body at little more than their size. A piece that Node.js passes on takes some 200 bytes
 * beside its content, so that a body in pieces of one byte would take 200 times its size if the pieces were kept.
 */

import { releaseBuffer } from './bufferMemory';

const MIN_CAPACITY_BYTES = 1_024;

/** How a buffer is filled. */
export interface GrowingBufferOptions {
  /** Number of bytes that will be appended in all, when it is known; the buffer then never grows. */
  readonly expectedBytes?: number | undefined;
  /** Whether nobody else uses the pieces and the content, so that their memory is released at once. */
  readonly isOwner?: boolean;
}

/** Bytes that are appended piece by piece. */
export class GrowingBuffer {
  #options: GrowingBufferOptions;

  #bytes: Buffer | undefined;

  #sizeBytes = 0;

  /**
   * @param options - how the buffer is filled
   */
  constructor(options: GrowingBufferOptions = {}) {
    this.#options = options;
  }

  /** Number of bytes appended. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Memory that is held. */
  get capacityBytes(): number {
    return this.#bytes?.length ?? 0;
  }

  /**
   * Appends a piece. A single piece that is all that is expected is kept as it is; others are copied.
   * @param piece - the bytes, which must not be changed later, nor used if this is the owner
   */
  append(piece: Buffer): void {
    const { expectedBytes = piece.length } = this.#options;
    if (this.#bytes === undefined && expectedBytes <= piece.length) {
      this.#bytes = piece;
      this.#sizeBytes = piece.length;
      return;
    }
    const sizeBytes = this.#sizeBytes + piece.length;
    if (sizeBytes > this.capacityBytes) this.#grow(sizeBytes);
    if (this.#bytes !== undefined) piece.copy(this.#bytes, this.#sizeBytes);
    this.#sizeBytes = sizeBytes;
    this.#release(piece);
  }

  /** @returns everything appended, without a copy */
  read(): Buffer {
    return this.#bytes?.subarray(0, this.#sizeBytes) ?? Buffer.alloc(0);
  }

  /** Releases everything. What `read` returned is empty afterwards if this is the owner. */
  clear(): void {
    this.#release(this.#bytes);
    this.#bytes = undefined;
    this.#sizeBytes = 0;
  }

  #grow(sizeBytes: number): void {
    const { expectedBytes = Math.max(MIN_CAPACITY_BYTES, 2 * sizeBytes) } = this.#options;
    const grown = Buffer.allocUnsafeSlow(Math.max(expectedBytes, sizeBytes));
    this.#bytes?.copy(grown, 0, 0, this.#sizeBytes);
    this.#release(this.#bytes);
    this.#bytes = grown;
  }

  #release(buffer: Buffer | undefined): void {
    if (this.#options.isOwner === true && buffer !== undefined) releaseBuffer(buffer);
  }
}
