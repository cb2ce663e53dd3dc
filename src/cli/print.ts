/** Renders the outcome of a command for standard output and standard error. */

import VError from 'verror';
import type { CommandOutcome } from './types';

/** Text for each output stream. */
export interface Printed {
  readonly stdout: string;
  readonly stderr: string;
}

export interface PrintOptions {
  readonly json: boolean;
  readonly verbose: boolean;
}

function toLine(text: string): string {
  return text.replace(/\s*\n\s*/g, ' ');
}

function getCauses(error: Error): readonly Error[] {
  const cause = VError.cause(error);
  return cause instanceof Error ? [error, ...getCauses(cause)] : [error];
}

/**
 * Renders the outcome of a command.
 * @param outcome - the outcome
 * @param options - `json` selects machine-readable output, `verbose` adds the causes of an error
 * @returns one line of JSON or plain text on standard output; an error as a single line on standard error,
 *   followed by the stack trace of each cause when verbose
 */
export function print(outcome: CommandOutcome, { json, verbose }: PrintOptions): Printed {
  if (outcome.kind === 'output') {
    const text = json ? JSON.stringify(outcome.value) : outcome.text;
    return { stdout: `${text}\n`, stderr: '' };
  }
  const line = `hemlockway: ${toLine(outcome.error.message)}\n`;
  if (!verbose) return { stdout: '', stderr: line };
  const causes = getCauses(outcome.error).map((cause) => `caused by: ${cause.stack ?? ''}\n`);
  return { stdout: '', stderr: [line, ...causes].join('') };
}
