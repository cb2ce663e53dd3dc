/** Fake worker with the platform's HTTP protocol, which registers itself in the row store. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as E from 'fp-ts/Either';
import type { PollCall, StartCall, StopCall } from '../src/node/ports';
import type { Inventory, TargetFailure } from '../src/owner/types';
import type { Checkpoint, Epoch, TargetId, TaskKey } from '../src/types/ids';
import type { TaskDemand } from '../src/work/types';
import { DeafSockets } from './deafSockets';
import { FakeTarget } from './fakeTarget';
import type { FakeTargetEvents } from './fakeTarget';
import type { FakeRowStore } from './fakeRowStore';
import { systemTimeSource } from './timeSource';

const REGISTRATION_INTERVAL_MS = 300;
const DEFAULT_CAPACITY = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 };

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
  readonly ticket?: string;
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

/** Properties of a worker beside its behaviour. */
export interface FakeWorkerOptions {
  readonly capacity?: TaskDemand;
  /** Checks the ticket of a start; without it any start is accepted. */
  readonly isTicketValid?: (ticket: string | undefined, taskKey: string, id: string) => boolean;
}

/** Serves a fake target over HTTP; the test chooses how long each task runs. */
export class FakeWorker {
  readonly target: FakeTarget;

  #server: Server;

  #store: FakeRowStore;

  #options: FakeWorkerOptions;

  #sockets: DeafSockets;

  #registrationIntervalMs = REGISTRATION_INTERVAL_MS;

  #registrationTimer: NodeJS.Timeout | undefined;

  #address = '';

  state: 'ready' | 'draining' = 'ready';

  /** Number of polls received. */
  pollCount = 0;

  constructor(
    id: string,
    store: FakeRowStore,
    events: FakeTargetEvents,
    options: FakeWorkerOptions = {},
  ) {
    this.#store = store;
    this.#options = options;
    const capacity = options.capacity ?? DEFAULT_CAPACITY;
    this.target = new FakeTarget(id as TargetId, capacity, systemTimeSource, events, 1);
    this.#server = createServer((message, response) => {
      this.#handle(message, response).catch(() => response.destroy());
    });
    this.#sockets = new DeafSockets(this.#server);
  }

  /** Starts listening and registers periodically. */
  async start(registrationIntervalMs = REGISTRATION_INTERVAL_MS): Promise<void> {
    this.#registrationIntervalMs = registrationIntervalMs;
    await this.#listen(0);
    this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    this.#startRegistering();
  }

  /** The process ends: all runs are lost and all connections are closed. */
  crash(): void {
    this.target.crashProcess();
    this.stop();
  }

  /** The process starts again at the same address. */
  async restart(): Promise<void> {
    await this.#listen(Number(this.#address.split(':')[1]));
    this.target.restart();
    this.#startRegistering();
  }

  /** Makes all present connections half-open. */
  deafen(): void {
    this.#sockets.deafen();
  }

  /** Closes all present connections. */
  resetConnections(): void {
    this.#server.closeAllConnections();
  }

  #listen(port: number): Promise<void> {
    return new Promise<void>((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  #startRegistering(): void {
    this.register();
    this.#registrationTimer = setInterval(() => this.register(), this.#registrationIntervalMs);
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
      capacity: { cpu: entry.capacity.cpuMillis, 'mem-mb': entry.capacity.memoryMb },
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
    if (this.#sockets.isDeaf(message.socket)) return;
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
        if (!this.#isStartPermitted(wireCall)) {
          const refusal = { 'clock-ms': this.target.clockMs, reason: 'ticket' };
          FakeWorker.#sendJson(response, 409, refusal);
          return;
        }
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

  #isStartPermitted({ ticket, task = '' }: WireCall): boolean {
    const { isTicketValid } = this.#options;
    return isTicketValid === undefined || isTicketValid(ticket, task, this.target.id);
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
