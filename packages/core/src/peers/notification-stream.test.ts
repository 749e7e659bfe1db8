/** Streams of notifications between two instances, over sockets. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import test from 'ava';
import type { ExecutionContext } from 'ava';

import { JsonRpcPeer } from './json-rpc-peer.js';
import { NotificationServer } from './notification-server.js';
import {
  notificationPath,
  notificationProtocol,
} from './notification-stream.js';

interface Received {
  readonly value: unknown;
  readonly way: 'stream' | 'post';
  readonly from: string;
}

/** Starts an instance that receives notifications, by streams unless it knows none. */
const startReceiver = async (t: ExecutionContext, knowsStreams = true) => {
  const received: Received[] = [];
  const malformedFrom: string[] = [];
  const sockets = new Set<Socket>();
  const server: Server = createServer((request, response) => {
    let text = '';
    request.on('data', (chunk: Buffer) => (text += chunk.toString()));
    request.on('end', () => {
      if (request.method === 'POST') {
        const { params } = JSON.parse(text) as { params: unknown };
        const from = String(request.headers['x-instance']);
        received.push({ value: params, way: 'post', from });
      }
      response.writeHead(request.method === 'POST' ? 204 : 404).end();
    });
  });
  server.on('connection', socket => {
    sockets.add(socket);
  });
  const notifications = knowsStreams
    ? new NotificationServer({
        server,
        identifySender: ({ headers }) =>
          headers.authorization === 'Bearer secret'
            ? String(headers['x-instance'])
            : undefined,
        onNotification: ({ params }, from) =>
          received.push({ value: params, way: 'stream', from }),
        onMalformed: from => malformedFrom.push(from),
      })
    : undefined;
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    notifications?.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { received, malformedFrom, sockets, notifications, port };
};

const createPeer = (t: ExecutionContext, port: number, secret = 'secret') => {
  const peer = new JsonRpcPeer({
    name: 'b',
    dataCenter: 'a',
    incarnation: '1',
    address: `127.0.0.1:${port}`,
    secret,
    self: 'one',
  });
  t.teardown(() => peer.close());
  return peer;
};

/** Sends numbers until the condition holds; returns how many were sent. */
const sendUntil = async (
  peer: JsonRpcPeer,
  holds: () => boolean,
  first = 0,
): Promise<number> => {
  let count = first;
  while (!holds() && count < first + 400) {
    peer.sendNotification('news', [count]);
    count += 1;
    await pause(10);
  }
  return count;
};

const listWays = (received: readonly Received[]) =>
  new Set(received.map(({ way }) => way));

test('frequent notifications go over one connection, each of them once', async t => {
  const { received, sockets, port } = await startReceiver(t);
  const peer = createPeer(t, port);
  const isStreaming = () => received.some(({ way }) => way === 'stream');
  const early = await sendUntil(peer, isStreaming);
  const connectionCount = sockets.size;
  for (let i = early; i < early + 200; i += 1)
    peer.sendNotification('news', [i]);
  while (received.length < early + 200) await pause(1);
  await pause(200);
  t.is(sockets.size, connectionCount);
  const values = received.map(({ value }) => (value as number[])[0]);
  t.deepEqual(
    [...values].sort((a = 0, b = 0) => a - b),
    Array.from({ length: early + 200 }, (_, i) => i),
  );
  t.true(received.every(({ from }) => from === 'one'));
  // An earlier one, which came in a request of its own, may arrive among them.
  const frequent = received.filter(
    ({ value }) => ((value as number[])[0] ?? 0) >= early,
  );
  t.is(frequent.length, 200);
  t.true(frequent.every(({ way }) => way === 'stream'));
});

test('a peer that knows no streams, or refuses this sender, gets single requests', async t => {
  for (const [knowsStreams, secret] of [
    [false, 'secret'],
    [true, 'wrong'],
  ] as const) {
    const { received, port } = await startReceiver(t, knowsStreams);
    const peer = createPeer(t, port, secret);
    await sendUntil(peer, () => received.length >= 20);
    t.deepEqual([...listWays(received)], ['post']);
  }
});

// Between two machines a connection can go silent without a reset, while new ones work.
test('notifications on a silent connection are noticed as unread, and go on elsewhere', async t => {
  const { received, sockets, port } = await startReceiver(t);
  const peer = createPeer(t, port);
  const isStreaming = () => received.some(({ way }) => way === 'stream');
  const early = await sendUntil(peer, isStreaming);
  for (const socket of sockets) socket.removeAllListeners('data').pause();
  const countBefore = received.length;
  await sendUntil(peer, () => received.length > countBefore + 5, early);
  t.true(received.length > countBefore + 5);
});

test('a receiver that ends its streams is sent to again', async t => {
  const { received, notifications, port } = await startReceiver(t);
  const peer = createPeer(t, port);
  const countStreamed = () =>
    received.filter(({ way }) => way === 'stream').length;
  const early = await sendUntil(peer, () => countStreamed() > 0);
  notifications?.close();
  await pause(50);
  const before = countStreamed();
  await sendUntil(peer, () => countStreamed() > before, early);
  t.true(countStreamed() > before);
});

const upgradeRequest =
  `GET ${notificationPath} HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n` +
  `upgrade: ${notificationProtocol}\r\nauthorization: Bearer secret\r\nx-instance: two\r\n\r\n`;

// Guards against lines that are lost because they are read together with the request.
test('a line that arrives with the request for the stream is read', async t => {
  const { malformedFrom, port } = await startReceiver(t);
  const socket = connect(port, '127.0.0.1');
  const ended = new Promise(resolve => socket.once('close', resolve));
  socket.on('error', () => undefined).resume();
  socket.write(`${upgradeRequest}null\n`);
  await ended;
  t.deepEqual(malformedFrom, ['two']);
});

test('a malformed line ends its own stream only', async t => {
  for (const line of ['{"jsonrpc":', 'null', '[1]', '{"id":1}', '\u0000']) {
    const { received, malformedFrom, port } = await startReceiver(t);
    const socket = connect(port, '127.0.0.1');
    const ended = new Promise(resolve => socket.once('close', resolve));
    socket.on('error', () => undefined).resume();
    socket.write(upgradeRequest);
    await pause(50);
    socket.write(`${line}\n`);
    await ended;
    t.deepEqual(malformedFrom, ['two']);
    const peer = createPeer(t, port);
    await sendUntil(peer, () => received.length > 0);
    t.true(received.length > 0);
  }
});
