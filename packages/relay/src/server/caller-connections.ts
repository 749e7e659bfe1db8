/** Decides on connections of callers what is run, and which are refused or closed. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { waitForPendingReads } from '@medlarlever/core';

import { writeInvalidRequestResponse } from './invalid-request-response.js';

/**
 * Milliseconds for which a late head is still waited for. A head that the network held back
 * while the whole machine stood still is sent again within that time.
 */
const lateHeadGraceMs = 250;

/** Milliseconds that a caller has to read a refusal before its connection is closed. */
const refusalReadMs = 1_000;

/** Milliseconds that idle connections are kept longer than callers may use them. */
const idleReserveMs = 1_000;

const lateHeadCode = 'ERR_HTTP_REQUEST_TIMEOUT';

interface Connection {
  requestCount: number;
  unansweredCount: number;
  /** Latest request; the server may still be reading its body. */
  message: IncomingMessage | undefined;
  /** Response to the latest request. */
  response: ServerResponse | undefined;
  /** Time of the end of the latest response, on the monotonic clock. */
  idleSinceMs: number;
  /** True if nothing more may run on the connection. */
  isRefused: boolean;
}

/** True if an answer to what is being read can't be taken for that to an earlier request. */
const canAnswer = ({ message, unansweredCount }: Connection): boolean => {
  const isReadingBody = message?.complete === false;
  return unansweredCount <= (isReadingBody ? 1 : 0);
};

const waitForClose = (response: ServerResponse): Promise<void> =>
  new Promise(resolve => {
    response.once('close', resolve);
  });

/**
 * Keeps what Node's server does not: a connection runs one request at a time and nothing
 * more once it was refused, and deadlines count only after what came in time was read.
 */
export class CallerConnections {
  readonly #connections = new WeakMap<Socket, Connection>();

  /** Takes over the check of idle connections from the server, which would close them. */
  watchIdle(server: Pick<Server, 'on' | 'keepAliveTimeout'>): void {
    server.on('timeout', (socket: Socket) => {
      void this.#closeIfIdle(socket, server.keepAliveTimeout);
    });
  }

  /**
   * Resolves to true once the requests before it on the connection have been answered, and
   * to false if the request may not run because its answer can't be sent.
   */
  admitRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> | boolean {
    const { socket } = message;
    const connection = this.#getConnection(socket);
    const isAdmitted = () => socket.writable && !connection.isRefused;
    if (!isAdmitted()) return false;
    const { response: previous } = connection;
    this.#addRequest(connection, message, response);
    return previous === undefined || previous.closed
      ? true
      : waitForClose(previous).then(isAdmitted);
  }

  #addRequest(
    connection: Connection,
    message: IncomingMessage,
    response: ServerResponse,
  ): void {
    connection.requestCount += 1;
    connection.unansweredCount += 1;
    connection.message = message;
    connection.response = response;
    response.once('close', () => {
      connection.unansweredCount -= 1;
      connection.idleSinceMs = performance.now();
      if (connection.isRefused) message.socket.destroySoon();
    });
  }

  /** Refuses what is no valid request, or whose head has not come in time. */
  async handleInvalidRequest(
    error: Error & { readonly code?: string },
    socket: Socket,
  ): Promise<void> {
    const connection = this.#getConnection(socket);
    if (error.code === lateHeadCode) {
      const { requestCount } = connection;
      await waitForLateHead();
      if (connection.requestCount !== requestCount) return;
    }
    this.#refuse(socket, connection, error);
  }

  /** Answers if that can't be taken for the answer to another request, and closes. */
  #refuse(
    socket: Socket,
    connection: Connection,
    error: Error & { readonly code?: string },
  ): void {
    connection.isRefused = true;
    if (!canAnswer(connection) || !socket.writable) return;
    writeInvalidRequestResponse(error, socket);
    closeLater(socket);
  }

  async #closeIfIdle(socket: Socket, idleTimeoutMs: number): Promise<void> {
    const { bytesRead } = socket;
    await waitForPendingReads();
    if (socket.destroyed || socket.bytesRead !== bytesRead) return;
    const { idleSinceMs } = this.#getConnection(socket);
    const closesAtMs = idleSinceMs + idleTimeoutMs + idleReserveMs;
    const remainingMs = Math.ceil(closesAtMs - performance.now());
    // A newer configuration may have given idle connections more time.
    if (remainingMs > 0) socket.setTimeout(remainingMs);
    else socket.destroy();
  }

  #getConnection(socket: Socket): Connection {
    const existing = this.#connections.get(socket);
    if (existing !== undefined) return existing;
    const connection: Connection = {
      requestCount: 0,
      unansweredCount: 0,
      message: undefined,
      response: undefined,
      idleSinceMs: performance.now(),
      isRefused: false,
    };
    this.#connections.set(socket, connection);
    return connection;
  }
}

const waitForLateHead = async (): Promise<void> => {
  await new Promise(resolve => {
    setTimeout(resolve, lateHeadGraceMs).unref();
  });
  await waitForPendingReads();
};

/** Closes the connection even if the caller does not close its side. */
const closeLater = (socket: Socket): void => {
  const timer = setTimeout(() => socket.destroy(), refusalReadMs);
  timer.unref();
  socket.once('close', () => {
    clearTimeout(timer);
  });
};
