/**
 * HTTP server functions that the simulated platform, engine and service share.
 */
import type { AddressInfo, Socket } from 'node:net';

import { Failure } from '@medlarlever/core';
import { fastify } from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';

/** Largest request body that a simulated server accepts. */
const maxBodyBytes = 64 * 1024 * 1024;

/**
 * The open connections of a server. A silent connection gets no answers any
 * more.
 */
export class ConnectionRegistry {
  readonly #openSockets = new Set<Socket>();
  readonly #silentSockets = new WeakSet<Socket>();

  /** Tracks a new connection until it closes. */
  addSocket(socket: Socket): void {
    this.#openSockets.add(socket);
    socket.once('close', () => this.#openSockets.delete(socket));
  }

  /** Makes every open connection except one silent; new connections work. */
  silenceOthers(exemptSocket: Socket): void {
    for (const socket of this.#openSockets) {
      if (socket !== exemptSocket) this.#silentSockets.add(socket);
    }
  }

  isSilent(socket: Socket): boolean {
    return this.#silentSockets.has(socket);
  }

  /** Closes every open connection. */
  destroyAll(): void {
    for (const socket of this.#openSockets) socket.destroy();
  }
}

/** An HTTP server and its connections. */
export interface FakeServer {
  readonly app: FastifyInstance;
  readonly connections: ConnectionRegistry;
}

/** Creates a server that answers no request on a silent connection. */
export const createFakeServer = (): FakeServer => {
  const app = fastify({
    bodyLimit: maxBodyBytes,
    forceCloseConnections: true,
    keepAliveTimeout: 60_000,
  });
  const connections = new ConnectionRegistry();
  app.server.on('connection', socket => {
    connections.addSocket(socket);
  });
  app.addHook('onRequest', (request, _reply, done) => {
    if (!connections.isSilent(request.raw.socket)) done();
  });
  app.addHook('onSend', (request, _reply, payload, done) => {
    if (!connections.isSilent(request.raw.socket)) done(null, payload);
  });
  app.get('/health', () => ({ ok: true }));
  return { app, connections };
};

/** Sends a failure, with `X-Executed: no` only when nothing was executed. */
export const sendFailure = (
  reply: FastifyReply,
  failure: Failure,
): FastifyReply => {
  if (failure.executed === 'no') void reply.header('x-executed', 'no');
  const status = failure.code === 'target_rejected' ? 503 : failure.status;
  return reply.status(status).send(failure.toBody());
};

/**
 * Leaves a request unanswered; rejects when the caller closes the connection.
 */
export const holdUntilDisconnect = (request: FastifyRequest): Promise<never> =>
  new Promise((_resolve, reject) => {
    request.raw.once('close', () => {
      reject(new Failure('caller_gone', 'the caller closed the connection'));
    });
  });

/**
 * Listens on the host and port and returns the address as `host:port`; port 0
 * picks a free port.
 */
export const listen = async (
  app: FastifyInstance,
  host: string,
  port: number,
): Promise<string> => {
  await app.listen({ host, port });
  const address = app.server.address() as AddressInfo;
  return `${host}:${address.port}`;
};
