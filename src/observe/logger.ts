/** Structured log lines on standard output, for changes of state only. */

import type { Writable } from 'node:stream';
import bunyan from 'bunyan';

/** Writes log lines. */
export type Logger = bunyan;

/**
 * Builds the logger of one process.
 * @param program - name of the program
 * @param processId - id of this scheduler or gate
 * @param level - lowest level that is written
 * @param stream - where lines go; standard output, waited for, when left out
 * @returns the logger
 */
export function createLogger(
  program: string,
  processId: string,
  level: 'debug' | 'info' | 'warn' | 'error',
  stream?: Writable,
): Logger {
  if (stream === undefined) return bunyan.createLogger({ name: program, processId, level });
  const streams = [{ level, stream }];
  return bunyan.createLogger({ name: program, processId, streams });
}
