/**
 * Decides which log lines are written while more are logged than may be written. Lines that mark a change of state
 * have a reserve that lines of single submissions, runs and calls cannot use up.
 */

/** Maximum number of lines per second, except for the first few of each message. */
const MAX_LINES_PER_SECOND = 1_000;

/** Part of the lines per second that is kept for changes of state. */
const CHANGE_RESERVE_LINES = 200;

/** Lines of each message about a change of state that are written in any second, whatever else is logged. */
const GUARANTEED_LINES_PER_MESSAGE = 5;

/** Maximum number of lines per second of one message about a change of state. */
const MAX_CHANGE_LINES_PER_MESSAGE = 100;

/** Maximum number of messages that are told apart; it bounds the guaranteed lines and the memory. */
const MAX_MESSAGES = 200;

/** Stands for all messages beyond {@link MAX_MESSAGES}. */
const OTHER_MESSAGES = 'other messages';

/** Maximum size of buffered output; further lines are dropped while the reader is slow. */
const MAX_PENDING_BYTES = 1_048_576;

/** Part of the buffered output that is kept for changes of state. */
const CHANGE_RESERVE_BYTES = 262_144;

const SECOND_MS = 1_000;

/** Messages about single submissions, runs and calls, which come by the hundred. */
const WORK_MESSAGES: ReadonlySet<string> = new Set([
  'call answered',
  'no advice',
  'run ended',
  'run started',
  'run stopped',
  'start in doubt is settled',
  'start not confirmed',
  'submission ended',
  'submission taken',
]);

/** Severity of a line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** What a line is about: a change of state of the process, or one submission, run or call. */
export type LineClass = 'change' | 'work';

/** Lines that were dropped since the last report. */
export interface DroppedLines {
  readonly count: number;
  readonly countByMessage: Readonly<Record<string, number>>;
}

/**
 * Classifies a line.
 * @param level - its severity
 * @param message - its message
 * @returns `work` for lines that come by the hundred; never for warnings and errors
 */
export function getLineClass(level: LogLevel, message: string): LineClass {
  const isRoutine = level === 'info' || level === 'debug';
  return isRoutine && WORK_MESSAGES.has(message) ? 'work' : 'change';
}

/** Counts the lines of the current second and the dropped ones. */
export class LogBudget {
  #windowStartMs = 0;

  #writtenCount = 0;

  #writtenByMessage = new Map<string, number>();

  #droppedByMessage = new Map<string, number>();

  #droppedCounts = { change: 0, work: 0 };

  /** Number of dropped lines. */
  get droppedCount(): number {
    return this.#droppedCounts.change + this.#droppedCounts.work;
  }

  /** Number of dropped lines that mark a change of state. */
  get droppedChangeCount(): number {
    return this.#droppedCounts.change;
  }

  /**
   * Decides whether a line may be written, and counts it as written or dropped.
   * @param level - its severity
   * @param message - its message
   * @param nowMs - the time
   * @param pendingBytes - size of the output that the reader has not taken yet
   * @returns true when it may be written
   */
  tryTake(level: LogLevel, message: string, nowMs: number, pendingBytes: number): boolean {
    // A wall clock that is set back must not keep a used-up second in force.
    if (Math.abs(nowMs - this.#windowStartMs) >= SECOND_MS) this.#beginWindow(nowMs);
    const lineClass = getLineClass(level, message);
    if (!this.#isWithinLimits(lineClass, message, pendingBytes)) {
      this.#droppedCounts[lineClass] += 1;
      LogBudget.#increment(this.#droppedByMessage, message);
      return false;
    }
    this.#writtenCount += 1;
    if (lineClass === 'change') LogBudget.#increment(this.#writtenByMessage, message);
    return true;
  }

  /** @returns the lines dropped since the last call, or undefined when there are none */
  takeDropped(): DroppedLines | undefined {
    if (this.#droppedByMessage.size === 0) return undefined;
    const countByMessage = Object.fromEntries(this.#droppedByMessage);
    const count = Object.values(countByMessage).reduce((sum, value) => sum + value, 0);
    this.#droppedByMessage.clear();
    return { count, countByMessage };
  }

  #beginWindow(nowMs: number): void {
    this.#windowStartMs = nowMs;
    this.#writtenCount = 0;
    this.#writtenByMessage.clear();
  }

  #isWithinLimits(lineClass: LineClass, message: string, pendingBytes: number): boolean {
    if (lineClass === 'work') {
      return (
        this.#writtenCount < MAX_LINES_PER_SECOND - CHANGE_RESERVE_LINES &&
        pendingBytes < MAX_PENDING_BYTES - CHANGE_RESERVE_BYTES
      );
    }
    if (pendingBytes >= MAX_PENDING_BYTES) return false;
    const key = LogBudget.#toKey(this.#writtenByMessage, message);
    const count = this.#writtenByMessage.get(key) ?? 0;
    if (count < GUARANTEED_LINES_PER_MESSAGE) return true;
    return count < MAX_CHANGE_LINES_PER_MESSAGE && this.#writtenCount < MAX_LINES_PER_SECOND;
  }

  static #toKey(counts: ReadonlyMap<string, number>, message: string): string {
    return counts.has(message) || counts.size < MAX_MESSAGES ? message : OTHER_MESSAGES;
  }

  static #increment(counts: Map<string, number>, message: string): void {
    const key = LogBudget.#toKey(counts, message);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
}
