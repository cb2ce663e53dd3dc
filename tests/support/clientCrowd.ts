/** Clients that send bodies which lack their end, and come again when their connection is closed. */

import { connect } from 'node:net';
import type { Socket } from 'node:net';

const HOST = '127.0.0.1';

/** Connections opened in one round of the event loop. */
const CONNECTIONS_PER_ROUND = 50;

/** What each connection of a crowd sends. */
export interface CrowdTraffic {
  readonly connectionCount: number;
  readonly input: Buffer;
  /** The input is written in pieces of this size at this interval; at once when omitted. */
  readonly pieces?: { readonly sizeBytes: number; readonly intervalMs: number };
  /** Time after which a closed connection is opened again; it stays closed when omitted. */
  readonly reconnectDelayMs?: number;
}

interface CrowdConnection {
  readonly socket: Socket;
  sentBytes: number;
}

/** A crowd of clients that all send the same. */
export class ClientCrowd {
  /** Number of connections that were opened, the first ones included. */
  openedCount = 0;

  #traffic: CrowdTraffic;

  #port: number;

  #connections = new Set<CrowdConnection>();

  #timers = new Set<NodeJS.Timeout>();

  #isClosed = false;

  /**
   * @param traffic - what each connection sends
   * @param port - port of the listener on loopback
   */
  constructor(traffic: CrowdTraffic, port: number) {
    this.#traffic = traffic;
    this.#port = port;
  }

  /** Opens all connections and begins to send. */
  async start(): Promise<void> {
    const { pieces } = this.#traffic;
    if (pieces !== undefined)
      this.#timers.add(setInterval(() => this.#sendPieces(), pieces.intervalMs));
    await this.#openUpTo(this.#traffic.connectionCount);
  }

  /** Closes all connections; none is opened again. */
  close(): void {
    this.#isClosed = true;
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#connections.forEach(({ socket }) => socket.destroy());
  }

  async #openUpTo(count: number): Promise<void> {
    const roundCount = Math.min(CONNECTIONS_PER_ROUND, count);
    for (let index = 0; index < roundCount; index += 1) this.#open();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    if (count > roundCount) await this.#openUpTo(count - roundCount);
  }

  #open(): void {
    if (this.#isClosed) return;
    const { reconnectDelayMs, input, pieces } = this.#traffic;
    this.openedCount += 1;
    const connection = { socket: connect({ host: HOST, port: this.#port }), sentBytes: 0 };
    const { socket } = connection;
    this.#connections.add(connection);
    socket.on('error', () => socket.destroy());
    // Only a socket that reads notices that it was closed.
    if (reconnectDelayMs === undefined) socket.pause();
    else socket.resume();
    if (pieces === undefined) socket.on('connect', () => socket.write(input));
    socket.on('close', () => {
      this.#connections.delete(connection);
      if (reconnectDelayMs !== undefined) this.#openLater(reconnectDelayMs);
    });
  }

  #openLater(delayMs: number): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.#open();
    }, delayMs);
    this.#timers.add(timer);
  }

  #sendPieces(): void {
    const { input, pieces } = this.#traffic;
    if (pieces === undefined) return;
    this.#connections.forEach((connection) => {
      const { socket, sentBytes } = connection;
      if (socket.connecting || socket.destroyed || socket.writableNeedDrain) return;
      if (sentBytes >= input.length) return;
      connection.sentBytes += pieces.sizeBytes;
      socket.write(input.subarray(sentBytes, connection.sentBytes));
    });
  }
}
