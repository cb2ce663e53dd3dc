/** Reads JSON files written by operators. */

import { readFileSync } from 'node:fs';
import { createDiagnostic } from '../types/diagnostics';
import type { DiagnosticName } from '../types/diagnostics';
import { fail, ok } from '../types/outcomes';
import type { Result } from '../types/outcomes';

function getMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/**
 * Reads and parses a JSON file.
 * @param file - path of the file
 * @param name - name of the diagnostic for a file that cannot be read or is not valid JSON
 * @returns the parsed value, or a diagnostic with the path and the reason
 */
export function tryReadJsonFile(file: string, name: DiagnosticName): Result<unknown> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return fail(createDiagnostic(name, `${file}: cannot be read: ${getMessage(error)}`));
  }
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return fail(createDiagnostic(name, `${file}: expected JSON: ${getMessage(error)}`));
  }
}
