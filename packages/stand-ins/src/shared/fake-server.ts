/** What the HTTP stand-ins have in common. */
import type { AddressInfo, Socket } from 'node:net';

import { Failure } from '@medlarlever/core';
import { fastify } from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';

const maxBodyBytes = 64 * 1024 * 1024;

/** Open connections, which a fault can make silent for good. */
export class ConnectionRegistry {
  readonly #openSockets = new Set<Socket>();
  readonly #silentSockets = new WeakSet<Socket>();

  addSocket(socket: Socket): void {
    this.#openSockets.add(socket);
    socket.once('close', () => this.#openSockets.delete(socket));
  }

  /** Every other open connection goes silent; new ones work. */
  silenceOthers(except: Socket): void {
    for (const socket of this.#openSockets) {
      if (socket !== except) this.#silentSockets.add(socket);
    }
  }

  isSilent(socket: Socket): boolean {
    return this.#silentSockets.has(socket);
  }

  destroyAll(): void {
    for (const socket of this.#openSockets) socket.destroy();
  }
}

export interface FakeServer {
  readonly app: FastifyInstance;
  readonly connections: ConnectionRegistry;
}

/** A server whose silent connections are never answered. */
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

/** Answers with a failure; `X-Executed: no` only when nothing was run. */
export const sendFailure = (
  reply: FastifyReply,
  failure: Failure,
): FastifyReply => {
  if (failure.executed === 'no') void reply.header('x-executed', 'no');
  const status = failure.code === 'target_rejected' ? 503 : failure.status;
  return reply.status(status).send(failure.toBody());
};

/** Keeps a request without an answer for good. */
export const holdUntilDisconnect = (request: FastifyRequest): Promise<never> =>
  new Promise((_resolve, reject) => {
    request.raw.once('close', () => {
      reject(new Failure('caller_gone', 'the caller closed the connection'));
    });
  });

/** Listens and gives the address as `host:port`. */
export const listen = async (
  app: FastifyInstance,
  host: string,
  port: number,
): Promise<string> => {
  await app.listen({ host, port });
  const address = app.server.address() as AddressInfo;
  return `${host}:${address.port}`;
};
