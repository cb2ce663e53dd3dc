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
import type { RowStoreStandIn } from './rowStore';
import { realTimeline } from './timeline';

const BEAT_MS = 300;
const CAPACITY = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 };

const REASONS: Partial<Record<TargetFailure['kind'], string>> = {
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
    running: inventory.running.map((row) => [
      ...[row.taskKey, row.run, row.checkpoint ?? '', row.percent, 0],
    ]),
    ended: inventory.ended.map((row) => [
      ...[row.sequence, row.taskKey, row.run, row.how, row.checkpoint ?? ''],
    ]),
  };
}

/** Serves a fake target over HTTP; the test chooses how long each task runs. */
export class WorkerStandIn {
  readonly target: FakeTarget;

  #server: Server;

  #store: RowStoreStandIn;

  #timer: NodeJS.Timeout | undefined;

  #address = '';

  state: 'ready' | 'draining' = 'ready';

  constructor(id: string, store: RowStoreStandIn, events: FakeTargetEvents) {
    this.#store = store;
    this.target = new FakeTarget(id as TargetId, CAPACITY, realTimeline, events, 1);
    this.#server = createServer((message, response) => {
      this.#serve(message, response).catch(() => response.destroy());
    });
  }

  /** Starts listening and registers periodically. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    this.register();
    this.#timer = setInterval(() => this.register(), BEAT_MS);
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
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const wire = await readCall(message);
    if (message.headers['expect-instance'] !== this.target.id) {
      WorkerStandIn.#send(response, 421, {});
      return;
    }
    const call = {
      taskKey: wire.task as TaskKey,
      run: wire.run ?? 0,
      payload: wire.spec ?? '',
      fence: (wire.fence ?? 0) as Epoch,
      notAfterMs: wire['deadline-ms'] ?? 0,
      leaseUntilMs: wire['deadline-ms'],
      acknowledgedSequence: wire['last-seen'] ?? 0,
      waitMs: wire['wait-ms'] ?? 0,
      checkpoint: wire['last-save'] as Checkpoint | undefined,
    };
    switch (message.url) {
      case '/api/run-start':
        this.#answer(response, this.target.start(call as unknown as StartCall));
        return;
      case '/api/run-stop':
        this.#answer(response, this.target.stop(call as unknown as StopCall));
        return;
      case '/api/hold':
        this.target.look(call as unknown as PollCall, (result) =>
          this.#answer(
            response,
            E.isRight(result) ? E.right(toWireInventory(result.right)) : result,
          ),
        );
        return;
      default:
        WorkerStandIn.#send(response, 404, {});
    }
  }

  #answer(response: ServerResponse, result: E.Either<TargetFailure, unknown>): void {
    if (E.isRight(result)) {
      WorkerStandIn.#send(response, 200, {
        'clock-ms': this.target.clockMs,
        ...Object(result.right),
      });
      return;
    }
    const reason = REASONS[result.left.kind];
    WorkerStandIn.#send(response, 409, { 'clock-ms': this.target.clockMs, reason });
  }

  static #send(response: ServerResponse, status: number, value: unknown): void {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  }
}
