/** Fake worker with the platform's HTTP protocol, which registers itself in the row store. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as E from 'fp-ts/Either';
import type { PollCall, StartCall, StopCall } from '../src/node/ports';
import type { Inventory, TargetFailure } from '../src/owner/types';
import type { Checkpoint, Epoch, TargetId, TaskKey } from '../src/types/ids';
import { FakeTarget } from './fakeTarget';
import type { FakeTargetEvents } from './fakeTarget';
import type { FakeRowStore } from './fakeRowStore';
import { systemTimeSource } from './timeSource';

const REGISTRATION_INTERVAL_MS = 300;
const CAPACITY = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 };

const REFUSAL_REASONS: Partial<Record<TargetFailure['kind'], string>> = {
  fenced: 'fence',
  staleRun: 'old',
  late: 'late',
};

interface WireCall {
  readonly task?: string;
  readonly run?: number;
  readonly spec?: string;
  readonly fence?: number;
  readonly 'deadline-ms'?: number;
  readonly 'last-seen'?: number;
  readonly 'wait-ms'?: number;
  readonly 'last-save'?: string;
}

async function readCall(message: IncomingMessage): Promise<WireCall> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as WireCall;
}

function toWireInventory(inventory: Inventory): unknown {
  return {
    'clock-ms': inventory.clockMs,
    born: inventory.incarnationStartMs,
    running: inventory.running.map((entry) => [
      ...[entry.taskKey, entry.run, entry.checkpoint ?? '', entry.percent, 0],
    ]),
    ended: inventory.ended.map((entry) => [
      ...[entry.sequence, entry.taskKey, entry.run, entry.how, entry.checkpoint ?? ''],
    ]),
  };
}

/** Serves a fake target over HTTP; the test chooses how long each task runs. */
export class FakeWorker {
  readonly target: FakeTarget;

  #server: Server;

  #store: FakeRowStore;

  #registrationTimer: NodeJS.Timeout | undefined;

  #address = '';

  state: 'ready' | 'draining' = 'ready';

  /** Number of polls received. */
  pollCount = 0;

  constructor(id: string, store: FakeRowStore, events: FakeTargetEvents) {
    this.#store = store;
    this.target = new FakeTarget(id as TargetId, CAPACITY, systemTimeSource, events, 1);
    this.#server = createServer((message, response) => {
      this.#handle(message, response).catch(() => response.destroy());
    });
  }

  /** Starts listening and registers periodically. */
  async start(registrationIntervalMs = REGISTRATION_INTERVAL_MS): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    this.register();
    this.#registrationTimer = setInterval(() => this.register(), registrationIntervalMs);
  }

  /** Writes the worker's row to the target registry. */
  register(): void {
    const { entry } = this.target;
    this.#store.put('servers', entry.id, {
      service: entry.serviceName,
      addr: this.#address,
      zone: entry.dataCentreId,
      version: 'v1',
      slots: 8,
      state: this.state,
      capacity: { cpu: CAPACITY.cpuMillis, 'mem-mb': CAPACITY.memoryMb },
      labels: entry.labels,
      born: entry.incarnationStartMs,
    });
  }

  /** Stops registering and closes all connections. */
  stop(): void {
    clearInterval(this.#registrationTimer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const wireCall = await readCall(message);
    if (message.headers['expect-instance'] !== this.target.id) {
      FakeWorker.#sendJson(response, 421, {});
      return;
    }
    const call = {
      taskKey: wireCall.task as TaskKey,
      run: wireCall.run ?? 0,
      payload: wireCall.spec ?? '',
      fence: (wireCall.fence ?? 0) as Epoch,
      notAfterMs: wireCall['deadline-ms'] ?? 0,
      leaseUntilMs: wireCall['deadline-ms'],
      acknowledgedSequence: wireCall['last-seen'] ?? 0,
      waitMs: wireCall['wait-ms'] ?? 0,
      checkpoint: wireCall['last-save'] as Checkpoint | undefined,
    };
    switch (message.url) {
      case '/api/run-start':
        this.#sendResult(response, this.target.start(call as unknown as StartCall));
        return;
      case '/api/run-stop':
        this.#sendResult(response, this.target.stop(call as unknown as StopCall));
        return;
      case '/api/hold':
        this.pollCount += 1;
        this.target.poll(call as unknown as PollCall, (result) =>
          this.#sendResult(
            response,
            E.isRight(result) ? E.right(toWireInventory(result.right)) : result,
          ),
        );
        return;
      default:
        FakeWorker.#sendJson(response, 404, {});
    }
  }

  #sendResult(response: ServerResponse, result: E.Either<TargetFailure, unknown>): void {
    if (E.isRight(result)) {
      FakeWorker.#sendJson(response, 200, {
        'clock-ms': this.target.clockMs,
        ...Object(result.right),
      });
      return;
    }
    const reason = REFUSAL_REASONS[result.left.kind];
    FakeWorker.#sendJson(response, 409, { 'clock-ms': this.target.clockMs, reason });
  }

  static #sendJson(response: ServerResponse, status: number, value: unknown): void {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  }
}
