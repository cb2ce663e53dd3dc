/** Structured logging to standard output. Only state changes are logged. */

import type { Writable } from 'node:stream';
import bunyan from 'bunyan';

export type Logger = bunyan;

/**
 * Creates the logger of a process.
 * @param program - name of the program
 * @param processId - id of this scheduler or gate
 * @param level - lowest level that is logged
 * @param stream - destination of log lines; blocking writes to standard output when omitted
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
