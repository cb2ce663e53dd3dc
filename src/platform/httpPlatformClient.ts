/** HTTP binding of the platform protocol. Its wire format is not used outside of this file. */

import type { HttpClient } from '../rpc/httpClient';
import type { PlatformCall, PlatformClient, PlatformResult } from './types';

const HTTP_OK = 200;

function isPlatformResult(value: unknown): value is PlatformResult {
  return typeof value === 'object' && value !== null && 'kind' in value;
}

function parseResult(body: Buffer): PlatformResult {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    if (isPlatformResult(value)) return value;
    return { kind: 'unavailable', detail: 'malformed answer' };
  } catch {
    return { kind: 'unavailable', detail: 'malformed answer' };
  }
}

/** Platform client for the HTTP protocol that the stand-in platform implements. */
export class HttpPlatformClient implements PlatformClient {
  #httpClient: HttpClient;

  #address: string;

  #callCount = 0;

  #writtenRowCount = 0;

  /**
   * @param httpClient - client that holds the connections
   * @param address - `ip:port` of the platform
   */
  constructor(httpClient: HttpClient, address: string) {
    this.#httpClient = httpClient;
    this.#address = address;
  }

  /** Total number of calls, and of rows in the transactions sent. */
  get counts() {
    return { callCount: this.#callCount, writtenRowCount: this.#writtenRowCount };
  }

  /** {@inheritDoc PlatformClient.perform} */
  async perform(call: PlatformCall, timeoutMs: number): Promise<PlatformResult> {
    this.#callCount += 1;
    if (call.kind === 'transact') this.#writtenRowCount += call.transaction.writes.length;
    const path = `/${call.kind}`;
    const result = await this.#httpClient.postJson(this.#address, path, call, timeoutMs);
    if (result.kind !== 'response') return { kind: 'unavailable', detail: result.detail };
    if (result.status !== HTTP_OK) {
      return { kind: 'unavailable', detail: `status ${result.status}` };
    }
    return parseResult(result.body);
  }
}
