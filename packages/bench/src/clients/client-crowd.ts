/** Clients that send without end or stop short of it, and read no answer. */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

const host = '127.0.0.1';

/** How long a crowd goes on. Nothing that a test checks depends on it. */
const crowdMs = 3_000;

/** Pause before a connection that was closed is opened again. */
const reopenDelayMs = 100;

/** Bytes that a client hands to its connection at once. */
const writeBytes = 64 * 1024;

/** What each client of a crowd sends on one connection. */
export interface ClientInput {
  /** Sent once. */
  readonly head: string;
  /** Sent again and again after the head; nothing if it is empty. */
  readonly repeated: string;
  /** Bytes of all repetitions; the last one may be cut short. */
  readonly maxBytes: number;
}

/** Clients that send the same at once. */
export interface ClientCrowdOptions {
  readonly port: number;
  readonly connectionCount: number;
  readonly input: ClientInput;
}

/** Writes the input until it is all sent or the connection is closed. */
const writeInput = async (socket: Socket, input: ClientInput) => {
  const { head, repeated, maxBytes } = input;
  if (head !== '') socket.write(head);
  if (repeated === '') return;
  const repetitions = Math.ceil(writeBytes / repeated.length);
  const block = Buffer.from(repeated.repeat(repetitions), 'latin1');
  for (let sent = 0; sent < maxBytes && !socket.destroyed;) {
    const part = block.subarray(0, maxBytes - sent);
    sent += part.length;
    if (socket.write(part)) await pause(0);
    else
      await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(
        () => undefined,
      );
  }
};

/** A crowd of clients, whose connections stay open until it is closed. */
export class ClientCrowd {
  readonly #sockets = new Set<Socket>();
  #isSending = true;

  constructor(private readonly options: ClientCrowdOptions) {}

  /** Sends for some seconds; connections that are still open then stay so. */
  async send(): Promise<void> {
    const { connectionCount } = this.options;
    for (let i = 0; i < connectionCount; i += 1) this.#open();
    await pause(crowdMs);
    this.#isSending = false;
  }

  close(): void {
    this.#isSending = false;
    for (const socket of this.#sockets) socket.destroy();
  }

  #open(): void {
    if (!this.#isSending) return;
    const socket = connect(this.options.port, host);
    this.#sockets.add(socket);
    // The process may reset the connection of such a client.
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      setTimeout(() => {
        this.#open();
      }, reopenDelayMs);
    });
    void writeInput(socket, this.options.input);
  }
}
