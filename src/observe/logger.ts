/** Structured logging to standard output. */

import type { Writable } from 'node:stream';
import bunyan from 'bunyan';
import type { LogLevel } from './logBudget';
import { LogStream } from './logStream';

/** Minimum time between two reports of dropped lines. */
const DROP_REPORT_INTERVAL_MS = 1_000;

const DROP_REPORT_MESSAGE = 'log lines dropped';

/** Context of a line by field name. */
type LogFields = Readonly<Record<string, unknown>>;

/** Writes one line. */
type LogMethod = (fields: LogFields, message: string) => void;

/** Writes log lines of a given severity. */
export type Logger = Readonly<Record<LogLevel, LogMethod>>;

/** Has a line built only when the stream accepts it, and reports how many it did not accept. */
class LimitedLogger implements Logger {
  #logger: bunyan;

  #stream: LogStream;

  #reportTimer: NodeJS.Timeout | undefined;

  constructor(logger: bunyan, stream: LogStream) {
    this.#logger = logger;
    this.#stream = stream;
  }

  debug(fields: LogFields, message: string): void {
    this.#log('debug', fields, message);
  }

  info(fields: LogFields, message: string): void {
    this.#log('info', fields, message);
  }

  warn(fields: LogFields, message: string): void {
    this.#log('warn', fields, message);
  }

  error(fields: LogFields, message: string): void {
    this.#log('error', fields, message);
  }

  fatal(fields: LogFields, message: string): void {
    this.#log('fatal', fields, message);
  }

  #log(level: LogLevel, fields: LogFields, message: string): void {
    const isEnabled = this.#logger[level]();
    if (!isEnabled) return;
    if (this.#stream.tryTake(level, message)) this.#logger[level](fields, message);
    else this.#scheduleReport();
  }

  #scheduleReport(): void {
    this.#reportTimer ??= setTimeout(() => this.#reportDropped(), DROP_REPORT_INTERVAL_MS).unref();
  }

  #reportDropped(): void {
    this.#reportTimer = undefined;
    // Refused only while the reader is slow; the refusal counts as one more dropped line and starts the timer again.
    if (!this.#stream.tryTake('warn', DROP_REPORT_MESSAGE)) {
      this.#scheduleReport();
      return;
    }
    const dropped = this.#stream.takeDropped();
    if (dropped !== undefined) this.#logger.warn({ ...dropped }, DROP_REPORT_MESSAGE);
  }
}

/**
 * Creates the logger of a process.
 * @param program - name of the program
 * @param processId - id of this scheduler or gate
 * @param level - lowest level that is logged
 * @param stream - destination of log lines, whose limits decide which lines are built; blocking writes to standard
 * output when omitted
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
  const logger = bunyan.createLogger({ name: program, processId, streams });
  return stream instanceof LogStream ? new LimitedLogger(logger, stream) : logger;
}
