/** Small HTTP servers: readiness for the load balancer, metrics for operators. */
import type { Server, ServerResponse } from 'node:http';

import { closeHttpServer, openHttpServer } from './http-listener.js';

/** What an endpoint answers. */
interface StatusAnswer {
  readonly status: number;
  readonly type: string;
  readonly text: string;
}

/** A path and the function that creates its response. */
export interface StatusEndpoint {
  readonly path: string;
  readonly answer: () => Promise<StatusAnswer>;
}

/** Load balancers and scrapers come again on the same connection within this time. */
const keepAliveTimeoutMs = 72_000;

const notFound: StatusAnswer = {
  status: 404,
  type: 'text/plain',
  text: 'not found',
};

const sendAnswer = (
  response: ServerResponse,
  { status, type, text }: StatusAnswer,
): void => {
  response.writeHead(status, {
    'content-type': type,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

/** Serves a fixed set of paths over HTTP. */
export class StatusServer {
  private constructor(private readonly server: Server) {}

  /** Creates the server and starts listening. */
  static async open(
    host: string,
    port: number,
    endpoints: readonly StatusEndpoint[],
  ): Promise<StatusServer> {
    const server = await openHttpServer({
      host,
      port,
      serverOptions: { keepAliveTimeout: keepAliveTimeoutMs },
      onRequest: ({ method, url = '' }, response) => {
        const [path] = url.split('?');
        const endpoint =
          method === 'GET' || method === 'HEAD'
            ? endpoints.find(({ path: known }) => known === path)
            : undefined;
        (endpoint?.answer() ?? Promise.resolve(notFound)).then(
          answer => {
            sendAnswer(response, answer);
          },
          () => {
            response.destroy();
          },
        );
      },
    });
    return new StatusServer(server);
  }

  async close(): Promise<void> {
    const closed = closeHttpServer(this.server);
    this.server.closeAllConnections();
    await closed;
  }
}
