/** Sends HTTP requests with undici and says of each failure whether a byte can have left. */

import Agent from 'undici/lib/dispatcher/agent';
import callRequest from 'undici/lib/api/api-request';

const CONNECT_TIMEOUT_MS = 700;
const KEEP_ALIVE_MS = 10_000;
const CONNECTIONS_PER_PEER = 64;

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

const TOO_LATE_CODE = 'HEMLOCKWAY_TOO_LATE';
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

/**
 * Wraps a dispatcher so that a call that waited too long for its connection is never written.
 * @param agent - keeps the connections
 * @param isTooLate - asked when a connection is about to take the call
 * @returns what to dispatch with
 */
function createGuard(agent: Agent, isTooLate: () => boolean): Pick<Agent, 'dispatch'> {
  return {
    dispatch(options, handler) {
      const onConnect = handler.onConnect?.bind(handler);
      // Undici calls this right before it writes, with a function that gives the call up.
      handler.onConnect = (abort) => {
        if (isTooLate()) {
          abort(Object.assign(new Error('too late to be sent'), { code: TOO_LATE_CODE }));
          return;
        }
        onConnect?.(abort);
      };
      return agent.dispatch(options, handler);
    },
  };
}

/** Keeps connections to peers open between calls. */
export class HttpCaller {
  #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    connections: CONNECTIONS_PER_PEER,
    pipelining: 1,
  });

  #sentBytes = 0;

  #receivedBytes = 0;

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
    try {
      const { isTooLate } = call;
      const dispatcher = isTooLate ? createGuard(this.#agent, isTooLate) : this.#agent;
      const response = await callRequest.call(dispatcher, {
        origin: `http://${call.address}`,
        path: call.path,
        method: call.method,
        headers: call.headers,
        body: call.method === 'GET' ? null : call.body,
        signal: AbortSignal.timeout(Math.max(1, Math.ceil(call.timeoutMs))),
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      this.#receivedBytes += body.length;
      const contentType = String(response.headers['content-type'] ?? '');
      return { kind: 'response', status: response.statusCode, contentType, body };
    } catch (error) {
      const code = getCode(error);
      if (!isConnectFailure(error)) return { kind: 'lost', detail: code };
      return { kind: 'notSent', isRefused: code === 'ECONNREFUSED', detail: code };
    }
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
    await this.#agent.destroy();
  }
}
