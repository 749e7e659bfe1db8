import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';

import test from 'ava';

import { HttpCaller } from './http-caller.js';

test('the bytes that a caller has not read are counted until it disconnects', async t => {
  const server = createServer();
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const arrived = new Promise<HttpCaller>(resolve => {
    server.once('request', (_message, response) => {
      resolve(new HttpCaller(response, { isClosing: () => false }));
    });
  });
  const socket = connect(port, '127.0.0.1');
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n');
  const caller = await arrived;
  caller.writeHead({ status: 200, headers: [], isCloseDelimited: false });
  t.is(caller.bufferedBytes < 1_000, true);
  // More than the buffers of both sockets hold.
  const bytes = 32 * 1024 * 1024;
  caller.write(Buffer.alloc(bytes));
  t.true(caller.bufferedBytes > bytes / 4, String(caller.bufferedBytes));
  const gone = new Promise<void>(resolve => {
    caller.disconnectSignal.addEventListener('abort', () => {
      resolve();
    });
  });
  socket.destroy();
  await gone;
  t.is(caller.bufferedBytes, 0);
  server.close();
});
