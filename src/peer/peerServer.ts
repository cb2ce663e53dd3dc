/** Accepts connections from other nodes. */

import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { PeerLink } from './peerLink';
import type { PeerHandlers, PeerLinkHandle } from './types';

/** Several times the connections of a deployment of 100 nodes: each holds one, and opens one for single calls. */
const MAX_LINKS = 512;

/** The listening side of the connections between nodes. */
export class PeerServer {
  #server: Server;

  #links = new Set<PeerLink>();

  /**
   * @param handlers - handlers for incoming calls
   * @param onClosed - called when a connection has closed
   */
  constructor(handlers: PeerHandlers, onClosed: (link: PeerLinkHandle) => void) {
    this.#server = createServer((socket) => {
      const link: PeerLink = new PeerLink(socket, handlers, {
        onClosed: () => {
          this.#links.delete(link);
          onClosed(link);
        },
      });
      this.#links.add(link);
    });
    this.#server.maxConnections = MAX_LINKS;
  }

  /**
   * Starts listening.
   * @param host - IP address
   * @param port - TCP port
   */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.#server.close();
    this.#links.forEach((link) => link.close());
  }
}
