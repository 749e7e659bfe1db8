import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setImmediate } from 'node:timers/promises';

import { Failure } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

import { HttpCaller } from './http-caller.js';

/** Starts a server that passes each request on as a caller; resolves to its port. */
const startServer = async (
  t: ExecutionContext,
  onCaller: (caller: HttpCaller) => void,
): Promise<number> => {
  const server = createServer((_message, response) => {
    onCaller(new HttpCaller(response, { isClosing: () => false }));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return (server.address() as AddressInfo).port;
};

/** Opens a connection that sends a request and reads no answer until it is resumed. */
const connectPaused = (port: number) => {
  const socket = connect(port, '127.0.0.1');
  socket.pause();
  socket.write('GET / HTTP/1.1\r\nhost: desk.example\r\n\r\n');
  return socket;
};

test('the bytes that a caller has not read are counted until it disconnects', async t => {
  const callers: HttpCaller[] = [];
  const port = await startServer(t, caller => callers.push(caller));
  const socket = connectPaused(port);
  while (callers.length === 0) await setImmediate();
  const [caller] = callers as [HttpCaller];
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
});

// Guards against a stop that ends while a slow caller still reads its answer.
test('an answer is sent once the connection has taken all of it, or is closed', async t => {
  const callers: HttpCaller[] = [];
  const port = await startServer(t, caller => callers.push(caller));
  for (const end of ['resume', 'destroy'] as const) {
    const socket = connectPaused(port);
    while (callers.length === 0) await setImmediate();
    const [caller] = callers.splice(0) as [HttpCaller];
    caller.writeHead({ status: 200, headers: [], isCloseDelimited: false });
    caller.write(Buffer.alloc(32 * 1024 * 1024));
    caller.end();
    let isSent = false;
    const sent = caller.waitUntilSent().then(() => {
      isSent = true;
    });
    for (let i = 0; i < 10; i += 1) await setImmediate();
    t.false(isSent);
    socket[end]();
    await sent;
    t.true(isSent);
    socket.destroy();
  }
});

// Guards against callers that resend to an instance that stops until it is gone.
test('a refusal because of the stop closes the connection, another one keeps it', async t => {
  for (const [code, connection] of [
    ['shutting_down', 'close'],
    ['overloaded', 'keep-alive'],
  ] as const) {
    const port = await startServer(t, caller => {
      caller.sendFailure(new Failure(code, 'refused'));
    });
    const { headers, body } = await request(`http://127.0.0.1:${port}/`);
    await body.dump();
    t.is(headers.connection, connection);
  }
});

const okHead = { status: 200, headers: [], isCloseDelimited: true };

/** Sends a request of the version of HTTP; resolves to the caller and the received text. */
const openExchange = async (t: ExecutionContext, version: '1.0' | '1.1') => {
  const callers: HttpCaller[] = [];
  const port = await startServer(t, caller => callers.push(caller));
  const socket = connect(port, '127.0.0.1');
  t.teardown(() => {
    socket.destroy();
  });
  const received = { text: '', end: '' };
  socket.on('data', chunk => {
    received.text += chunk.toString();
  });
  socket.on('error', ({ message }) => {
    received.end = message;
  });
  socket.on('end', () => {
    received.end = 'regular';
  });
  socket.write(`GET / HTTP/${version}\r\nhost: desk.example\r\n\r\n`);
  while (callers.length === 0) await setImmediate();
  const [caller] = callers as [HttpCaller];
  const waitFor = async (isReached: () => boolean) => {
    while (!isReached()) await setImmediate();
  };
  return { caller, received, waitFor };
};

// Guards against the end of a killed process looking like the end of an answer.
test('an answer without a length is sent in chunks and keeps the connection', async t => {
  const { caller, received, waitFor } = await openExchange(t, '1.1');
  caller.writeHead(okHead);
  caller.write(Buffer.from('a part'));
  caller.end();
  const lastChunk = '0\r\n\r\n';
  await waitFor(() => received.text.endsWith(lastChunk) || received.end !== '');
  t.regex(received.text, /\r\nConnection: keep-alive\r\n/);
  t.regex(received.text, /\r\nTransfer-Encoding: chunked\r\n/);
  t.is(received.end, '');
});

// Guards against a cut answer of a target that sends chunks, which a caller cannot.
for (const isCloseDelimited of [true, false])
  test(`an answer ${isCloseDelimited ? 'without framing' : 'in chunks'} that is aborted ends a connection of HTTP/1.0 with a reset`, async t => {
    const { caller, received, waitFor } = await openExchange(t, '1.0');
    caller.writeHead({ ...okHead, isCloseDelimited });
    caller.write(Buffer.from('a part'));
    await waitFor(() => received.text.endsWith('a part'));
    t.notRegex(received.text, /transfer-encoding/i);
    caller.abortResponse();
    await waitFor(() => received.end !== '');
    t.is(received.end, 'read ECONNRESET');
  });
