/** HTTP binding of the target protocol. Its wire format is not used outside of this file. */

import * as z from 'zod';
import type { HttpClient } from '../rpc/httpClient';
import type { TargetCall, TargetClient, TargetResult } from './types';

const HTTP_OK = 200;

const resultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted') }),
  z.object({ kind: z.literal('report'), report: z.looseObject({ tasks: z.array(z.unknown()) }) }),
  z.object({
    kind: z.literal('answer'),
    requestId: z.string(),
    status: z.int().min(200).max(599),
    contentType: z.string().regex(/^[\t\x20-\x7e]*$/),
    bodyBase64: z.base64(),
  }),
  z.object({ kind: z.literal('refused'), detail: z.string(), highestEpoch: z.number() }),
]);

/** Reports malformed responses as lost, because the call may have taken effect. */
function parseResult(body: Buffer): TargetResult {
  try {
    const parsed = resultSchema.safeParse(JSON.parse(body.toString('utf8')));
    if (parsed.success) return parsed.data as unknown as TargetResult;
    return { kind: 'lost', detail: 'malformed answer' };
  } catch {
    return { kind: 'lost', detail: 'malformed answer' };
  }
}

/** Prevents a late or mismatched answer from being delivered to the caller of another request. */
function isMatchingAnswer(call: TargetCall, result: TargetResult): boolean {
  if (call.kind !== 'request' || result.kind !== 'answer') return true;
  return call.requestId === result.requestId;
}

/** Target client for the HTTP protocol that the stand-in target implements. */
export class HttpTargetClient implements TargetClient {
  #httpClient: HttpClient;

  #mismatchedAnswerCount = 0;

  /**
   * @param httpClient - client that holds the connections
   */
  constructor(httpClient: HttpClient) {
    this.#httpClient = httpClient;
  }

  /** Number of dropped answers that carried the id of another request. */
  get mismatchedAnswerCount(): number {
    return this.#mismatchedAnswerCount;
  }

  /** {@inheritDoc TargetClient.perform} */
  async perform(
    address: string,
    call: TargetCall,
    timeoutMs: number,
    isTooLate: () => boolean,
  ): Promise<TargetResult> {
    const path = `/${call.kind}`;
    const result = await this.#httpClient.postJson(address, path, call, timeoutMs, isTooLate);
    if (result.kind === 'notSent') return { kind: 'notSent', detail: result.detail };
    if (result.kind === 'lost') return { kind: 'lost', detail: result.detail };
    if (result.status !== HTTP_OK) return { kind: 'lost', detail: `status ${result.status}` };
    const answer = parseResult(result.body);
    if (isMatchingAnswer(call, answer)) return answer;
    this.#mismatchedAnswerCount += 1;
    return { kind: 'lost', detail: 'crossed answer' };
  }
}
