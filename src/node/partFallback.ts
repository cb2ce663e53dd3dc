/**
 * Writes a row to another of its parts when the store does not answer for the first one.
 *
 * Load pattern: some parts of the store are silent for seconds while the others answer as usual. A gate that insists
 * on the part of a submission holds its caller until the time limit. A row that is stored in two parts is still one
 * submission, as readers identify it by its key.
 */

import type { AcceptOutcome } from './acceptance';

/** A part without an answer for this long is taken for silent; covers a lost answer and the copy that follows it. */
const FALLBACK_DELAY_MS = 400;

/** How a row is written to its parts. */
export interface FallbackOptions {
  /** The parts in order of preference. */
  readonly parts: readonly string[];
  /** Writes the row to one part. */
  commit(part: string): Promise<AcceptOutcome>;
  /** False while all parts answer late, so that another write would only add to the load. */
  isFallbackUseful(): boolean;
  /** Called when a part was stored to while earlier ones had not answered. */
  onSilent(parts: readonly string[]): void;
}

/** One row and its writes. */
class FallbackWrite {
  #options: FallbackOptions;

  #startedCount = 0;

  #openCount = 0;

  #failures: AcceptOutcome[] = [];

  #timer: NodeJS.Timeout | undefined;

  #resolve: (outcome: AcceptOutcome) => void;

  #isSettled = false;

  constructor(options: FallbackOptions, resolve: (outcome: AcceptOutcome) => void) {
    this.#options = options;
    this.#resolve = resolve;
  }

  startNext(): void {
    const position = this.#startedCount;
    const part = this.#options.parts[position];
    if (part === undefined) return;
    this.#startedCount += 1;
    this.#openCount += 1;
    this.#options
      .commit(part)
      .then((outcome) => this.#onOutcome(outcome, position))
      .catch((error: unknown) =>
        this.#onOutcome({ kind: 'unknown', detail: String(error) }, position),
      );
    this.#timer = setTimeout(() => this.#onDelayElapsed(), FALLBACK_DELAY_MS);
  }

  #onDelayElapsed(): void {
    if (!this.#isSettled && this.#options.isFallbackUseful()) this.startNext();
  }

  #onOutcome(outcome: AcceptOutcome, position: number): void {
    this.#openCount -= 1;
    if (this.#isSettled) return;
    if (outcome.kind === 'stored') {
      if (position > 0) this.#options.onSilent(this.#options.parts.slice(0, position));
      this.#settle(outcome);
      return;
    }
    this.#failures.push(outcome);
    if (this.#openCount > 0) return;
    // The row may be stored as soon as one of its writes may have been performed.
    this.#settle(this.#failures.find(({ kind }) => kind === 'unknown') ?? outcome);
  }

  #settle(outcome: AcceptOutcome): void {
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#resolve(outcome);
  }
}

/**
 * Writes a row to the first of its parts that answers.
 * @param options - the parts and how to write to one
 * @returns `stored` as soon as one write is; otherwise an unknown outcome if any of the writes has one
 */
export function commitWithFallback(options: FallbackOptions): Promise<AcceptOutcome> {
  return new Promise((resolve) => {
    new FallbackWrite(options, resolve).startNext();
  });
}
