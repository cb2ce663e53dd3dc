/** Checks of invariants. A failure here is the one reason for a process to stop by itself. */

import VError from 'verror';

/** Thrown when an invariant does not hold; the process dumps its state and stops. */
export class InvariantError extends VError {}

/**
 * Marks the end of an exhaustive switch.
 * @param value - the value that no case took
 * @throws InvariantError always
 */
export function assertNever(value: never): never {
  throw new InvariantError('unexpected variant: %s', JSON.stringify(value));
}

/**
 * Takes the rejection of a promise that never rejects but for a broken invariant: as nothing catches
 * what it throws, the process stops.
 * @param error - what the promise was rejected with
 * @throws the error always
 */
export function throwRejection(error: unknown): never {
  throw error;
}

/**
 * Stops the process when an invariant does not hold.
 * @param condition - what must be true
 * @param message - what is broken when it is not
 * @throws InvariantError when the condition is false
 */
export function assert(condition: boolean, message: string): asserts condition {
  if (condition) return;
  throw new InvariantError('invariant broken: %s', message);
}
