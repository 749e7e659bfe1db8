/** Decides on connections of callers what is run, and when. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface Connection {
  /** Response to the latest request. */
  response: ServerResponse | undefined;
}

const waitForClose = (response: ServerResponse): Promise<void> =>
  new Promise(resolve => {
    response.once('close', resolve);
  });

/** Lets each connection run one request at a time, as long as it can be answered. */
export class CallerConnections {
  readonly #connections = new WeakMap<Socket, Connection>();

  /**
   * Resolves to true once the requests before it on the connection have been answered, and
   * to false if the request may not run because its answer can't be sent.
   */
  admitRequest(
    { socket }: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> | boolean {
    const connection = this.#getConnection(socket);
    const isAdmitted = () => socket.writable;
    if (!isAdmitted()) return false;
    const { response: previous } = connection;
    connection.response = response;
    return previous === undefined || previous.closed
      ? true
      : waitForClose(previous).then(isAdmitted);
  }

  #getConnection(socket: Socket): Connection {
    const existing = this.#connections.get(socket);
    if (existing !== undefined) return existing;
    const connection: Connection = { response: undefined };
    this.#connections.set(socket, connection);
    return connection;
  }
}
