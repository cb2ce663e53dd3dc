/** The command line's HTTP client for one gate. */

import { HttpCaller } from '../rpc/httpCaller';
import type { HttpResult } from '../rpc/httpCaller';

const CALL_TIMEOUT_MS = 10_000;
const FIRST_ERROR_STATUS = 400;

/** What a gate answered to an operator's call. */
export type CliResult =
  | { readonly kind: 'value'; readonly value: unknown }
  /** The gate refused the call. */
  | { readonly kind: 'refused'; readonly code: string; readonly message: string }
  /** The gate could not be reached or did not answer. */
  | { readonly kind: 'unreachable'; readonly detail: string };

interface ErrorBody {
  readonly code: string;
  readonly message: string;
  readonly detail: string;
}

function isErrorBody(value: unknown): value is ErrorBody {
  return typeof value === 'object' && value !== null && 'code' in value && 'message' in value;
}

function toResult(result: HttpResult): CliResult {
  if (result.kind !== 'response') return { kind: 'unreachable', detail: result.detail };
  const value: unknown = JSON.parse(result.body.toString('utf8'));
  if (result.status < FIRST_ERROR_STATUS) return { kind: 'value', value };
  if (!isErrorBody(value)) return { kind: 'refused', code: '', message: `status ${result.status}` };
  const detail = value.detail === '' ? '' : `: ${value.detail}`;
  return { kind: 'refused', code: value.code, message: `${value.message}${detail}` };
}

/** Calls one gate. */
export class CliClient {
  #caller = new HttpCaller();

  #address: string;

  #token: string;

  /**
   * @param address - `ip:port` of the gate
   * @param token - the operator token or a team's key
   */
  constructor(address: string, token: string) {
    this.#address = address;
    this.#token = token;
  }

  /**
   * Performs one call.
   * @param method - HTTP method
   * @param path - path below `/v1/`
   * @param body - JSON to send, if any
   * @returns the answer
   */
  async call(method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<CliResult> {
    const result = await this.#caller.perform({
      method,
      address: this.#address,
      path: `/v1/${path}`,
      headers: { authorization: `Bearer ${this.#token}`, 'content-type': 'application/json' },
      body: body === undefined ? '' : JSON.stringify(body),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return toResult(result);
  }

  /** Closes the connection. */
  close(): Promise<void> {
    return this.#caller.close();
  }
}
