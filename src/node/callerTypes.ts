/** What callers ask of a gate, and what they are answered. */

import type * as E from 'fp-ts/Either';
import type { Diagnostic } from '../types/diagnostics';
import type { SubmissionSpec, SubmissionState } from '../work/types';

/** One call of a caller. */
export interface CallerCall {
  readonly verb: 'submit' | 'read' | 'cancel';
  readonly host: string;
  readonly path: string;
  readonly key: string | undefined;
  /** Decodes the body of a submission. */
  decodeSpec(): E.Either<string, SubmissionSpec>;
}

/** The answer to a call. */
export type CallerAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'state'; readonly state: SubmissionState }
  | { readonly kind: 'waiting'; readonly count: number }
  /** There is no such submission. */
  | { readonly kind: 'noSubmission' }
  /** Nothing was done; the diagnostic says why. */
  | {
      readonly kind: 'refused';
      readonly diagnostic: Diagnostic;
      /** When to come back; undefined when coming back is of no use. */
      readonly retryAfterMs: number | undefined;
    }
  /** It may have been done; the same call may be repeated. */
  | { readonly kind: 'uncertain'; readonly diagnostic: Diagnostic };
