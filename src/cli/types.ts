/** Types of the command line: calls to a gate, their results, command outcomes and exit codes. */

import type VError from 'verror';

/** Exit codes, documented in docs/OPERATING.md. */
export const ExitCodes = {
  ok: 0,
  /** The gate refused the call. */
  refused: 1,
  /** The command line or an input file is invalid; nothing was sent. */
  usage: 2,
  /** The gate did not answer, or it is unknown whether the call took effect. */
  unknown: 3,
  /** `sheet diff` found differences. */
  different: 4,
} as const;

export type ExitCode = (typeof ExitCodes)[keyof typeof ExitCodes];

/** Outcome of a command. */
export type CommandOutcome =
  | {
      readonly kind: 'output';
      readonly exitCode: ExitCode;
      /** Output with `--json`. */
      readonly value: unknown;
      /** Output without `--json`. */
      readonly text: string;
    }
  | { readonly kind: 'failure'; readonly exitCode: ExitCode; readonly error: VError };

/** Result of a call to a gate. */
export type CliResult =
  | { readonly kind: 'value'; readonly value: unknown }
  /** The gate refused the call. */
  | { readonly kind: 'refused'; readonly code: string; readonly message: string }
  /** The gate was unreachable, did not answer, or does not know whether the call took effect. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** HTTP methods of the gate API. */
export type HttpMethod = 'GET' | 'POST' | 'DELETE';

/** A call to a gate. */
export interface CliCall {
  readonly method: HttpMethod;
  /** Path relative to `/v1/`. */
  readonly path: string;
  readonly body?: unknown;
  /** Idempotency key: a retried change takes effect once. */
  readonly operationId?: string;
}

/** Client of one gate. */
export interface GateApi {
  /**
   * @param call - the call
   * @returns the result; never rejects
   */
  call(call: CliCall): Promise<CliResult>;
}
