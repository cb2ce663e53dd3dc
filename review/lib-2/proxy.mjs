/** A TCP proxy that can be cut: then it passes nothing on, and says nothing about that to either side. */

import net from 'node:net';

export class Proxy {
  /**
   * @param target - `host` and `port` to pass connections on to
   * @param translate - translates what the target's side receives, line by line; omitted for a plain proxy
   */
  constructor(target, translate) {
    this.target = target;
    this.translate = translate;
    this.isCut = false;
    this.sockets = new Set();
    this.server = net.createServer((socket) => this.accept(socket));
  }

  listen() {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        this.address = `127.0.0.1:${this.server.address().port}`;
        resolve(this.address);
      });
    });
  }

  accept(near) {
    const far = net.connect(this.target);
    [near, far].forEach((socket) => {
      socket.setNoDelay(true);
      this.sockets.add(socket);
      socket.on('error', () => undefined);
    });
    const join = (from, to, translate) => {
      let rest = '';
      from.on('data', (chunk) => {
        if (this.isCut) return;
        if (translate === undefined) {
          to.write(chunk);
          return;
        }
        rest += chunk.toString('utf8');
        const end = rest.lastIndexOf('\n') + 1;
        if (end > 0) to.write(translate(rest.slice(0, end)));
        rest = rest.slice(end);
      });
      from.on('close', () => {
        this.sockets.delete(from);
        if (!this.isCut) to.destroy();
      });
    };
    join(near, far, this.translate);
    join(far, near, undefined);
  }

  /** Cuts both directions silently. When the cut ends, connections from before it are reset. */
  setCut(isCut) {
    this.isCut = isCut;
    if (!isCut) this.reset();
  }

  /** Resets all open connections; new ones work. */
  reset() {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
