/** Bounds how many connections an HTTP server keeps, and what they have it hold and parse. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { ConnectionInput } from './connection-input.js';
import { InputTurns } from './input-turns.js';

/** Why a connection was closed. */
export type ConnectionLimit = 'connections' | 'input';

/** Limits of the connections of one server, read whenever they are needed. */
export interface ConnectionLimits {
  /** Connections that are open at once. */
  readonly getMaxConnections: () => number;
  /** Bytes that all connections together may have sent ahead of what is answered. */
  readonly getMaxHeldBytes: () => number;
  /** Called when a connection is closed for a limit. */
  readonly onLimit?: (limit: ConnectionLimit) => void;
}

/** Returns the input that holds most. */
const findLargest = (
  inputs: Iterable<ConnectionInput>,
): ConnectionInput | undefined => {
  let largest: ConnectionInput | undefined;
  for (const input of inputs)
    if (largest === undefined || input.heldBytes > largest.heldBytes)
      largest = input;
  return largest;
};

/** Watches all connections of a server from the time at which they are accepted. */
export class ConnectionGuard {
  readonly #turns = new InputTurns();
  readonly #inputs = new Map<Socket, ConnectionInput>();
  /** Connections on which no request runs; which has sent nothing for longest comes first. */
  readonly #idle = new Set<ConnectionInput>();
  /** Connections with input that waits. */
  readonly #holding = new Set<ConnectionInput>();
  #heldBytes = 0;

  constructor(private readonly limits: ConnectionLimits) {}

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#inputs.size;
  }

  /** Bytes that wait to be parsed, of all connections. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Takes over the input of each new connection; the server must not listen yet. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.#accept(socket);
    });
    server.on('request', (message: IncomingMessage, response) => {
      this.#addRequest(message, response);
    });
    // A listener that the server does not have yet would change how it takes such requests.
    if (server.listenerCount('upgrade') > 0)
      server.prependListener('upgrade', ({ socket }: IncomingMessage) => {
        this.#inputs.get(socket)?.detach();
      });
  }

  #accept(socket: Socket): void {
    if (!this.#makeRoom()) {
      this.limits.onLimit?.('connections');
      socket.destroy();
      return;
    }
    const input = new ConnectionInput(socket, this.#turns, {
      onHeldBytes: this.#updateHeldBytes,
      onRead: this.#updateIdle,
      onBusy: this.#updateIdle,
    });
    this.#inputs.set(socket, input);
    this.#idle.add(input);
    socket.once('close', () => {
      this.#forget(input);
    });
  }

  #addRequest(message: IncomingMessage, response: ServerResponse): void {
    this.#inputs.get(message.socket)?.addRequest(message, response);
  }

  /** Closes a connection if there are too many; false if all of them are in use. */
  #makeRoom(): boolean {
    if (this.#inputs.size < this.limits.getMaxConnections()) return true;
    const dispensable = this.#findDispensable();
    if (dispensable === undefined) return false;
    this.#close(dispensable, 'connections');
    return true;
  }

  /** Returns a connection without a running request, or one whose caller does not read. */
  #findDispensable(): ConnectionInput | undefined {
    const [idle] = this.#idle;
    if (idle !== undefined) return idle;
    for (const input of this.#inputs.values())
      if (input.socket.writableNeedDrain) return input;
    return undefined;
  }

  readonly #updateIdle = (input: ConnectionInput): void => {
    this.#idle.delete(input);
    if (!input.isBusy && this.#inputs.has(input.socket)) this.#idle.add(input);
  };

  readonly #updateHeldBytes = (
    input: ConnectionInput,
    change: number,
  ): void => {
    this.#heldBytes += change;
    if (input.heldBytes > 0) this.#holding.add(input);
    else this.#holding.delete(input);
    while (this.#heldBytes > this.limits.getMaxHeldBytes()) {
      const largest = findLargest(this.#holding);
      if (largest === undefined) break;
      this.#close(largest, 'input');
    }
  };

  #close(input: ConnectionInput, limit: ConnectionLimit): void {
    this.limits.onLimit?.(limit);
    this.#forget(input);
    input.close();
  }

  #forget(input: ConnectionInput): void {
    this.#inputs.delete(input.socket);
    this.#idle.delete(input);
    this.#holding.delete(input);
  }
}
