/** Opens and closes servers of `node:http`, and reads bodies of a bounded length. */
import { createServer } from 'node:http';
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerOptions,
} from 'node:http';

/** Address and settings of a server. */
export interface HttpListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly onRequest: RequestListener;
  readonly serverOptions?: ServerOptions;
  /** Number of connections that may wait to be accepted. */
  readonly backlog?: number;
}

/** Creates a server; resolves once it listens. */
export const openHttpServer = async ({
  host,
  port,
  onRequest,
  serverOptions = {},
  backlog,
}: HttpListenerOptions): Promise<Server> => {
  const server = createServer(serverOptions, onRequest);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog }, () => {
      server.off('error', reject);
      resolve();
    });
  });
  return server;
};

/** Stops listening; resolves when all connections have ended. */
export const closeHttpServer = (server: Server): Promise<void> =>
  new Promise(resolve => {
    server.close(() => {
      resolve();
    });
    server.closeIdleConnections();
  });

/** Reads a body; resolves to undefined if it is longer than `maxBytes`. */
export const readBoundedBody = (
  message: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve(undefined);
      else chunks.push(chunk);
    });
    message.once('end', () => {
      const [first] = chunks;
      resolve(
        first !== undefined && chunks.length === 1
          ? first
          : Buffer.concat(chunks),
      );
    });
    message.once('error', reject);
  });
