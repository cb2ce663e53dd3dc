/** HTTP client of the command line. */

import { tryParseJson } from '../types/json';
import { HttpClient } from '../rpc/httpClient';
import type { HttpResult } from '../rpc/httpClient';
import type { CliCall, CliResult, GateApi } from './types';

const CALL_TIMEOUT_MS = 10_000;
const MIN_ERROR_STATUS = 400;
const GATEWAY_TIMEOUT_STATUS = 504;

interface ErrorBody {
  readonly code: string;
  readonly message: string;
  readonly detail: string;
}

function isErrorBody(value: unknown): value is ErrorBody {
  return typeof value === 'object' && value !== null && 'code' in value && 'message' in value;
}

/**
 * Converts an HTTP result into the result of a gate call.
 * @param result - result of the HTTP request
 * @returns the value, the refusal, or `unknown` when the call may or may not have taken effect
 */
export function toCliResult(result: HttpResult): CliResult {
  if (result.kind !== 'response') return { kind: 'unknown', detail: result.detail };
  const { status } = result;
  const value = tryParseJson(result.body.toString('utf8'));
  if (value === undefined)
    return { kind: 'unknown', detail: `response with status ${status} is not JSON` };
  if (status < MIN_ERROR_STATUS) return { kind: 'value', value };
  if (!isErrorBody(value)) return { kind: 'refused', code: '', message: `status ${status}` };
  const message = value.detail ? `${value.message}: ${value.detail}` : value.message;
  if (status === GATEWAY_TIMEOUT_STATUS) {
    return { kind: 'unknown', detail: `${value.code} ${message}` };
  }
  return { kind: 'refused', code: value.code, message };
}

/** Sends calls to one gate over HTTP. */
export class CliClient implements GateApi {
  #httpClient = new HttpClient();

  #address: string;

  #token: string;

  /**
   * @param address - `ip:port` of the gate
   * @param token - bearer token: the operator token or a team's key
   */
  constructor(address: string, token: string) {
    this.#address = address;
    this.#token = token;
  }

  /** {@inheritDoc GateApi.call} */
  async call({ method, path, body, operationId }: CliCall): Promise<CliResult> {
    const result = await this.#httpClient.perform({
      method,
      address: this.#address,
      path: `/v1/${path}`,
      headers: {
        authorization: `Bearer ${this.#token}`,
        'content-type': 'application/json',
        ...(operationId === undefined ? {} : { 'idempotency-key': operationId }),
      },
      body: body === undefined ? '' : JSON.stringify(body),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return toCliResult(result);
  }

  /** Closes all connections to the gate. */
  close(): Promise<void> {
    return this.#httpClient.close();
  }
}
