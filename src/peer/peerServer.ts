/** Accepts connections of other nodes. */

import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { PeerLink } from './peerLink';
import type { PeerHandlers, PeerLinkHandle } from './types';

/** Listens for other nodes. */
export class PeerServer {
  #server: Server;

  #links = new Set<PeerLink>();

  /**
   * @param handlers - answers every call
   * @param onClosed - told when a connection has ended
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
  }

  /**
   * Starts to listen.
   * @param host - IP number
   * @param port - the port
   */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Stops listening and ends every connection. */
  close(): void {
    this.#server.close();
    this.#links.forEach((link) => link.close());
  }
}
