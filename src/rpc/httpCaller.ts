/** Sends HTTP requests with undici and says of each failure whether a byte can have left. */

import Pool from 'undici/lib/dispatcher/pool';
import { performExchange, TIMEOUT_CODE, TOO_LATE_CODE } from './exchange';

const CONNECT_TIMEOUT_MS = 700;
const KEEP_ALIVE_MS = 10_000;
const DEFAULT_CONNECTIONS_PER_PEER = 64;

/** What came of one HTTP exchange. */
export type HttpResult =
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
    }
  /** No connection came about, so no byte of the request can have arrived. */
  | { readonly kind: 'notSent'; readonly isRefused: boolean; readonly detail: string }
  /** The request may have arrived; its answer did not. */
  | { readonly kind: 'lost'; readonly detail: string };

/** One HTTP request. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly address: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string;
  readonly timeoutMs: number;
  /** Asked again right before the first byte is written; true voids the call. */
  readonly isTooLate?: () => boolean;
}

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

function getCode(error: unknown): string {
  if (typeof error !== 'object' || error === null) return 'unknown';
  if ('code' in error && typeof error.code === 'string') return error.code;
  return 'name' in error ? String(error.name) : 'unknown';
}

/**
 * Asks whether a failure proves that no byte of a request left. The codes of a failed connection can
 * also come from one that was established, so the failed system call decides.
 * @param error - what the request failed with
 * @returns true when no connection came about, or when the call was voided before it was written
 */
export function isConnectFailure(error: unknown): boolean {
  if (typeof error !== 'object' || error === null) return false;
  if (getCode(error) === CONNECT_TIMEOUT_CODE || getCode(error) === TOO_LATE_CODE) return true;
  return 'syscall' in error && error.syscall === 'connect';
}

/** Settings of a caller. */
export interface HttpCallerOptions {
  /** Most connections that are open to one peer at a time. */
  readonly connectionsPerPeer?: number;
}

/** Keeps connections to peers open between calls. */
export class HttpCaller {
  #pools = new Map<string, Pool>();

  #connectionsPerPeer: number;

  #sentBytes = 0;

  #receivedBytes = 0;

  /**
   * @param options - limits
   */
  constructor(options: HttpCallerOptions = {}) {
    this.#connectionsPerPeer = options.connectionsPerPeer ?? DEFAULT_CONNECTIONS_PER_PEER;
  }

  /** Body bytes sent and received so far. */
  get traffic() {
    return { sentBytes: this.#sentBytes, receivedBytes: this.#receivedBytes };
  }

  /**
   * Performs one exchange.
   * @param call - where, what, and for how long to wait
   * @returns the response, or what is known of the failure; never rejects
   */
  async perform(call: HttpCall): Promise<HttpResult> {
    this.#sentBytes += call.body.length;
    const pool = this.#getPool(call.address);
    const end = await performExchange(
      pool,
      {
        origin: `http://${call.address}`,
        path: call.path,
        method: call.method,
        headers: call.headers,
        body: call.method === 'GET' ? null : call.body,
      },
      { timeoutMs: call.timeoutMs, isTooLate: call.isTooLate ?? (() => false) },
    );
    if (end.kind === 'response') {
      this.#receivedBytes += end.body.length;
      return end;
    }
    const code = getCode(end.error);
    if (code === TIMEOUT_CODE) this.#retire(call.address, pool);
    if (end.isWritten && !isConnectFailure(end.error)) return { kind: 'lost', detail: code };
    return { kind: 'notSent', isRefused: code === 'ECONNREFUSED', detail: code };
  }

  /**
   * Posts JSON.
   * @param address - `ip:port`
   * @param path - the path
   * @param value - what to send
   * @param timeoutMs - how long to wait for the whole answer
   * @param isTooLate - voids the call when true right before it is written
   * @returns as {@link HttpCaller.perform}
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

  /** Closes every connection at once. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #getPool(address: string): Pool {
    const known = this.#pools.get(address);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      connections: this.#connectionsPerPeer,
      pipelining: 1,
    });
    this.#pools.set(address, pool);
    return pool;
  }

  /** Open connections may have gone silent for good, so the next call takes new ones. */
  #retire(address: string, pool: Pool): void {
    if (this.#pools.get(address) !== pool) return;
    this.#pools.delete(address);
    pool.close().catch(() => undefined);
  }
}
