/**
 * Entry point of `standin-target HOST FIRST_PORT COUNT CAPACITY_JSON`, which serves simulated targets over HTTP
 * on consecutive ports.
 */

import { setTimeout as sleep } from 'node:timers/promises';
import type { TargetCall, TargetResult } from '../src/target/types';
import type { ResourceVector } from '../src/types/resources';
import { createJsonResponse, listenJson } from './httpServer';
import { TargetModel } from './targetModel';
import type { TargetFaults } from './targetModel';

const BLACK_HOLE_DELAY_MS = 60_000;
const DEFAULT_SERVICE_MS = 5;

type RequestCall = Extract<TargetCall, { kind: 'request' }>;

/** Request body that the stand-in interprets. */
interface RequestBody {
  readonly serviceMs?: number;
}

/** Number of executions of each request on all targets of this process, used to detect duplicates. */
const runCountsById = new Map<string, number>();

function parseBody(bodyBase64: string): RequestBody {
  try {
    return JSON.parse(Buffer.from(bodyBase64, 'base64').toString('utf8'));
  } catch {
    return {};
  }
}

async function serveRequest(target: TargetModel, call: RequestCall): Promise<TargetResult> {
  const refusal = target.tryBeginRequest(call.token, call.teamId, Date.now(), call.requestId);
  if (refusal !== undefined) return refusal;
  runCountsById.set(call.requestId, (runCountsById.get(call.requestId) ?? 0) + 1);
  await sleep(parseBody(call.bodyBase64).serviceMs ?? DEFAULT_SERVICE_MS);
  target.endRequest(call.teamId, call.requestId);
  const isFailing = target.faults.isFailingEverything;
  return {
    kind: 'answer',
    requestId: call.requestId,
    status: isFailing ? 500 : 200,
    contentType: call.contentType,
    bodyBase64: call.bodyBase64,
  };
}

async function handle(target: TargetModel, path: string, value: unknown) {
  if (path === '/control/faults') {
    target.setFaults(value as Partial<TargetFaults>);
    return createJsonResponse({});
  }
  if (path === '/control/summary') {
    const { violations, startedCount } = target;
    return createJsonResponse({ violations, startedCount });
  }
  if (path === '/control/runs') return createJsonResponse([...runCountsById]);
  if (target.faults.isBlackHole) await sleep(BLACK_HOLE_DELAY_MS);
  const call = value as TargetCall;
  if (call.kind === 'request') return createJsonResponse(await serveRequest(target, call));
  return createJsonResponse(target.perform(call, Date.now()));
}

const [host = '127.0.0.1', firstPort = '7100', count = '1', capacityJson = '{}'] =
  process.argv.slice(2);
const capacity = JSON.parse(capacityJson) as ResourceVector;
Array.from({ length: Number(count) }, (_, index) => {
  const target = new TargetModel(capacity);
  return listenJson(host, Number(firstPort) + index, (path, value) => handle(target, path, value));
}).forEach((listener) => {
  listener.catch((error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = 1;
  });
});
