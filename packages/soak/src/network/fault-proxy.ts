/** A loopback proxy for one address, whose connections can be harmed. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

/** Which way nothing gets through. Bytes are kept and pass when it heals. */
export type SilencedDirection = 'none' | 'to target' | 'from target' | 'both';

interface SocketPair {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
}

const parseAddress = (address: string) => {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  return { host: address.slice(0, colon), port };
};

export class FaultProxy {
  /** Added to each piece in either direction. */
  delayMs = 0;
  #silencedDirection: SilencedDirection = 'none';
  readonly #pairs = new Set<SocketPair>();
  readonly #server: Server;
  #address = '';

  private constructor(private readonly targetAddress: string) {
    this.#server = createServer({ allowHalfOpen: true }, near => {
      this.#acceptConnection(near);
    });
  }

  static async start(target: string): Promise<FaultProxy> {
    const proxy = new FaultProxy(target);
    await new Promise<void>(resolve => {
      proxy.#server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = proxy.#server.address() as AddressInfo;
    proxy.#address = `127.0.0.1:${port}`;
    return proxy;
  }

  get address(): string {
    return this.#address;
  }

  setSilencedDirection(silence: SilencedDirection): void {
    this.#silencedDirection = silence;
    for (const pair of this.#pairs) this.#applySilence(pair);
  }

  /** Resets every open connection on both sides. */
  resetConnections(): void {
    for (const { clientSocket: near, targetSocket: far } of this.#pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  async stop(): Promise<void> {
    const closed = new Promise(resolve => this.#server.close(resolve));
    for (const { clientSocket: near, targetSocket: far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    await closed;
  }

  #acceptConnection(near: Socket): void {
    const far = connect({
      ...parseAddress(this.targetAddress),
      allowHalfOpen: true,
    });
    const pair = { clientSocket: near, targetSocket: far };
    this.#pairs.add(pair);
    this.#forwardData(near, far);
    this.#forwardData(far, near);
    this.#applySilence(pair);
  }

  /** Passes on what one side sends, in order. */
  #forwardData(from: Socket, to: Socket): void {
    let tail = Promise.resolve();
    const later = (step: () => void) => {
      const { delayMs } = this;
      tail = tail.then(async () => {
        if (delayMs > 0) await pause(delayMs);
        if (!to.destroyed) step();
      });
    };
    from.setNoDelay(true);
    from.on('data', chunk => {
      later(() => to.write(chunk));
    });
    from.on('end', () => {
      later(() => to.end());
    });
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      later(() => to.destroy());
      this.#removeClosedPair(from);
    });
  }

  #removeClosedPair(socket: Socket): void {
    for (const pair of this.#pairs) {
      const { clientSocket: near, targetSocket: far } = pair;
      if (near !== socket && far !== socket) continue;
      if (near.destroyed && far.destroyed) this.#pairs.delete(pair);
    }
  }

  #applySilence({ clientSocket: near, targetSocket: far }: SocketPair): void {
    const isSilent = (way: SilencedDirection) =>
      this.#silencedDirection === 'both' || this.#silencedDirection === way;
    if (isSilent('to target')) near.pause();
    else near.resume();
    if (isSilent('from target')) far.pause();
    else far.resume();
  }
}
