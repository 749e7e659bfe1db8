/** What the HTTP stand-ins have in common. */
import type { AddressInfo, Socket } from 'node:net';

import { Failure } from '@medlarlever/core';
import { fastify } from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';

const maxBodyBytes = 64 * 1024 * 1024;

/** Open connections, which a fault can make silent for good. */
export class Connections {
  readonly #open = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();

  add(socket: Socket): void {
    this.#open.add(socket);
    socket.once('close', () => this.#open.delete(socket));
  }

  /** Every other open connection goes silent; new ones work. */
  silence(except: Socket): void {
    for (const socket of this.#open) {
      if (socket !== except) this.#silent.add(socket);
    }
  }

  isSilent(socket: Socket): boolean {
    return this.#silent.has(socket);
  }

  destroy(): void {
    for (const socket of this.#open) socket.destroy();
  }
}

export interface StandInServer {
  readonly app: FastifyInstance;
  readonly connections: Connections;
}

/** A server whose silent connections are never answered. */
export const createServer = (): StandInServer => {
  const app = fastify({
    bodyLimit: maxBodyBytes,
    forceCloseConnections: true,
    keepAliveTimeout: 60_000,
  });
  const connections = new Connections();
  app.server.on('connection', socket => {
    connections.add(socket);
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
export const neverAnswer = (request: FastifyRequest): Promise<never> =>
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
