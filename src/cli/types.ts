/** Outcomes of commands and the codes with which the command line exits. */

import type VError from 'verror';

/** Exit codes, documented in docs/OPERATING.md. */
export const ExitCodes = {
  ok: 0,
  /** The gate refused the call. */
  refused: 1,
  /** The command line or a file has mistakes; nothing was sent. */
  usage: 2,
  /** The gate did not answer, or what became of the call is unknown. */
  unknown: 3,
  /** `sheet diff` found differences. */
  different: 4,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCodes)[keyof typeof ExitCodes];

/** What a command came to. */
export type CommandOutcome =
  | {
      readonly kind: 'output';
      readonly exitCode: ExitCode;
      /** Printed with `--json`. */
      readonly value: unknown;
      /** Printed otherwise. */
      readonly text: string;
    }
  | { readonly kind: 'failure'; readonly exitCode: ExitCode; readonly error: VError };

/** What a gate answered to a call. */
export type CliResult =
  | { readonly kind: 'value'; readonly value: unknown }
  /** The gate refused the call. */
  | { readonly kind: 'refused'; readonly code: string; readonly message: string }
  /** The gate could not be reached, did not answer, or does not know what became of the call. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** HTTP methods that the gate's API uses. */
export type Method = 'GET' | 'POST' | 'DELETE';

/** One call to a gate. */
export interface CliCall {
  readonly method: Method;
  /** Path below `/v1/`. */
  readonly path: string;
  readonly body?: unknown;
  /** Makes a repeated change have one effect. */
  readonly operationId?: string;
}

/** Performs calls to one gate. */
export interface GateApi {
  /**
   * @param call - what to ask
   * @returns the answer; never rejects
   */
  call(call: CliCall): Promise<CliResult>;
}
