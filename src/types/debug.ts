/** Invariant checks. A failed invariant is the only reason for which a process terminates itself. */

import VError from 'verror';

/** Thrown when an invariant is violated. The process then dumps its state and terminates. */
export class InvariantError extends VError {}

/**
 * Marks an unreachable default case of an exhaustive switch.
 * @param value - the value that no case handled
 * @throws InvariantError always
 */
export function assertNever(value: never): never {
  throw new InvariantError('unexpected variant: %s', JSON.stringify(value));
}

/**
 * Rejection handler for promises that only reject when an invariant is violated. The rethrown error is not
 * caught anywhere and terminates the process.
 * @param error - reason of the rejection
 * @throws the error always
 */
export function throwRejection(error: unknown): never {
  throw error;
}

/**
 * Terminates the process when an invariant is violated.
 * @param condition - the invariant
 * @param message - describes the violation
 * @throws InvariantError when the condition is false
 */
export function assert(condition: boolean, message: string): asserts condition {
  if (condition) return;
  throw new InvariantError('invariant broken: %s', message);
}
