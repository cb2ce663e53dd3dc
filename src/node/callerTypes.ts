/** Requests of callers to a gate, and the answers. */

import type * as E from 'fp-ts/Either';
import type { Diagnostic } from '../types/diagnostics';
import type { SubmissionSpec, SubmissionState } from '../work/types';

/** A request of a caller. */
export interface CallerCall {
  readonly verb: 'submit' | 'read' | 'cancel';
  readonly host: string;
  readonly path: string;
  readonly key: string | undefined;
  /** Checks whether the caller has closed the connection; it is taken for waiting when this is omitted. */
  isCallerGone?(): boolean;
  /** Decodes the body of a submit request. */
  decodeSpec(): E.Either<string, SubmissionSpec>;
}

/** The answer to a request. */
export type CallerAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'state'; readonly state: SubmissionState }
  | { readonly kind: 'waiting'; readonly count: number }
  /** The submission does not exist or is not visible to the caller. */
  | { readonly kind: 'noSubmission' }
  /** The request had no effect; the diagnostic gives the reason. */
  | {
      readonly kind: 'refused';
      readonly diagnostic: Diagnostic;
      /** Delay after which to retry; undefined when a retry cannot succeed. */
      readonly retryAfterMs: number | undefined;
      /** What the refusal is based on, for the log. */
      readonly forecast?: Readonly<Record<string, unknown>>;
    }
  /** The request may have taken effect; it is safe to repeat it. */
  | { readonly kind: 'uncertain'; readonly diagnostic: Diagnostic };
