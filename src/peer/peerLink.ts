/** A connection between two nodes: bidirectional JSON-RPC 2.0, one message per line. */

import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import * as E from 'fp-ts/Either';
import { tryParseJson } from '../types/json';
import type { PeerCalls, PeerHandlers, PeerLinkHandle, PeerMethod, PeerReplies } from './types';

/** A longer line closes the connection; the largest message is a transaction of 1 MB. */
const MAX_LINE_CHARS = 4_194_304;

/** Parts of a line are joined when there are more, so that a line in small pieces takes little more than its size. */
const MAX_LINE_PARTS = 256;

/** Limit of unsent bytes; a connection whose peer does not read fast enough is closed. */
const MAX_UNSENT_BYTES = 8_388_608;

const MAX_PORT = 65_535;

function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}

/** Callbacks of a connection. */
export interface PeerLinkEvents {
  /** The connection has closed; no further message arrives. */
  onClosed(): void;
}

/** One side of a connection. */
export class PeerLink implements PeerLinkHandle {
  #socket: Socket;

  #rpc: JSONRPCServerAndClient;

  /** Parts of a line whose end has not arrived; only new text is searched for it. */
  #lineParts: string[] = [];

  #lineChars = 0;

  #isClosed = false;

  #events: PeerLinkEvents;

  /**
   * @param socket - a connected socket
   * @param handlers - handlers for the other side's calls
   * @param events - called when the connection closes
   */
  constructor(socket: Socket, handlers: PeerHandlers, events: PeerLinkEvents) {
    this.#socket = socket;
    this.#events = events;
    const server = new JSONRPCServer({ errorListener: () => undefined });
    Object.entries(handlers).forEach(([method, handler]) => {
      const answer = handler as (params: unknown, link: PeerLinkHandle) => unknown;
      server.addMethod(method, async (params: unknown) => answer(params, this));
    });
    this.#rpc = new JSONRPCServerAndClient(
      server,
      new JSONRPCClient((message) => this.#send(message)),
      { errorListener: () => undefined },
    );
    socket.setNoDelay(true);
    socket.setEncoding('utf8');
    socket.on('data', (text) => this.#receive(String(text)));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#onClosed());
  }

  /** {@inheritDoc PeerLinkHandle.isClosed} */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** {@inheritDoc PeerLinkHandle.call} */
  async call<M extends PeerMethod>(
    method: M,
    params: PeerCalls[M],
    timeoutMs: number,
  ): Promise<PeerReplies[M]> {
    const reply: unknown = await this.#rpc.timeout(timeoutMs).request(method, params);
    return reply as PeerReplies[M];
  }

  /** {@inheritDoc PeerLinkHandle.close} */
  close(): void {
    this.#socket.destroy();
  }

  #send(message: unknown): Promise<void> {
    if (this.#isClosed) return Promise.reject(new Error('the connection is closed'));
    this.#socket.write(`${JSON.stringify(message)}\n`);
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) this.#socket.destroy();
    return Promise.resolve();
  }

  #receive(text: string): void {
    const lines = text.split('\n');
    const rest = lines.pop() ?? '';
    lines.forEach((line, index) =>
      this.#handleLine(index === 0 ? [...this.#lineParts, line].join('') : line),
    );
    if (lines.length > 0) {
      this.#lineParts = [];
      this.#lineChars = 0;
    }
    if (rest !== '') this.#lineParts.push(rest);
    this.#lineChars += rest.length;
    if (this.#lineParts.length > MAX_LINE_PARTS) this.#lineParts = [this.#lineParts.join('')];
    if (this.#lineChars <= MAX_LINE_CHARS) return;
    this.#lineParts = [];
    this.#socket.destroy();
  }

  #handleLine(line: string): void {
    const message = tryParseJson(line);
    if (message === undefined) {
      this.#socket.destroy();
      return;
    }
    this.#rpc.receiveAndSend(message).catch(() => this.#socket.destroy());
  }

  #onClosed(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#rpc.rejectAllPendingRequests('the connection is closed');
    this.#events.onClosed();
  }
}

/**
 * Opens a connection to another node.
 * @param address - `ip:port`
 * @param handlers - handlers for the other side's calls
 * @param events - called when the connection closes
 * @param timeoutMs - timeout for connecting
 * @returns the connection, or the reason for the failure
 */
export function openPeerLink(
  address: string,
  handlers: PeerHandlers,
  events: PeerLinkEvents,
  timeoutMs: number,
): Promise<E.Either<string, PeerLink>> {
  const [host = '', port = ''] = address.split(':');
  // An attempt to connect to a port out of range throws.
  if (!isPort(Number(port))) return Promise.resolve(E.left(`malformed address ${address}`));
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const timer = setTimeout(() => {
      socket.destroy();
      resolve(E.left('timeout'));
    }, timeoutMs);
    socket.once('error', (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(E.left(error.code ?? 'error'));
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.removeAllListeners('error');
      resolve(E.right(new PeerLink(socket, handlers, events)));
    });
  });
}

/**
 * Performs one call over a new connection.
 * @param address - `ip:port`
 * @param method - the method
 * @param params - its parameters
 * @param timeoutMs - timeout for connecting and again for the answer
 * @returns the answer, or the reason for the failure
 */
export async function callPeerOnce<M extends PeerMethod>(
  address: string,
  method: M,
  params: PeerCalls[M],
  timeoutMs: number,
): Promise<E.Either<string, PeerReplies[M]>> {
  const link = await openPeerLink(address, {}, { onClosed: () => undefined }, timeoutMs);
  if (E.isLeft(link)) return link;
  try {
    return E.right(await link.right.call(method, params, timeoutMs));
  } catch (error) {
    return E.left(String(error));
  } finally {
    link.right.close();
  }
}
