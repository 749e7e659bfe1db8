/** A loopback proxy for one address, whose connections can be harmed. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

/** Which way nothing gets through. Bytes are kept and pass when it heals. */
export type Silence = 'none' | 'to target' | 'from target' | 'both';

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

const hostAndPort = (address: string) => {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  return { host: address.slice(0, colon), port };
};

export class FaultProxy {
  /** Added to each piece in either direction. */
  delayMs = 0;
  #silence: Silence = 'none';
  readonly #pairs = new Set<Pair>();
  readonly #server: Server;
  #address = '';

  private constructor(private readonly target: string) {
    this.#server = createServer({ allowHalfOpen: true }, near => {
      this.#accept(near);
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

  silence(silence: Silence): void {
    this.#silence = silence;
    for (const pair of this.#pairs) this.#applySilence(pair);
  }

  /** Resets every open connection on both sides. */
  resetAll(): void {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  async stop(): Promise<void> {
    const closed = new Promise(resolve => this.#server.close(resolve));
    for (const { near, far } of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    await closed;
  }

  #accept(near: Socket): void {
    const far = connect({ ...hostAndPort(this.target), allowHalfOpen: true });
    const pair = { near, far };
    this.#pairs.add(pair);
    this.#join(near, far);
    this.#join(far, near);
    this.#applySilence(pair);
  }

  /** Passes on what one side sends, in order. */
  #join(from: Socket, to: Socket): void {
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
      this.#forget(from);
    });
  }

  #forget(socket: Socket): void {
    for (const pair of this.#pairs) {
      const { near, far } = pair;
      if (near !== socket && far !== socket) continue;
      if (near.destroyed && far.destroyed) this.#pairs.delete(pair);
    }
  }

  #applySilence({ near, far }: Pair): void {
    const isSilent = (way: Silence) =>
      this.#silence === 'both' || this.#silence === way;
    if (isSilent('to target')) near.pause();
    else near.resume();
    if (isSilent('from target')) far.pause();
    else far.resume();
  }
}
