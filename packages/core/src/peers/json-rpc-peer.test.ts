import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import test from 'ava';
import type { ExecutionContext } from 'ava';

import { JsonRpcPeer } from './json-rpc-peer.js';

interface ReceivedCall {
  readonly method: string;
  readonly params: unknown;
  readonly id?: number;
}

/** Starts a peer that answers calls except those of the method `silent`. */
const startPeer = async (t: ExecutionContext) => {
  const received: ReceivedCall[] = [];
  const server = createServer((request, response) => {
    let text = '';
    request.on('data', (chunk: Buffer) => (text += chunk.toString()));
    request.on('end', () => {
      if (request.method !== 'POST') {
        // An instance of a version that knows no streams of notifications.
        response.writeHead(404).end();
        return;
      }
      const call = JSON.parse(text) as ReceivedCall;
      received.push(call);
      if (call.method === 'silent') return;
      if (call.id === undefined) response.writeHead(204).end();
      else if (call.method === 'refused') response.writeHead(500).end();
      else {
        const { id, params: result } = call;
        response.end(JSON.stringify({ jsonrpc: '2.0', id, result }));
      }
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { server, received, address: `127.0.0.1:${port}` };
};

const connect = (t: ExecutionContext, address: string): JsonRpcPeer => {
  const peer = new JsonRpcPeer({
    name: 'peer',
    dataCenter: 'a',
    incarnation: 'i',
    address,
    secret: '',
    self: 'self',
  });
  t.teardown(() => peer.close());
  return peer;
};

test('a call that is not answered in time fails, and the next one is answered', async t => {
  const { address } = await startPeer(t);
  const peer = connect(t, address);
  const options = { timeoutMs: 2_000 };
  const first = await peer.callMethod('echo', { value: 1 }, options);
  t.deepEqual(first.extract(), { value: 1 });
  const silent = await peer.callMethod('silent', {}, { timeoutMs: 50 });
  t.true(silent.isLeft());
  const next = await peer.callMethod('echo', { value: 2 }, options);
  t.deepEqual(next.extract(), { value: 2 });
});

test('a refused call and one to a peer that is gone fail', async t => {
  const { address, server } = await startPeer(t);
  const peer = connect(t, address);
  const options = { timeoutMs: 2_000 };
  t.true((await peer.callMethod('refused', {}, options)).isLeft());
  server.closeAllConnections();
  await new Promise(resolve => server.close(resolve));
  t.true((await peer.callMethod('echo', {}, options)).isLeft());
});

test('a notification reaches several peers, and another method is not mistaken for it', async t => {
  const one = await startPeer(t);
  const two = await startPeer(t);
  const params = { value: 'x' };
  const peers = [connect(t, one.address), connect(t, two.address)];
  for (const peer of peers) peer.sendNotification('news', params);
  peers[0]?.sendNotification('other', params);
  while (one.received.length < 2 || two.received.length < 1)
    await new Promise(resolve => setTimeout(resolve, 5));
  t.deepEqual(one.received.map(({ method }) => method).sort(), [
    'news',
    'other',
  ]);
  t.deepEqual(two.received, [
    { jsonrpc: '2.0', method: 'news', params },
  ] as unknown as ReceivedCall[]);
});
