/** Calls other hemlockway processes by JSON-RPC 2.0. */

import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0';
import { tryParseJson } from '../types/json';
import type { HttpClient } from './httpClient';
import type { RpcResult, SchedulerCall } from './types';

/** Path on which schedulers accept calls. */
export const RPC_PATH = '/rpc';

const MALFORMED_ANSWER_CODE = -32_700;

/** Sends calls over a shared HTTP client. */
export class RpcClient {
  #httpClient: HttpClient;

  #nextId = 1;

  /**
   * @param httpClient - client that holds the connections
   */
  constructor(httpClient: HttpClient) {
    this.#httpClient = httpClient;
  }

  /**
   * Sends a call and waits for its response.
   * @param address - `ip:port` of the scheduler
   * @param call - the call
   * @param timeoutMs - timeout of the response
   * @returns the response or the kind of failure; never rejects
   */
  async call<T>(address: string, call: SchedulerCall, timeoutMs: number): Promise<RpcResult<T>> {
    const id = this.#nextId;
    this.#nextId += 1;
    const message = createJSONRPCRequest(id, call.kind, call);
    const result = await this.#httpClient.postJson(address, RPC_PATH, message, timeoutMs);
    if (result.kind === 'notSent') return { kind: 'notSent', isRefused: result.isRefused };
    if (result.kind === 'lost') return { kind: 'lost', detail: result.detail };
    const response = tryParseJson(result.body.toString('utf8'));
    if (!isJSONRPCResponse(response) || response.id !== id) {
      return { kind: 'error', code: MALFORMED_ANSWER_CODE, message: 'malformed or crossed answer' };
    }
    if (response.error !== undefined) {
      return { kind: 'error', code: response.error.code, message: response.error.message };
    }
    return { kind: 'ok', value: response.result as T };
  }
}
