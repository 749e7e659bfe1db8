/** Tests the fault proxy with an echo server. */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import test from 'ava';
import type { ExecutionContext } from 'ava';

import { FaultProxy } from './fault-proxy.js';

/** Starts an echo server behind a proxy and connects a client to the proxy. */
const startProxy = async (t: ExecutionContext) => {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const proxy = await FaultProxy.start(`127.0.0.1:${port}`);
  t.teardown(async () => {
    await proxy.stop();
    server.close();
  });
  const client = connect(Number(proxy.address.split(':')[1]), '127.0.0.1');
  client.on('error', () => undefined);
  t.teardown(() => client.destroy());
  await once(client, 'connect');
  return { proxy, client };
};

const readChunk = async (socket: Socket): Promise<string> => {
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  return chunk.toString();
};

/** Waits for enough turns of the event loop for data in transit to arrive. */
const flushPendingData = async (): Promise<void> => {
  for (let i = 0; i < 50; i += 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
};

test('bytes pass in both directions', async t => {
  const { client } = await startProxy(t);
  client.write('hello');
  t.is(await readChunk(client), 'hello');
});

test('a silenced direction holds bytes back and delivers them afterwards', async t => {
  const { proxy, client } = await startProxy(t);
  client.write('one');
  await readChunk(client);
  proxy.setSilencedDirection('from target');
  let seen = '';
  client.on('data', chunk => {
    seen += String(chunk);
  });
  client.write('two');
  await flushPendingData();
  t.is(seen, '');
  t.false(client.destroyed);
  const arrived = readChunk(client);
  proxy.setSilencedDirection('none');
  t.is(await arrived, 'two');
});

test('a reset closes the connection of the client with ECONNRESET', async t => {
  const { proxy, client } = await startProxy(t);
  client.write('one');
  await readChunk(client);
  const failed = once(client, 'error') as Promise<[NodeJS.ErrnoException]>;
  proxy.resetConnections();
  const [error] = await failed;
  t.is(error.code, 'ECONNRESET');
});

test('closing one side of a connection closes the other side', async t => {
  const { client } = await startProxy(t);
  client.end('last');
  t.is(await readChunk(client), 'last');
  await once(client, 'close');
  t.pass();
});

test('a proxy that refuses connections keeps the open ones', async t => {
  const { proxy, client } = await startProxy(t);
  client.write('one');
  await readChunk(client);
  await proxy.refuseConnections();
  const second = connect(Number(proxy.address.split(':')[1]), '127.0.0.1');
  const [error] = (await once(second, 'error')) as [NodeJS.ErrnoException];
  t.is(error.code, 'ECONNREFUSED');
  client.write('two');
  t.is(await readChunk(client), 'two');
  await proxy.acceptConnections();
  const third = connect(Number(proxy.address.split(':')[1]), '127.0.0.1');
  await once(third, 'connect');
  third.destroy();
  t.pass();
});

/** First of the ports that common operating systems assign to outgoing connections. */
const firstEphemeralPort = 32_768;

// Another program's connection had the port when a proxy was to listen on it again.
test('a proxy listens on a port that no outgoing connection is assigned', async t => {
  const { proxy } = await startProxy(t);
  t.true(Number(proxy.address.split(':')[1]) < firstEphemeralPort);
});
