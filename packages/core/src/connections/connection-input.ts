/**
 * Passes what one connection receives on to Node's HTTP parser, no faster than it is answered.
 *
 * Node parses all that it reads at once: 64 KB hold thousands of requests, each of which takes
 * some kilobytes, and as many more are read while none is answered. Here the connection's input
 * is parsed in parts, and no further request is begun while some are unanswered.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { measureSlice } from './input-slice.js';
import { InputConsumer, maxCostPerRead } from './input-turns.js';
import type { InputTurns } from './input-turns.js';

/**
 * Input that a connection may hold and still be read. It has to be read for the instance to
 * learn that its caller has gone.
 */
const maxHeldBytesToRead = 16 * 1024;

/**
 * Bytes of an answered request that are still read, so that the caller gets the answer. More
 * than a body may have at any interface.
 */
const maxDiscardedBytes = 16 * 1024 * 1024;

/**
 * Unanswered requests of a connection from which no other one is begun. The head of a second
 * one is parsed, as its time counts from its first byte.
 */
const maxUnansweredRequests = 2;

const noBytes = Buffer.alloc(0);

/** A socket of Node's HTTP server, with what that keeps there beside the public fields. */
interface HttpSocket extends Socket {
  /** True while the parser may not be given anything, as answers wait to be sent. */
  readonly _paused?: boolean;
}

/** What a {@link ConnectionInput} tells its server. */
export interface ConnectionObserver {
  /** Called when the bytes that the connection holds have changed. */
  readonly onHeldBytes: (input: ConnectionInput, change: number) => void;
  /** Called when the caller has sent something. */
  readonly onRead: (input: ConnectionInput) => void;
  /** Called when the connection begins to run a request, or has answered all of them. */
  readonly onBusy: (input: ConnectionInput) => void;
}

/** The input of one connection. */
export class ConnectionInput extends InputConsumer {
  readonly #parse: (bytes: Buffer) => void;
  #held: Buffer = noBytes;
  #message: IncomingMessage | undefined;
  #unansweredCount = 0;
  #discardedBytes = 0;
  /** True once the input is no longer the parser's. */
  #isReleased = false;

  /** Takes the place of the server's listener for data, which is the parser's. */
  constructor(
    readonly socket: Socket,
    private readonly turns: InputTurns,
    private readonly observer: ConnectionObserver,
  ) {
    super();
    const [parse] = socket.listeners('data');
    if (parse === undefined)
      throw new Error('the connection belongs to no HTTP server');
    this.#parse = parse as (bytes: Buffer) => void;
    socket.off('data', this.#parse);
    socket.on('readable', this.#read);
    // Both come once the parser may go on: answers were sent, or a body was read.
    socket.on('drain', this.#goOn);
    socket.on('resume', this.#goOn);
    socket.once('close', () => {
      this.#drop();
    });
  }

  /** Bytes of memory that input takes which waits to be parsed. */
  get heldBytes(): number {
    return this.#held.length === 0 ? 0 : this.#held.buffer.byteLength;
  }

  /** True if a whole request has been received and is not answered yet. */
  get isBusy(): boolean {
    return this.#unansweredCount > 0 && this.#message?.complete === true;
  }

  /** Counts a request until its response is closed. */
  addRequest(message: IncomingMessage, response: ServerResponse): void {
    this.#message = message;
    this.#unansweredCount += 1;
    this.#discardedBytes = 0;
    response.once('close', () => {
      this.#unansweredCount -= 1;
      this.observer.onBusy(this);
      this.#goOn();
    });
  }

  /** Closes the connection, with what it holds. */
  close(): void {
    this.#drop();
    this.socket.destroy();
  }

  /** Gives the connection up to another protocol, with what has not been parsed. */
  detach(): void {
    const { socket } = this;
    socket.off('readable', this.#read);
    socket.off('drain', this.#goOn);
    socket.off('resume', this.#goOn);
    const rest = this.#held;
    this.#drop();
    if (rest.length > 0) socket.unshift(rest);
    socket.on('data', () => {
      this.observer.onRead(this);
    });
  }

  override parseSome(): number {
    let cost = 0;
    // Nothing is read while something can be parsed, and all is read while nothing can.
    while (this.#canParse() || this.#fill()) {
      if (!this.#canParse()) continue;
      if (cost >= maxCostPerRead) {
        this.turns.add(this);
        break;
      }
      cost += this.#parseSlice();
    }
    return cost;
  }

  readonly #read = (): void => {
    this.parseSome();
  };

  readonly #goOn = (): void => {
    if (this.#canParse()) this.turns.add(this);
  };

  /** Reads what has arrived; false if there is nothing, or enough is held. */
  #fill(): boolean {
    if (this.#isReleased || this.#held.length >= maxHeldBytesToRead)
      return false;
    const bytes = this.socket.read() as Buffer | null;
    if (bytes === null) return false;
    this.observer.onRead(this);
    if (this.socket.writable)
      this.#hold(
        this.#held.length === 0 ? bytes : Buffer.concat([this.#held, bytes]),
      );
    else this.#countDiscarded(bytes.length);
    return true;
  }

  #canParse(): boolean {
    const { writable, writableNeedDrain, _paused } = this.socket as HttpSocket;
    if (this.#held.length === 0 || !writable) return false;
    if (writableNeedDrain || _paused === true) return false;
    const message = this.#message;
    if (message?.complete === false)
      return message.readableLength < message.readableHighWaterMark;
    return this.#unansweredCount < maxUnansweredRequests;
  }

  #parseSlice(): number {
    const { length, cost } = measureSlice(this.#held);
    const slice = this.#held.subarray(0, length);
    this.#hold(this.#held.subarray(length));
    const wasBusy = this.isBusy;
    if (this.#message?.complete === false && this.#unansweredCount === 0)
      this.#countDiscarded(length);
    this.#parse.call(this.socket, slice);
    if (this.isBusy !== wasBusy) this.observer.onBusy(this);
    return cost;
  }

  /** Closes a connection whose caller goes on sending what is not needed. */
  #countDiscarded(bytes: number): void {
    this.#discardedBytes += bytes;
    if (this.#discardedBytes > maxDiscardedBytes) this.socket.destroy();
  }

  #hold(bytes: Buffer): void {
    const { heldBytes } = this;
    this.#held = bytes.length === 0 ? noBytes : bytes;
    const change = this.heldBytes - heldBytes;
    if (change !== 0) this.observer.onHeldBytes(this, change);
  }

  #drop(): void {
    this.#isReleased = true;
    this.turns.remove(this);
    this.#hold(noBytes);
  }
}
