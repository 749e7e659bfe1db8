/** Processes that send bytes without end, until the caller closes the connection. */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { HttpFleetList } from '../fleet/http-fleet-list.js';
import { HttpObjectStore } from '../object-store/http-object-store.js';
import { JsonRpcPeer } from '../peers/json-rpc-peer.js';
import { HttpTable } from '../table/http-table.js';
import { HttpEngine } from '../target/http-engine.js';
import { HttpService } from '../target/http-service.js';
import { HttpTargetFactory } from '../target/http-target-factory.js';
import type { StreamItem } from '../target/target.js';

import type { Failure } from './failure.js';
import { Deadline } from './time.js';

const bytesPerMegabyte = 1024 * 1024;
const junk = 'x'.repeat(64 * 1024);
const callTimeoutMs = 60_000;

/** Bytes beyond a limit that lie in the buffers of both ends of a connection. */
const bufferAllowanceBytes = 16 * bytesPerMegabyte;

const endlessHead = (status: string, type = 'application/json'): string =>
  `HTTP/1.1 ${status}\r\nContent-Type: ${type}\r\nContent-Length: 1000000000000\r\n\r\n`;

const writeWithoutEnd = async (socket: Socket, text: string): Promise<void> => {
  while (!socket.destroyed) {
    if (!socket.write(text))
      await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(
        () => undefined,
      );
    await new Promise(resolve => setImmediate(resolve));
  }
};

/** Starts a server that answers each connection's first request without end. */
const startServer = async (
  t: ExecutionContext,
  head: string,
  rest = junk,
): Promise<{ readonly address: string; readonly sockets: Socket[] }> => {
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    // The caller may reset the connection.
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(head);
      void writeWithoutEnd(socket, rest);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, sockets };
};

const countSentBytes = async (sockets: readonly Socket[]): Promise<number> => {
  for (const socket of sockets) {
    if (!socket.destroyed) await once(socket, 'close').catch(() => undefined);
  }
  return sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0);
};

const createMember = (address: string) => ({
  name: 'a',
  incarnation: '1',
  dataCenter: 'a',
  address,
  settings: {
    callTimeoutMs,
    heartbeatTimeoutMs: callTimeoutMs,
    connectTimeoutMs: callTimeoutMs,
  },
});

const callService = (address: string): Promise<Either<Failure, unknown>> =>
  new HttpService({
    ...createMember(address),
    service: 'billing',
  }).callOperation(createCall(), new AbortController().signal);

const createCall = () => ({
  id: '1',
  customer: 'c',
  operation: 'pay',
  body: '{}',
  deadline: Deadline.after(callTimeoutMs),
});

const generate = async (address: string): Promise<Either<Failure, unknown>> => {
  const items: StreamItem[] = [];
  const stream = new HttpEngine(createMember(address)).generate(
    {
      id: '1',
      model: { name: 'm', version: '1' },
      prompt: 'p',
      maxTokens: 10,
      priority: 0,
      deadline: Deadline.after(callTimeoutMs),
    },
    new AbortController().signal,
  );
  for await (const item of stream) items.push(item);
  const last = items.at(-1);
  if (last?.kind !== 'failure') throw new Error('the stream did not fail');
  return Left(last.failure);
};

/** A call whose answer has no end. */
interface EndlessCall {
  readonly head: string;
  readonly rest?: string;
  readonly maxBytes: number;
  readonly call: (address: string) => Promise<Either<Failure, unknown>>;
}

const endlessCalls: Readonly<Record<string, EndlessCall>> = {
  'the answer of a service': {
    head: endlessHead('200 OK'),
    maxBytes: 8 * bytesPerMegabyte,
    call: callService,
  },
  'the error of a service': {
    head: endlessHead('500 Internal Server Error'),
    maxBytes: bytesPerMegabyte,
    call: callService,
  },
  'the refusal of a service': {
    head: endlessHead('503 Service Unavailable\r\nx-executed: no'),
    maxBytes: bytesPerMegabyte,
    call: callService,
  },
  'a load report': {
    head: endlessHead('200 OK'),
    maxBytes: 4 * bytesPerMegabyte,
    call: address => new HttpEngine(createMember(address)).getLoadReport(),
  },
  'the error of an engine': {
    head: endlessHead('500 Internal Server Error'),
    maxBytes: bytesPerMegabyte,
    call: generate,
  },
  'a line of a stream': {
    head: `${endlessHead('200 OK', 'text/event-stream')}data: `,
    maxBytes: bytesPerMegabyte,
    call: generate,
  },
  'an event of a stream': {
    head: endlessHead('200 OK', 'text/event-stream'),
    rest: `data: ${junk}\n`,
    maxBytes: bytesPerMegabyte,
    call: generate,
  },
  'a page of the table': {
    head: endlessHead('200 OK'),
    maxBytes: 32 * bytesPerMegabyte,
    call: address =>
      new HttpTable({
        url: `http://${address}`,
        tableName: 't',
        timeoutMs: callTimeoutMs,
      }).scanPartition('p'),
  },
  'an object': {
    head: endlessHead('200 OK'),
    maxBytes: 64 * bytesPerMegabyte,
    call: address =>
      new HttpObjectStore({
        url: `http://${address}`,
        bucket: 'b',
        timeoutMs: callTimeoutMs,
      }).getObject('o'),
  },
  'the fleet list': {
    head: endlessHead('200 OK'),
    maxBytes: 16 * bytesPerMegabyte,
    call: address =>
      new HttpFleetList({
        url: `http://${address}/`,
        timeoutMs: callTimeoutMs,
      }).listMembers(),
  },
  'the answer of another instance': {
    head: endlessHead('200 OK'),
    maxBytes: 8 * bytesPerMegabyte,
    call: address =>
      new JsonRpcPeer({
        name: 'b',
        dataCenter: 'a',
        incarnation: '1',
        address,
        secret: '',
        self: 'a',
      }).callMethod('m', {}, { timeoutMs: callTimeoutMs }),
  },
};

for (const [name, { head, rest, maxBytes, call }] of Object.entries(
  endlessCalls,
)) {
  test(`${name} that has no end is not kept in memory`, async t => {
    const { address, sockets } = await startServer(t, head, rest);
    t.true((await call(address)).isLeft());
    const sentBytes = await countSentBytes(sockets);
    t.true(sentBytes > 0);
    t.true(sentBytes < maxBytes + bufferAllowanceBytes, `${sentBytes} bytes`);
  });
}

test('an error without end of a service that has not run the call says so', async t => {
  const { address } = await startServer(
    t,
    endlessHead('503 Service Unavailable\r\nx-executed: no'),
  );
  const failure = (await callService(address)).swap().unsafeCoerce();
  t.is(failure.code, 'target_rejected');
  t.is(failure.executed, 'no');
});

test('many answers of services without end share a limited memory', async t => {
  const callCount = 40;
  const { address, sockets } = await startServer(t, endlessHead('200 OK'));
  const factory = new HttpTargetFactory(createMember(address).settings);
  const service = factory.createService({
    ...createMember(address),
    kind: 'service',
    service: 'billing',
    state: 'live',
  });
  const results = await Promise.all(
    Array.from({ length: callCount }, () =>
      service.callOperation(createCall(), new AbortController().signal),
    ),
  );
  t.true(results.every(result => result.isLeft()));
  const sentBytes = await countSentBytes(sockets);
  const allowedBytes = 64 * bytesPerMegabyte + callCount * 4 * bytesPerMegabyte;
  t.true(sentBytes < allowedBytes, `${sentBytes} bytes`);
});
