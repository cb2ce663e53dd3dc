/** Structured log lines on standard output, for changes of state only. */

import bunyan from 'bunyan';

/** Writes log lines. */
export type Logger = bunyan;

/**
 * Builds the logger of one process.
 * @param program - name of the program
 * @param processId - id of this scheduler or gate
 * @param level - lowest level that is written
 * @returns the logger
 */
export function createLogger(
  program: string,
  processId: string,
  level: 'debug' | 'info' | 'warn' | 'error',
): Logger {
  return bunyan.createLogger({ name: program, processId, level });
}
