/** Runs real nodes with the platform adapter and stand-ins on the loopback address, in one process. */

import { request } from 'node:http';
import { createServer } from 'node:net';
import { PassThrough } from 'node:stream';
import { createFrontHandler } from '../../platform/ingress';
import { AdviceServiceClient } from '../../platform/adviceClient';
import { operatorRows } from '../../platform/operatorRows';
import { StoreClient } from '../../platform/storeClient';
import { WorkerClient } from '../../platform/targetClient';
import { targetRegistry } from '../../platform/targetRegistry';
import { ClusterNode } from '../../src/node/node';
import { createLogger } from '../../src/observe/logger';
import { Metrics } from '../../src/observe/metrics';
import { HttpClient } from '../../src/rpc/httpClient';
import { HttpListener } from '../../src/rpc/httpListener';
import { SuspendAwareClock } from '../../src/types/clock';
import type { NodeId } from '../../src/types/ids';
import type { FakeTarget } from '../../standins/fakeTarget';
import { FakeRowStore } from '../../standins/fakeRowStore';
import { FakeWorker } from '../../standins/fakeWorker';

const POLL_INTERVAL_MS = 25;

const LIMITS = { maxBodyBytes: 262_144, bodyTimeoutMs: 2_000 };

/** A running node with its front (caller-facing) address. */
export interface RunningNode {
  readonly node: ClusterNode;
  readonly address: string;
  readonly logLines: string[];
  stop(): void;
}

/** The initial desired state. */
export const CONFIG = {
  version: 3,
  routes: [
    {
      ...{
        name: 'r-checks',
        host: 'checks.example',
        'path-prefix': '/checks/',
        service: 'service',
      },
      ...{ 'timeout-ms': 3_000, 'target-duration-ms': 250, attempts: 3, stretch: 1.5 },
    },
  ],
  services: [{ name: 'service', 'enforces-capacity': false }],
  tenants: [{ name: 'team-a', 'api-keys': ['key-a'], weight: 5 }],
};

/** Ports below the ephemeral range that the system assigns to outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Finds a port on which nothing listens at present. */
export async function findFreePort(): Promise<number> {
  const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
  return (await isPortFree(port)) ? port : findFreePort();
}

/** The stand-ins and nodes of one test. */
export class PlatformDeployment {
  readonly store = new FakeRowStore();

  readonly workers: FakeWorker[] = [];

  readonly nodes: RunningNode[] = [];

  /** Number of starts by task key. */
  readonly startCounts = new Map<string, number>();

  /** Number of `done` ends by task key. */
  readonly done = new Map<string, number>();

  #storeAddress = '';

  constructor(
    /** Duration of each task. */
    readonly workMs: number,
  ) {}

  async start(workerCount: number, nodeCount: number): Promise<void> {
    this.#storeAddress = await this.store.listen();
    this.store.put('op', 'config', CONFIG);
    for (let index = 0; index < workerCount; index += 1) {
      this.workers.push(
        new FakeWorker(`i-${index}`, this.store, {
          onStart: (_target: FakeTarget, call) => {
            this.startCounts.set(call.taskKey, (this.startCounts.get(call.taskKey) ?? 0) + 1);
            return { workMs: this.workMs, how: 'done', isGang: false };
          },
          onEnd: (_target, run, how) => {
            if (how === 'done') this.done.set(run.taskKey, (this.done.get(run.taskKey) ?? 0) + 1);
          },
          onAcknowledged: () => undefined,
        }),
      );
    }
    await Promise.all(this.workers.map((worker) => worker.start()));
    await Promise.all(
      Array.from({ length: nodeCount }, (_, index) => this.addNode(`node-${index + 1}`)),
    );
  }

  async addNode(name: string, processorMillis = 500): Promise<RunningNode> {
    const lines: string[] = [];
    const stream = new PassThrough();
    stream.on('data', (chunk) => lines.push(String(chunk)));
    const storeCaller = new HttpClient();
    const workerCaller = new HttpClient({ connectionsPerPeer: 3 });
    const port = await findFreePort();
    const node = new ClusterNode(
      { nodeId: name as NodeId, host: '127.0.0.1', port, processorMillis },
      {
        store: new StoreClient(storeCaller, this.#storeAddress),
        targets: new WorkerClient(workerCaller),
        advice: new AdviceServiceClient(storeCaller, undefined),
        operatorRows,
        registry: targetRegistry,
        clock: new SuspendAwareClock(),
        logger: createLogger('test', name, 'info', stream),
        metrics: new Metrics(),
      },
    );
    const front = new HttpListener(
      createFrontHandler((call) => node.answer(call)),
      LIMITS,
    );
    const frontPort = await front.listen('127.0.0.1', 0);
    const running: RunningNode = {
      ...{ node, address: `127.0.0.1:${frontPort}`, logLines: lines },
      stop: () => {
        front.closeAll();
        node.stop();
        storeCaller.close().catch(() => undefined);
        workerCaller.close().catch(() => undefined);
      },
    };
    // Registered before the start, so that stop() also covers a node whose start failed.
    this.nodes.push(running);
    await node.start();
    return running;
  }

  get owner(): RunningNode | undefined {
    return this.nodes.find(({ node }) => JSON.stringify(node.dump()).includes('"kind":"owning"'));
  }

  stop(): void {
    this.nodes.forEach((node) => node.stop());
    this.workers.forEach((worker) => worker.stop());
    this.store.close();
  }
}

/** What a front has answered. */
export interface Answer {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
}

/** Calls the front of a node. */
export function callFront(
  address: string,
  method: string,
  path: string,
  body = '',
  key = 'key-a',
): Promise<Answer> {
  const [host, port] = address.split(':');
  const headers = { host: 'checks.example', authorization: `Bearer ${key}` };
  return new Promise((resolve, reject) => {
    const sent = request({ host, port, method, path, headers }, (response) => {
      let text = '';
      response.on('data', (chunk) => {
        text += String(chunk);
      });
      response.on('end', () => {
        const retryAfter = response.headers['retry-after'];
        resolve({ status: response.statusCode ?? 0, body: text, retryAfter });
      });
    });
    sent.on('error', reject);
    sent.end(body);
  });
}

/** Waits. */
export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Polls until the condition holds; resolves with the elapsed time. */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
  startedAtMs = performance.now(),
): Promise<number> {
  if (await condition()) return performance.now() - startedAtMs;
  if (performance.now() - startedAtMs > timeoutMs)
    throw new Error('condition not met within the time limit');
  await sleep(POLL_INTERVAL_MS);
  return waitFor(condition, timeoutMs, startedAtMs);
}
