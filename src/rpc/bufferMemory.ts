/**
 * Releases the memory of buffers at once. The contents of buffers are outside the heap, where they may amount to 32 MB
 * in the new generation and 64 MB in the old one before V8 collects them.
 */

/** Smaller buffers are left to the garbage collector, for which the buffer objects themselves count enough. */
const MIN_RELEASED_BYTES = 1_024;

/** A port transfers the memory of a message to itself also when it is closed, and then drops the message. */
const { port1: closedPort } = new MessageChannel();
closedPort.close();

/**
 * Tells whether a buffer is the only one on its memory; a part of a pool or of a larger buffer is not.
 * @param buffer - the buffer
 * @returns whether its memory may be released
 */
function isSoleView(buffer: Buffer): boolean {
  return buffer.byteLength === buffer.buffer.byteLength;
}

/**
 * Releases the memory of a buffer, which is empty afterwards. Must not be called while native code reads the buffer.
 * @param buffer - a buffer that nobody uses any more; without effect unless it covers all of its memory
 */
export function releaseBuffer(buffer: Buffer): void {
  if (buffer.byteLength < MIN_RELEASED_BYTES || !isSoleView(buffer)) return;
  closedPort.postMessage(undefined, [buffer.buffer as ArrayBuffer]);
}
