/**
 * A TCP proxy on the loopback address that injects faults into its connections.
 */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { allocatePort } from '@medlarlever/platform/stand-ins';

/**
 * Direction in which no bytes pass. The bytes are held back and delivered once
 * the silence ends.
 */
export type SilencedDirection = 'none' | 'to target' | 'from target' | 'both';

interface SocketPair {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
}

const parseAddress = (address: string) => {
  const colonIndex = address.lastIndexOf(':');
  const port = Number(address.slice(colonIndex + 1));
  return { host: address.slice(0, colonIndex), port };
};

/**
 * Forwards connections to one target address and can silence, delay or reset
 * them.
 */
export class FaultProxy {
  /** Delay in milliseconds that is added to each chunk in either direction. */
  delayMs = 0;
  #silencedDirection: SilencedDirection = 'none';
  readonly #pairs = new Set<SocketPair>();
  readonly #server: Server;
  #address = '';
  #isStopped = false;

  private constructor(private readonly targetAddress: string) {
    this.#server = createServer({ allowHalfOpen: true }, clientSocket => {
      this.#acceptConnection(clientSocket);
    });
  }

  /**
   * Starts a proxy on a free loopback port for the target address
   * (`host:port`). No other process is assigned the port while connections are refused.
   */
  static async start(targetAddress: string): Promise<FaultProxy> {
    const proxy = new FaultProxy(targetAddress);
    const port = await allocatePort();
    await new Promise<void>(resolve => {
      proxy.#server.listen(port, '127.0.0.1', resolve);
    });
    proxy.#address = `127.0.0.1:${port}`;
    return proxy;
  }

  /** Address at which the proxy listens, as `host:port`. */
  get address(): string {
    return this.#address;
  }

  /** Sets the silenced direction for open and new connections. */
  setSilencedDirection(direction: SilencedDirection): void {
    this.#silencedDirection = direction;
    for (const pair of this.#pairs) this.#applySilence(pair);
  }

  /** Refuses new connections; open ones live on. */
  async refuseConnections(): Promise<void> {
    if (!this.#server.listening) return;
    // The server is closed for new connections at once, and calls back at the last end.
    this.#server.close();
    await Promise.resolve();
  }

  /** Accepts new connections again, at the same address. */
  async acceptConnections(): Promise<void> {
    if (this.#isStopped || this.#server.listening) return;
    const { port } = parseAddress(this.#address);
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  /** Resets every open connection on both sides. */
  resetConnections(): void {
    for (const { clientSocket, targetSocket } of this.#pairs) {
      clientSocket.resetAndDestroy();
      targetSocket.resetAndDestroy();
    }
  }

  /** Closes the server and all connections. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const serverClosed = new Promise(resolve => this.#server.close(resolve));
    for (const { clientSocket, targetSocket } of this.#pairs) {
      clientSocket.destroy();
      targetSocket.destroy();
    }
    await serverClosed;
  }

  #acceptConnection(clientSocket: Socket): void {
    const targetSocket = connect({
      ...parseAddress(this.targetAddress),
      allowHalfOpen: true,
    });
    const pair = { clientSocket, targetSocket };
    this.#pairs.add(pair);
    this.#forwardData(clientSocket, targetSocket);
    this.#forwardData(targetSocket, clientSocket);
    this.#applySilence(pair);
  }

  /** Forwards the data, end and errors of one socket to the other, in order. */
  #forwardData(from: Socket, to: Socket): void {
    let lastAction = Promise.resolve();
    const enqueue = (action: () => void) => {
      const { delayMs } = this;
      lastAction = lastAction.then(async () => {
        if (delayMs > 0) await pause(delayMs);
        if (!to.destroyed) action();
      });
    };
    from.setNoDelay(true);
    from.on('data', chunk => {
      enqueue(() => to.write(chunk));
    });
    from.on('end', () => {
      enqueue(() => to.end());
    });
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      enqueue(() => to.destroy());
      this.#removeClosedPair(from);
    });
  }

  #removeClosedPair(socket: Socket): void {
    for (const pair of this.#pairs) {
      const { clientSocket, targetSocket } = pair;
      if (clientSocket !== socket && targetSocket !== socket) continue;
      if (clientSocket.destroyed && targetSocket.destroyed)
        this.#pairs.delete(pair);
    }
  }

  #applySilence({ clientSocket, targetSocket }: SocketPair): void {
    const isSilent = (direction: SilencedDirection) =>
      this.#silencedDirection === 'both' ||
      this.#silencedDirection === direction;
    if (isSilent('to target')) clientSocket.pause();
    else clientSocket.resume();
    if (isSilent('from target')) targetSocket.pause();
    else targetSocket.resume();
  }
}
