/** Small HTTP interfaces: readiness for the balancer, metrics for operators. */
import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';

/** One path with its answer. */
export interface StatusEndpoint {
  readonly path: string;
  readonly answer: () => Promise<{
    readonly status: number;
    readonly type: string;
    readonly text: string;
  }>;
}

export class StatusServer {
  readonly #fastify: FastifyInstance;

  private constructor(fastify: FastifyInstance) {
    this.#fastify = fastify;
  }

  static async open(
    host: string,
    port: number,
    pages: readonly StatusEndpoint[],
  ): Promise<StatusServer> {
    const fastify = Fastify({ forceCloseConnections: true });
    for (const { path, answer } of pages) {
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
