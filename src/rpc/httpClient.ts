/** HTTP client based on undici. For each failure it reports whether the request may have been sent. */

import Pool from 'undici/lib/dispatcher/pool';
import { performExchange, TIMEOUT_CODE, TOO_LATE_CODE } from './exchange';

const CONNECT_TIMEOUT_MS = 700;
const KEEP_ALIVE_MS = 10_000;
const DEFAULT_CONNECTIONS_PER_PEER = 64;

/** Exceeds every list of the platform; programs that know their peers set less. */
const DEFAULT_MAX_ANSWER_BYTES = 67_108_864;

/** Disables the timers of undici; each call has a timer of its own that covers the complete response. */
const NO_TIMEOUT = 0;

const isNeverTooLate = () => false;

/** Result of an HTTP request. */
export type HttpResult =
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
    }
  /** No byte of the request was sent: no connection was established, or the call was voided in time. */
  | { readonly kind: 'notSent'; readonly isRefused: boolean; readonly detail: string }
  /** The request may have arrived, but no complete response did. */
  | { readonly kind: 'lost'; readonly isConnectionClosed: boolean; readonly detail: string };

export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly address: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string;
  readonly timeoutMs: number;
  /** Evaluated immediately before the first byte is written; returning true voids the call. */
  readonly isTooLate?: () => boolean;
}

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/** Error codes of a connection that the peer closed or reset. */
const CLOSED_CODES: ReadonlySet<string> = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE']);

function getCode(error: unknown): string {
  if (typeof error !== 'object' || error === null) return 'unknown';
  if ('code' in error && typeof error.code === 'string') return error.code;
  return 'name' in error ? String(error.name) : 'unknown';
}

/**
 * Checks whether an error proves that no byte of a request was sent. The error codes of a failed connection
 * attempt can also come from an established connection, so the failed system call is checked instead.
 * @param error - error of the request
 * @returns true when no connection was established or the call was voided before it was written
 */
export function isConnectFailure(error: unknown): boolean {
  if (typeof error !== 'object' || error === null) return false;
  if (getCode(error) === CONNECT_TIMEOUT_CODE || getCode(error) === TOO_LATE_CODE) return true;
  return 'syscall' in error && error.syscall === 'connect';
}

export interface HttpClientOptions {
  /** Maximum number of simultaneous connections to one peer. */
  readonly connectionsPerPeer?: number;
  /** Limit of the body of an answer; the connection of a larger one is closed and the call counts as lost. */
  readonly maxAnswerBytes?: number;
}

/** Keeps a connection pool for each peer. */
export class HttpClient {
  #pools = new Map<string, Pool>();

  #connectionsPerPeer: number;

  #maxAnswerBytes: number;

  #sentBytes = 0;

  #receivedBytes = 0;

  /**
   * @param options - connection limits
   */
  constructor(options: HttpClientOptions = {}) {
    this.#connectionsPerPeer = options.connectionsPerPeer ?? DEFAULT_CONNECTIONS_PER_PEER;
    this.#maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
  }

  /** Total body bytes sent and received. */
  get traffic() {
    return { sentBytes: this.#sentBytes, receivedBytes: this.#receivedBytes };
  }

  /**
   * Sends a request and waits for the complete response.
   * @param call - the request and its timeout
   * @returns the response or the kind of failure; never rejects
   */
  async perform(call: HttpCall): Promise<HttpResult> {
    this.#sentBytes += call.body.length;
    const pool = this.#tryGetPool(call.address);
    if (pool === undefined) {
      return { kind: 'notSent', isRefused: false, detail: `malformed address ${call.address}` };
    }
    const outcome = await performExchange(
      pool,
      {
        origin: `http://${call.address}`,
        path: call.path,
        method: call.method,
        headers: call.headers,
        body: call.method === 'GET' ? null : call.body,
      },
      {
        timeoutMs: call.timeoutMs,
        isTooLate: call.isTooLate ?? isNeverTooLate,
        maxAnswerBytes: this.#maxAnswerBytes,
      },
    );
    if (outcome.kind === 'response') {
      this.#receivedBytes += outcome.body.length;
      return outcome;
    }
    const code = getCode(outcome.error);
    if (code === TIMEOUT_CODE && outcome.isWritten) this.#retirePool(call.address, pool);
    if (outcome.isWritten && !isConnectFailure(outcome.error))
      return { kind: 'lost', isConnectionClosed: CLOSED_CODES.has(code), detail: code };
    return { kind: 'notSent', isRefused: code === 'ECONNREFUSED', detail: code };
  }

  /**
   * Sends a JSON body with POST.
   * @param address - `ip:port` of the peer
   * @param path - request path
   * @param value - value to serialize
   * @param timeoutMs - timeout of the complete response
   * @param isTooLate - see {@link HttpCall.isTooLate}
   * @returns as {@link HttpClient.perform}
   */
  postJson(
    address: string,
    path: string,
    value: unknown,
    timeoutMs: number,
    isTooLate?: () => boolean,
  ): Promise<HttpResult> {
    return this.perform({
      method: 'POST',
      address,
      path,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(value),
      timeoutMs,
      ...(isTooLate ? { isTooLate } : {}),
    });
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /** Returns undefined for an address that no connection can be opened to. */
  #tryGetPool(address: string): Pool | undefined {
    const existing = this.#pools.get(address);
    if (existing !== undefined) return existing;
    return URL.canParse(`http://${address}`) ? this.#createPool(address) : undefined;
  }

  #createPool(address: string): Pool {
    const pool = new Pool(`http://${address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      connections: this.#connectionsPerPeer,
      pipelining: 1,
      headersTimeout: NO_TIMEOUT,
      bodyTimeout: NO_TIMEOUT,
    });
    this.#pools.set(address, pool);
    return pool;
  }

  /**
   * Replaces the pool of a peer after a time-out of a written request, because its open connections may be dead. A
   * request that timed out before that has waited for the requests on them, which time out themselves.
   */
  #retirePool(address: string, pool: Pool): void {
    if (this.#pools.get(address) !== pool) return;
    this.#pools.delete(address);
    pool.close().catch(() => undefined);
  }
}
