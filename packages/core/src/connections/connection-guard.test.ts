/** Node's server behind the guard, with clients on raw sockets. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

import test from 'ava';
import type { ExecutionContext } from 'ava';

import { ConnectionGuard } from './connection-guard.js';
import type { ConnectionLimit } from './connection-guard.js';

interface Request {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

interface ServerOptions {
  readonly maxConnections?: number;
  readonly maxHeldBytes?: number;
  readonly acceptsUpgrades?: boolean;
}

/** Starts a server that keeps its requests until the test answers them. */
const startServer = async (
  t: ExecutionContext,
  {
    maxConnections = 100,
    maxHeldBytes = 1_000_000,
    acceptsUpgrades = false,
  }: ServerOptions = {},
) => {
  const requests: Request[] = [];
  const reached: ConnectionLimit[] = [];
  const upgraded: string[] = [];
  const guard = new ConnectionGuard({
    getMaxConnections: () => maxConnections,
    getMaxHeldBytes: () => maxHeldBytes,
    onLimit: limit => reached.push(limit),
  });
  const server = createServer((message, response) => {
    requests.push({ message, response });
  });
  if (acceptsUpgrades)
    server.on('upgrade', (_message, socket: Socket, head: Buffer) => {
      socket.unshift(head);
      socket.on('data', chunk => upgraded.push(chunk.toString()));
    });
  guard.watch(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const open = async () => {
    const socket = connect(port, '127.0.0.1');
    t.teardown(() => socket.destroy());
    const received = { text: '', isClosed: false };
    socket.on('data', chunk => (received.text += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => (received.isClosed = true));
    await once(socket, 'connect');
    return { socket, received };
  };
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return { guard, requests, reached, upgraded, open };
};

const waitFor = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await nextTurn();
};

const head = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

// Guards against thousands of requests that are made from what one read has brought.
test('of many requests sent ahead only two are begun, and all are answered in turn', async t => {
  const { requests, open } = await startServer(t);
  const { socket, received } = await open();
  const paths = Array.from({ length: 50 }, (_, i) => `/${i}`);
  socket.write(paths.map(head).join(''));
  for (const [i, path] of paths.entries()) {
    await waitFor(() => requests.length > i);
    t.true(requests.length <= i + 2);
    requests[i]?.response.end(path);
  }
  await waitFor(() => received.text.endsWith('/49'));
  t.deepEqual(
    requests.map(({ message }) => message.url),
    paths,
  );
});

// Guards against a caller whose leaving is not noticed while its request runs.
test('a caller that leaves behind a running request is noticed', async t => {
  const { requests, open } = await startServer(t);
  const { socket } = await open();
  socket.write(head('/1') + head('/2') + head('/3'));
  await waitFor(() => requests.length > 0);
  socket.destroy();
  await waitFor(() => requests[0]?.response.closed === true);
  t.pass();
});

test('a body that is not read does not hold up the others', async t => {
  const { requests, open } = await startServer(t);
  const slow = await open();
  slow.socket.write(
    'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n',
  );
  slow.socket.write(Buffer.alloc(900_000, 'x'));
  await waitFor(() => requests.length === 1);
  const other = await open();
  other.socket.write(head('/other'));
  await waitFor(() => requests.length === 2);
  let length = 0;
  requests[0]?.message.on('data', (chunk: Buffer) => (length += chunk.length));
  await waitFor(() => length === 900_000);
  t.is(requests[0]?.message.complete, true);
});

test('a body in chunks of one byte arrives whole', async t => {
  const { requests, open } = await startServer(t);
  const { socket } = await open();
  socket.write(
    'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  socket.write(Buffer.alloc(6 * 20_000, '1\r\nx\r\n'));
  socket.write('0\r\n\r\n');
  await waitFor(() => requests.length === 1);
  let length = 0;
  requests[0]?.message.on('data', (chunk: Buffer) => (length += chunk.length));
  await once(requests[0]?.message ?? socket, 'end');
  t.is(length, 20_000);
});

// Guards against a limit of the process that lets a crowd shut out all others.
test('a new connection takes the place of the one that is idle for longest', async t => {
  const { requests, reached, open } = await startServer(t, {
    maxConnections: 3,
  });
  const busy = await open();
  busy.socket.write(head('/busy'));
  await waitFor(() => requests.length === 1);
  const first = await open();
  const second = await open();
  const third = await open();
  await waitFor(() => first.received.isClosed);
  third.socket.write(head('/third'));
  await waitFor(() => requests.length === 2);
  t.false(busy.received.isClosed);
  t.false(second.received.isClosed);
  t.deepEqual(reached, ['connections']);
});

test('a connection is refused while requests run on all others', async t => {
  const { requests, open } = await startServer(t, { maxConnections: 1 });
  const busy = await open();
  busy.socket.write(head('/busy'));
  await waitFor(() => requests.length === 1);
  const { received } = await open();
  await waitFor(() => received.isClosed);
  t.false(busy.received.isClosed);
});

test('the connection that holds most is closed when all hold too much', async t => {
  const { guard, requests, reached, open } = await startServer(t, {
    maxHeldBytes: 40_000,
  });
  const modest = await open();
  modest.socket.write(head('/1').repeat(4));
  await waitFor(() => guard.heldBytes > 0);
  const greedy = await open();
  greedy.socket.write(head('/2').repeat(5_000));
  await waitFor(() => greedy.received.isClosed);
  t.true(guard.heldBytes <= 40_000);
  t.deepEqual(reached, ['input']);
  requests[0]?.response.end('1');
  await waitFor(() => modest.received.text.endsWith('1'));
  t.false(modest.received.isClosed);
});

test('what follows the request for another protocol is passed on to it', async t => {
  const { upgraded, open } = await startServer(t, { acceptsUpgrades: true });
  const { socket } = await open();
  socket.write(
    'GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: lines\r\n\r\n' +
      'first\n\nsecond\n',
  );
  await waitFor(() => upgraded.join('').includes('second'));
  socket.write('third\n');
  await waitFor(() => upgraded.join('').includes('third'));
  t.is(upgraded.join(''), 'first\n\nsecond\nthird\n');
});
