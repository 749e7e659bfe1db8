/** Receives the notifications that peers send as lines on one connection each. */
import type { IncomingMessage, Server } from 'node:http';
import type { Duplex } from 'node:stream';
import { StringDecoder } from 'node:string_decoder';

import { isJSONRPCRequest } from 'json-rpc-2.0';
import type { JSONRPCRequest } from 'json-rpc-2.0';

import {
  acknowledgementDelayMs,
  notificationPath,
  notificationProtocol,
} from './notification-stream.js';

/** Longest notification; the connection of a longer one is closed. */
const maxLineLength = 4 * 1024 * 1024;

/** Characters of the unfinished lines of all streams together. */
const maxPendingLength = 16 * 1024 * 1024;

/** An open stream without a notification for this long is closed. */
const idleTimeoutMs = 35_000;

/** Dependencies of {@link NotificationServer}. */
export interface NotificationServerOptions {
  readonly server: Server;
  /** Returns the name of the sender; undefined if the request may not open a stream. */
  readonly identifySender: (request: IncomingMessage) => string | undefined;
  /** Runs a notification; must not throw. */
  readonly onNotification: (notification: JSONRPCRequest, from: string) => void;
  /** Called when a stream is closed because a line is no notification. */
  readonly onMalformed: (from: string) => void;
}

/** Accepts streams of notifications at an HTTP server. */
export class NotificationServer {
  readonly #sockets = new Set<Duplex>();
  /** Characters of unfinished lines, by stream. */
  readonly #pendingLengths = new Map<Duplex, number>();
  #pendingLength = 0;

  constructor(private readonly options: NotificationServerOptions) {
    options.server.on(
      'upgrade',
      (request: IncomingMessage, socket: Duplex, head: Buffer) => {
        // Lines that were read together with the request.
        socket.unshift(head);
        this.#accept(request, socket);
      },
    );
  }

  /** Closes all streams; the HTTP server does not know them any more. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(request: IncomingMessage, socket: Duplex): void {
    socket.on('error', () => {
      socket.destroy();
    });
    const from = this.options.identifySender(request);
    const isKnown =
      request.url === notificationPath &&
      request.headers.upgrade === notificationProtocol;
    if (!isKnown || from === undefined) {
      socket.end('HTTP/1.1 403 Forbidden\r\ncontent-length: 0\r\n\r\n');
      return;
    }
    socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: ${notificationProtocol}\r\n\r\n`,
    );
    this.#receive(socket, from);
  }

  #receive(socket: Duplex, from: string): void {
    this.#sockets.add(socket);
    const decoder = new StringDecoder('utf8');
    let pendingText = '';
    let acknowledgement: NodeJS.Timeout | undefined;
    let idleTimer: NodeJS.Timeout | undefined;
    const closeWhenIdle = () => {
      clearTimeout(idleTimer);
      idleTimer = setTimeout(() => {
        socket.destroy();
      }, idleTimeoutMs);
      idleTimer.unref();
    };
    const acknowledge = () => {
      acknowledgement = undefined;
      closeWhenIdle();
      if (!socket.destroyed) socket.write('\n');
    };
    closeWhenIdle();
    socket.on('data', (chunk: Buffer) => {
      acknowledgement ??= setTimeout(acknowledge, acknowledgementDelayMs);
      const lines = (pendingText + decoder.write(chunk)).split('\n');
      pendingText = lines.pop() ?? '';
      const isWellFormed = lines.every(line => this.#run(line, from));
      this.#countPending(socket, pendingText.length);
      if (isWellFormed && pendingText.length <= maxLineLength) return;
      this.options.onMalformed(from);
      socket.destroy();
    });
    socket.on('end', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(acknowledgement);
      clearTimeout(idleTimer);
      this.#sockets.delete(socket);
      this.#countPending(socket, 0);
    });
  }

  /** Closes the streams with the longest lines while all of them are too long together. */
  #countPending(socket: Duplex, length: number): void {
    this.#pendingLength += length - (this.#pendingLengths.get(socket) ?? 0);
    if (length === 0) this.#pendingLengths.delete(socket);
    else this.#pendingLengths.set(socket, length);
    while (this.#pendingLength > maxPendingLength) {
      const [longest] = [...this.#pendingLengths].reduce((a, b) =>
        b[1] > a[1] ? b : a,
      );
      longest.destroy();
      this.#countPending(longest, 0);
    }
  }

  /** Runs the notification; false if the line is none. */
  #run(line: string, from: string): boolean {
    let notification: unknown;
    try {
      notification = JSON.parse(line);
    } catch {
      return false;
    }
    // The library's check throws at null.
    if (typeof notification !== 'object' || notification === null) return false;
    if (!isJSONRPCRequest(notification) || notification.id !== undefined)
      return false;
    this.options.onNotification(notification, from);
    return true;
  }
}
