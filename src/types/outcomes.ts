/** What can become of a request, and of a call between processes. */

import type { Diagnostic, DiagnosticName } from './diagnostics';

/** Diagnostics that are only used when no byte of the request can have reached a target. */
export type NotRunReason = Extract<
  DiagnosticName,
  | 'windowExpired'
  | 'noCapacity'
  | 'limitReached'
  | 'noOwner'
  | 'draining'
  | 'configStale'
  | 'overloaded'
  | 'unknownService'
  | 'unknownQueue'
  | 'queueForbidden'
  | 'unauthorized'
  | 'cancelled'
  | 'badRequestId'
  | 'targetRefused'
>;

/** The final word on a request. */
export type RequestOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly bodyBase64: string;
      readonly targetId: string;
    }
  | { readonly kind: 'refusedNotRun'; readonly reason: NotRunReason; readonly detail?: string }
  | { readonly kind: 'duplicateRunning' }
  /** It has run and was answered, and its answer is no longer kept. */
  | { readonly kind: 'alreadyRan'; readonly status: number }
  | { readonly kind: 'failed'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string };

/** A value, or why there is none. */
export type Result<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'error'; readonly diagnostic: Diagnostic };

/**
 * Wraps a value as a success.
 * @param value - the value
 * @returns the result
 */
export function ok<T>(value: T): Result<T> {
  return { kind: 'ok', value };
}

/**
 * Wraps a diagnostic as a failure.
 * @param diagnostic - why there is no value
 * @returns the result
 */
export function fail<T>(diagnostic: Diagnostic): Result<T> {
  return { kind: 'error', diagnostic };
}
