import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import test from 'ava';

import { JsonRpcPeer } from './json-rpc-peer.js';

const answers: Readonly<Record<string, (id: unknown) => [number, string]>> = {
  'no body': () => [204, ''],
  'another id': () => [200, '{"jsonrpc":"2.0","id":999,"result":1}'],
  'an empty object': () => [200, '{}'],
  null: () => [200, 'null'],
  'a list': () => [200, '[null]'],
  'half a message': () => [200, '{"jsonrpc":"2.0",'],
  'neither result nor error': id => [
    200,
    JSON.stringify({ jsonrpc: '2.0', id }),
  ],
};

for (const [name, answer] of Object.entries(answers)) {
  test(`a call that a peer answers with ${name} fails, and its caller goes on`, async t => {
    const server = createServer((message, response) => {
      let text = '';
      message.on('data', (chunk: Buffer) => (text += chunk.toString()));
      message.on('end', () => {
        const { id } = JSON.parse(text) as { id: unknown };
        const [status, body] = answer(id);
        response.writeHead(status).end(body);
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const peer = new JsonRpcPeer({
      name: 'b',
      dataCenter: 'a',
      incarnation: '1',
      address: `127.0.0.1:${port}`,
      secret: '',
      self: 'a',
    });
    t.teardown(async () => {
      await peer.close();
      server.closeAllConnections();
      server.close();
    });
    const result = await Promise.race([
      peer.callMethod('m', {}, { timeoutMs: 5_000 }),
      new Promise<'pending'>(resolve =>
        setTimeout(() => {
          resolve('pending');
        }, 1_500),
      ),
    ]);
    t.not(result, 'pending');
    if (result !== 'pending')
      t.like(result.extract(), { code: 'target_failed' });
  });
}
