/** Renders the outcome of a command for standard output and standard error. */

import VError from 'verror';
import type { CommandOutcome } from './types';

/** Text for each output stream. */
export interface ConsoleOutput {
  readonly stdout: string;
  readonly stderr: string;
}

export interface OutputOptions {
  readonly json: boolean;
  readonly verbose: boolean;
}

function toSingleLine(text: string): string {
  return text.replace(/\s*\n\s*/g, ' ');
}

function getCauseChain(error: Error): readonly Error[] {
  const cause = VError.cause(error);
  return cause instanceof Error ? [error, ...getCauseChain(cause)] : [error];
}

/**
 * Renders the outcome of a command.
 * @param outcome - the outcome
 * @param options - `json` selects machine-readable output, `verbose` adds the causes of an error
 * @returns one line of JSON or plain text on standard output; an error as a single line on standard error,
 *   followed by the stack trace of each cause when verbose
 */
export function renderOutcome(
  outcome: CommandOutcome,
  { json, verbose }: OutputOptions,
): ConsoleOutput {
  if (outcome.kind === 'output') {
    const text = json ? JSON.stringify(outcome.value) : outcome.text;
    return { stdout: `${text}\n`, stderr: '' };
  }
  const line = `hemlockway: ${toSingleLine(outcome.error.message)}\n`;
  if (!verbose) return { stdout: '', stderr: line };
  const causes = getCauseChain(outcome.error).map((cause) => `caused by: ${cause.stack ?? ''}\n`);
  return { stdout: '', stderr: [line, ...causes].join('') };
}
