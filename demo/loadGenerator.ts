/** Load generator for the gates: sends requests at a fixed rate for a limited time and counts the outcomes. */

import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Metrics } from '../src/observe/metrics';
import type { HttpClient } from '../src/rpc/httpClient';
import { getTeamToken } from './operatorClient';

/** Rate, duration and recipients of the load. */
export interface LoadOptions {
  readonly gateAddresses: readonly string[];
  readonly teamIds: readonly string[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly windowMs: number;
  readonly serviceMs: number;
}

/** A request whose response violates a guarantee. */
export interface GuaranteeViolation {
  readonly requestId: string;
  readonly detail: string;
}

/** Result of a load. */
export interface LoadReport {
  readonly violations: readonly GuaranteeViolation[];
  readonly answeredIds: readonly string[];
  readonly notRunIds: readonly string[];
  readonly nonIdempotentIds: readonly string[];
}

/**
 * Builds a version 7 UUID (RFC 9562).
 * @param wallMs - timestamp in Unix milliseconds
 * @returns the UUID
 */
export function createUuidV7(wallMs: number): string {
  const time = Math.trunc(wallMs).toString(16).padStart(12, '0');
  const random = randomUUID();
  return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(15)}`;
}

interface ErrorBody {
  readonly code: string;
  readonly name: string;
  readonly detail: string;
}

/** Sends requests to all gates in turn; every fourth request is not idempotent. */
export class LoadGenerator {
  #httpClient: HttpClient;

  #options: LoadOptions;

  #metrics: Metrics;

  #violations: GuaranteeViolation[] = [];

  #answeredIds: string[] = [];

  #notRunIds: string[] = [];

  #nonIdempotentIds: string[] = [];

  /**
   * @param httpClient - client that sends the requests
   * @param options - rate, duration and recipients of the load
   * @param metrics - receives the outcome counters and latencies
   */
  constructor(httpClient: HttpClient, options: LoadOptions, metrics: Metrics) {
    this.#httpClient = httpClient;
    this.#options = options;
    this.#metrics = metrics;
  }

  /**
   * Sends all requests and waits for their responses.
   * @returns the result
   */
  async run(): Promise<LoadReport> {
    const { requestsPerSecond, durationMs } = this.#options;
    const startMs = performance.now();
    const pending: Promise<void>[] = [];
    let sentCount = 0;
    while (performance.now() - startMs < durationMs) {
      const dueCount = ((performance.now() - startMs) / 1_000) * requestsPerSecond;
      while (sentCount < dueCount) {
        pending.push(this.#send(sentCount));
        sentCount += 1;
      }
      await sleep(5);
    }
    await Promise.all(pending);
    return {
      violations: this.#violations,
      answeredIds: this.#answeredIds,
      notRunIds: this.#notRunIds,
      nonIdempotentIds: this.#nonIdempotentIds,
    };
  }

  async #send(index: number): Promise<void> {
    const { gateAddresses, teamIds, windowMs, serviceMs } = this.#options;
    const isIdempotent = index % 4 !== 0;
    const requestId = isIdempotent ? randomUUID() : createUuidV7(Date.now());
    if (!isIdempotent) this.#nonIdempotentIds.push(requestId);
    const body = JSON.stringify({ requestId, serviceMs });
    const teamId = teamIds[index % teamIds.length] ?? '';
    const startMs = performance.now();
    const result = await this.#httpClient.perform({
      method: 'POST',
      address: gateAddresses[index % gateAddresses.length] ?? '',
      path: `/v1/queues/${teamId}/requests`,
      headers: {
        authorization: `Bearer ${getTeamToken(teamId)}`,
        'content-type': 'application/json',
        'request-id': requestId,
        'request-window-ms': String(windowMs),
        'request-idempotent': String(isIdempotent),
      },
      body,
      timeoutMs: windowMs + 2_000,
    });
    if (result.kind !== 'response') {
      this.#metrics.count(`no_answer`);
      this.#violations.push({ requestId, detail: `no response: ${result.detail}` });
      return;
    }
    const text = result.body.toString('utf8');
    if (result.status === 200) {
      this.#metrics.record('answered', performance.now() - startMs);
      this.#metrics.count('answered');
      this.#answeredIds.push(requestId);
      if (text !== body)
        this.#violations.push({ requestId, detail: 'mismatched or truncated response' });
      return;
    }
    const { code, name, detail } = JSON.parse(text) as ErrorBody;
    this.#metrics.count(`refused ${code} ${name} ${detail}`);
    if (code.startsWith('HW3')) this.#notRunIds.push(requestId);
  }
}
