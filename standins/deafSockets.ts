/** Half-open connections of a stand-in: what arrives on them is never answered, and they are not reset. */

import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Tracks the connections of a server. */
export class DeafSockets {
  #open = new Set<Socket>();

  #deaf = new WeakSet<Socket>();

  /**
   * @param server - the server whose connections are tracked
   */
  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.#open.add(socket);
      socket.on('close', () => this.#open.delete(socket));
    });
  }

  /** Makes all present connections half-open. */
  deafen(): void {
    this.#open.forEach((socket) => this.#deaf.add(socket));
  }

  /**
   * @param socket - the connection on which a request has arrived
   * @returns true when it must not be answered
   */
  isDeaf(socket: Socket): boolean {
    return this.#deaf.has(socket);
  }
}
