/** Latency that a gate and a scheduler add to a direct call, and requests per processor core. */

import { randomUUID } from 'node:crypto';
import { Deployment } from '../demo/deployment';
import {
  createDemoSheet,
  getTeamToken,
  OperatorClient,
  OPERATOR_TOKEN,
} from '../demo/operatorClient';
import { Metrics } from '../src/observe/metrics';
import type { LatencySummary } from '../src/observe/metrics';
import { readProcessUsage } from './processUsage';
import type { Benchmark, Figure } from './types';

const BASE_PORT = 24_500;
const TEAM = 'team-a';
const TARGET_COUNT = 8;
const TARGET_SLOTS = 16;
const CALLER_COUNT = 16;
const WARM_UP_MS = 4_000;
const MEASURE_MS = 8_000;
const WINDOW_MS = 5_000;
const SERVICE_MS = 0;
const HTTP_OK = 200;

/** Latency and completed calls of one closed loop of callers. */
interface LoopResult {
  readonly latency: LatencySummary | undefined;
  readonly answeredCount: number;
}

type SendRequest = () => Promise<boolean>;

async function runLoop(send: SendRequest, durationMs: number): Promise<LoopResult> {
  const metrics = new Metrics();
  const endMs = performance.now() + durationMs;
  let answeredCount = 0;
  const runCaller = async () => {
    while (performance.now() < endMs) {
      const startMs = performance.now();
      const isAnswered = await send();
      if (!isAnswered) continue;
      answeredCount += 1;
      metrics.record('call', performance.now() - startMs);
    }
  };
  await Promise.all(Array.from({ length: CALLER_COUNT }, runCaller));
  return { latency: metrics.dump().latencies[0], answeredCount };
}

/** Creates a call to a target that no scheduler owns, because the sheet does not list its data centre. */
function createDirectCall(deployment: Deployment): SendRequest {
  const address = deployment.targetAddresses.at(-1) ?? '';
  return async () => {
    const result = await deployment.httpClient.postJson(
      address,
      '/request',
      {
        kind: 'request',
        token: { shardId: 'none', epoch: 1 },
        requestId: randomUUID(),
        teamId: TEAM,
        timeoutMs: WINDOW_MS,
        contentType: 'application/json',
        bodyBase64: Buffer.from(JSON.stringify({ serviceMs: SERVICE_MS })).toString('base64'),
      },
      WINDOW_MS,
    );
    return result.kind === 'response' && result.status === HTTP_OK;
  };
}

function createGateCall(deployment: Deployment): SendRequest {
  const address = deployment.gateAddresses[0] ?? '';
  return async () => {
    const result = await deployment.httpClient.perform({
      method: 'POST',
      address,
      path: `/v1/queues/${TEAM}/requests`,
      headers: {
        authorization: `Bearer ${getTeamToken(TEAM)}`,
        'content-type': 'application/json',
        'request-id': randomUUID(),
        'request-window-ms': String(WINDOW_MS),
        'request-idempotent': 'true',
      },
      body: JSON.stringify({ serviceMs: SERVICE_MS }),
      timeoutMs: WINDOW_MS,
    });
    return result.kind === 'response' && result.status === HTTP_OK;
  };
}

function createFigures(name: string, { latency, answeredCount }: LoopResult): readonly Figure[] {
  return [
    { name: `${name}, p50`, value: latency?.p50Ms ?? 0, unit: 'ms' },
    { name: `${name}, p99`, value: latency?.p99Ms ?? 0, unit: 'ms' },
    { name: `${name}, answered`, value: answeredCount / (MEASURE_MS / 1_000), unit: '1/s' },
  ];
}

async function measure(deployment: Deployment): Promise<readonly Figure[]> {
  await deployment.start();
  const operator = new OperatorClient(deployment);
  await operator.applySheet(createDemoSheet([TEAM], ['a']));
  await operator.waitForSlots(TARGET_COUNT * TARGET_SLOTS);
  const sendDirect = createDirectCall(deployment);
  const sendThroughGate = createGateCall(deployment);
  await runLoop(sendDirect, WARM_UP_MS);
  const directResult = await runLoop(sendDirect, MEASURE_MS);
  await runLoop(sendThroughGate, WARM_UP_MS);
  const programs = ['gate-0', 'scheduler-0'];
  const cpuBefore = programs.map((name) => readProcessUsage(deployment.getPid(name)).cpuMs);
  const gateResult = await runLoop(sendThroughGate, MEASURE_MS);
  const perCoreFigures = programs.map((name, index): Figure => {
    const cpuMs = readProcessUsage(deployment.getPid(name)).cpuMs - (cpuBefore[index] ?? 0);
    return {
      name: `requests per core of ${name}`,
      value: (gateResult.answeredCount * 1_000) / cpuMs,
      unit: '1/s',
    };
  });
  return [
    ...createFigures('direct to a target', directResult),
    ...createFigures('through gate and scheduler', gateResult),
    ...perCoreFigures,
  ];
}

/** The `request` benchmark: 16 callers in a closed loop, with targets that answer immediately. */
export const request: Benchmark = {
  name: 'request',
  description: 'latency added to a direct call, and requests per core of gate and scheduler',
  async run() {
    const deployment = new Deployment({
      basePort: BASE_PORT,
      memberCount: 1,
      groups: [
        { dataCentreId: 'a', count: TARGET_COUNT, targetsPerRack: 6 },
        { dataCentreId: 'unlisted', count: 1, targetsPerRack: 6 },
      ],
      capacity: {
        cpuMillis: 64_000,
        memoryMb: 131_072,
        accelerators: 0,
        slots: TARGET_SLOTS,
        connections: 64,
      },
      operatorToken: OPERATOR_TOKEN,
    });
    try {
      return await measure(deployment);
    } finally {
      await deployment.stop();
    }
  },
};
