/** Outcomes of requests, and the result type of operations that can fail with a diagnostic. */

import type { Diagnostic, DiagnosticName } from './diagnostics';

/** Diagnostics that guarantee that no byte of the request reached a target. */
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

/** Final outcome of a request. */
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
  /** The request ran and was answered, but the answer is no longer retained. */
  | { readonly kind: 'alreadyRan'; readonly status: number }
  | { readonly kind: 'failed'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string };

/** A value, or the diagnostic that explains its absence. */
export type Result<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'error'; readonly diagnostic: Diagnostic };

export function ok<T>(value: T): Result<T> {
  return { kind: 'ok', value };
}

export function fail<T>(diagnostic: Diagnostic): Result<T> {
  return { kind: 'error', diagnostic };
}
