/** Input of a connection that has been read from the socket and not parsed. */

import { releaseBuffer } from './bufferMemory';

/** What one read returned, and what of it has not been taken yet. */
interface Read {
  readonly whole: Buffer;
  rest: Buffer;
}

/** Gives out input in slices and releases the memory of each read once all of it has been parsed. */
export class HeldInput {
  #reads: Read[] = [];

  /** The read that the slice being parsed is part of. */
  #current: Buffer | undefined;

  #isCurrentDone = false;

  get isEmpty(): boolean {
    return this.#reads.length === 0;
  }

  /** Memory of all reads that have not been taken completely. */
  get memoryBytes(): number {
    return this.#reads.reduce((sum, { whole }) => sum + whole.buffer.byteLength, 0);
  }

  /** What has not been taken of the oldest read. */
  get first(): Buffer {
    return this.#reads[0]?.rest ?? Buffer.alloc(0);
  }

  /**
   * Adds what one read returned.
   * @param input - a buffer that nobody else uses
   */
  add(input: Buffer): void {
    this.#reads.push({ whole: input, rest: input });
  }

  /**
   * Takes input, parses it, and releases its memory if nothing of it is left.
   * @param maxBytes - size of the slice; at most the rest of the oldest read is taken
   * @param parse - parses the slice, and does not keep it
   */
  parseSlice(maxBytes: number, parse: (slice: Buffer) => void): void {
    const [read] = this.#reads;
    if (read === undefined) return;
    const slice = read.rest.subarray(0, maxBytes);
    read.rest = read.rest.subarray(slice.length);
    this.#current = read.whole;
    this.#isCurrentDone = read.rest.length === 0;
    if (this.#isCurrentDone) this.#reads.shift();
    parse(slice);
    if (this.#isCurrentDone) releaseBuffer(read.whole);
    this.#current = undefined;
  }

  /** Drops all input. The read that is being parsed is released after that. */
  clear(): void {
    this.#reads.forEach(({ whole }) => {
      if (whole !== this.#current) releaseBuffer(whole);
    });
    this.#isCurrentDone = true;
    this.#reads = [];
  }
}
