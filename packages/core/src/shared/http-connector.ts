/** Connector for undici's clients whose sockets are {@link HttpSocket}s. */
import { buildConnector, errors } from 'undici';

import { HttpSocket } from './http-socket.js';
import { startReadFirstTimeout } from './read-first-timeout.js';

/** Port of a URL that names none. */
const defaultPort = 80;

/** Milliseconds without data after which the kernel checks that the other side lives. */
const keepAliveDelayMs = 60_000;

/** Options of {@link createHttpConnector}. */
export interface HttpConnectorOptions {
  /** Milliseconds after which a connection attempt has failed. */
  readonly connectTimeoutMs: number;
  /** False if the kernel does not check idle connections; true by default. */
  readonly keepsAlive?: boolean;
  /** Called with each new connection. */
  readonly onConnect?: (socket: HttpSocket) => void;
}

const openSocket = (
  { hostname, port }: buildConnector.Options,
  { connectTimeoutMs, keepsAlive = true, onConnect }: HttpConnectorOptions,
  callback: buildConnector.Callback,
): void => {
  const socket = new HttpSocket();
  const cancelTimeout = startReadFirstTimeout(() => {
    const reason = `no connection to ${hostname}:${port} within ${connectTimeoutMs} ms`;
    socket.destroy(new errors.ConnectTimeoutError(reason));
  }, connectTimeoutMs);
  const onFailure = (error: Error) => {
    cancelTimeout();
    callback(error, null);
  };
  socket.once('error', onFailure);
  socket.once('connect', () => {
    cancelTimeout();
    socket.off('error', onFailure);
    onConnect?.(socket);
    callback(null, socket);
  });
  socket.setNoDelay(true);
  if (keepsAlive) socket.setKeepAlive(true, keepAliveDelayMs);
  socket.connect({ host: hostname, port: Number(port || defaultPort) });
};

/** Creates a connector; connections over TLS are undici's own. */
export const createHttpConnector =
  (options: HttpConnectorOptions): buildConnector.connector =>
  (target, callback) => {
    if (target.protocol === 'https:') {
      const connectTls = buildConnector({ timeout: options.connectTimeoutMs });
      connectTls(target, callback);
      return;
    }
    openSocket(target, options, callback);
  };
