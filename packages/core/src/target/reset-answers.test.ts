/** Answers without a length of which a reset of the connection cuts off the rest. */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Nothing } from 'purify-ts';

import { HttpObjectStore } from '../object-store/http-object-store.js';
import { Deadline } from '../shared/time.js';

import { HttpService } from './http-service.js';

const callTimeoutMs = 10_000;
const bodyBytes = 200_000;

/** Starts a server whose answers are the body, and an end of their connection. */
const startServer = async (
  t: ExecutionContext,
  end: (socket: Socket) => void,
): Promise<string> => {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      const body = 'x'.repeat(bodyBytes);
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`, () => {
        end(socket);
      });
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const ends = {
  'ends regularly': (socket: Socket) => socket.end(),
  'is reset': (socket: Socket) => socket.resetAndDestroy(),
} as const;

const callService = (address: string) =>
  new HttpService({
    name: 'a',
    incarnation: '1',
    dataCenter: 'a',
    address,
    service: 'billing',
  }).callOperation(
    {
      id: '1',
      customer: 'c',
      operation: 'pay',
      body: '{}',
      deadline: Deadline.after(callTimeoutMs),
    },
    new AbortController().signal,
  );

const readObject = (address: string) =>
  new HttpObjectStore({ url: `http://${address}`, bucket: 'b' }).getObject('o');

// Guards against a part of an answer that is passed on as the whole of it.
for (const [end, endConnection] of Object.entries(ends)) {
  const isWhole = end === 'ends regularly';
  const verdict = isWhole ? 'whole' : 'not an answer';
  test(`the answer of a service whose connection ${end} is ${verdict}`, async t => {
    const address = await startServer(t, endConnection);
    const answer = await callService(address);
    const length = answer.map(({ body }) => body.length).orDefault(0);
    t.is(length, isWhole ? bodyBytes : 0);
    t.is(answer.isLeft(), !isWhole);
  });

  test(`an object whose connection ${end} is ${verdict}`, async t => {
    const address = await startServer(t, endConnection);
    const object = await readObject(address);
    const bytes = object.orDefault(Nothing);
    t.is(
      bytes.map(({ length }) => length).orDefault(0),
      isWhole ? bodyBytes : 0,
    );
    t.is(object.isLeft(), !isWhole);
  });
}
