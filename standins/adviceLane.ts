/** The address of the fake advice service for one node, which makes that node a caller of its own. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { DeafSockets } from './deafSockets';

const MAX_WAITING_CALLS = 32;

/** A call of the node, and where its answer goes. */
export interface AdviceCall {
  readonly step: string;
  readonly workers: readonly string[];
  readonly response: ServerResponse;
}

/** Handles the calls of one node in turn. */
export class AdviceLane {
  readonly server: Server;

  readonly sockets: DeafSockets;

  #handle: (call: AdviceCall) => Promise<void>;

  #waitingCount = 0;

  /** Calls are handled in turn, also those whose callers have given up. */
  #handled: Promise<void> = Promise.resolve();

  constructor(handle: (call: AdviceCall) => Promise<void>) {
    this.#handle = handle;
    this.server = createServer((message, response) => {
      this.#receive(message, response).catch(() => response.destroy());
    });
    this.sockets = new DeafSockets(this.server);
  }

  async #receive(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of message) chunks.push(chunk as Buffer);
    if (this.sockets.isDeaf(message.socket)) return;
    if (this.#waitingCount >= MAX_WAITING_CALLS) {
      response.writeHead(429).end('{}');
      return;
    }
    const { step, workers } = JSON.parse(Buffer.concat(chunks).toString('utf8')) as AdviceCall;
    this.#waitingCount += 1;
    this.#handled = this.#handled
      .then(() => this.#handle({ step, workers, response }))
      .finally(() => {
        this.#waitingCount -= 1;
      });
    await this.#handled;
  }
}
