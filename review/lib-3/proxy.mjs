/** A link between one instance and one runner, which can be cut. */
import { connect, createServer } from 'node:net';

import { listen } from './tools.mjs';

export class Link {
  #server;
  #sockets = new Set();
  #isCut = false;
  port = 0;

  constructor(targetPort) {
    this.targetPort = targetPort;
  }

  async open() {
    await this.#listen();
    return this;
  }

  /** Resets the connections that there are, and refuses new ones. */
  cut() {
    this.#isCut = true;
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  async heal() {
    if (!this.#isCut) return;
    this.#isCut = false;
    await this.#listen();
  }

  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  async #listen() {
    this.#server = createServer(inner => {
      const outer = connect({ host: '127.0.0.1', port: this.targetPort });
      for (const socket of [inner, outer]) {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on('error', () => undefined);
        socket.on('close', () => this.#sockets.delete(socket));
      }
      join(inner, outer);
      join(outer, inner);
    });
    this.port = await listen(this.#server, this.port);
  }
}

/** Passes on data, the end and a reset. */
const join = (from, to) => {
  from.pipe(to);
  from.on('error', () => {
    if (!to.destroyed) to.resetAndDestroy();
  });
  from.on('close', hadError => {
    if (hadError || to.destroyed) return;
    to.end();
  });
};
