/** Turns a command's outcome into what is written to standard output and standard error. */

import VError from 'verror';
import type { CommandOutcome } from './types';

/** What is printed where. */
export interface Printed {
  readonly stdout: string;
  readonly stderr: string;
}

/** Options that decide what is printed. */
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
 * Renders an outcome.
 * @param outcome - of a command
 * @param options - machine-readable or not, with causes or not
 * @returns one JSON line or text on standard output; an error in one line on standard error, and
 *   the stack of each cause when verbose
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
