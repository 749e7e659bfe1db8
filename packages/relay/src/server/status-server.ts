/** Small HTTP servers: readiness for the load balancer, metrics for operators. */
import type { ConnectionGuard } from '@medlarlever/core';
import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';

import { noSchemaCompilers } from './no-schema-compilers.js';

/** A path and the function that creates its response. */
export interface StatusEndpoint {
  readonly path: string;
  readonly answer: () => Promise<{
    readonly status: number;
    readonly type: string;
    readonly text: string;
  }>;
}

/** Serves a fixed set of paths over HTTP. */
export class StatusServer {
  readonly #fastify: FastifyInstance;

  private constructor(fastify: FastifyInstance) {
    this.#fastify = fastify;
  }

  /** Creates the server and starts listening. */
  static async open(
    host: string,
    port: number,
    endpoints: readonly StatusEndpoint[],
    guard: ConnectionGuard,
  ): Promise<StatusServer> {
    const fastify = Fastify({
      forceCloseConnections: true,
      schemaController: noSchemaCompilers,
    });
    // Bodies say nothing here, and are not kept.
    fastify.removeAllContentTypeParsers();
    guard.watch(fastify.server);
    for (const { path, answer } of endpoints) {
      fastify.get(path, async (_request, reply) => {
        const { status, type, text } = await answer();
        return reply.status(status).type(type).send(text);
      });
    }
    await fastify.listen({ host, port });
    return new StatusServer(fastify);
  }

  async close(): Promise<void> {
    await this.#fastify.close();
  }
}
