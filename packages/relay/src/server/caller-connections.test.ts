/** Connections of callers that are refused or closed, on real sockets. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import {
  setImmediate as nextTurn,
  setTimeout as pause,
} from 'node:timers/promises';

import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';

import {
  createConfiguration,
  createGuard,
  createMemoryLog,
  createRequest,
} from '../fixtures/relay-fixtures.js';
import type { Relay } from '../relay/relay.js';
import type { Caller, RelayRequest } from '../requests/relay-request.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';

import { CallerServer } from './caller-server.js';
import { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';
import { RequestDecoder } from './request-decoder.js';
import { RequestDrainer } from './request-drainer.js';

const headerTimeoutMs = 300;
const idleTimeoutMs = 400;
/** Grace period of a planned stop, at whose half connections begin to close. */
const graceMs = 100;

/** The server looks for late heads this often, and waits a little for them. */
const headCheckMs = 2_000;

/** Decoder whose requests bear the path as their id. */
class PathDecoder extends RequestDecoder {
  override decode(_message: unknown, url: string) {
    return Right(createRequest({ id: url }));
  }
}

const answer = (caller: Caller): void => {
  caller.writeHead({
    status: 200,
    headers: ['Content-Length', '2'],
    isCloseDelimited: false,
  });
  caller.write(Buffer.from('ok'));
  caller.end();
};

/** Starts a server; `run` is called for each request that is run, by its path. */
const openServer = async (
  t: ExecutionContext,
  run: (caller: Caller, path: string) => void | Promise<void> = answer,
) => {
  const ran: string[] = [];
  const relay = {
    serve: async ({ id }: RelayRequest, caller: Caller) => {
      ran.push(id);
      await run(caller, id);
    },
  };
  const routes = new RouteTableHolder(createMemoryLog());
  const drainer = new RequestDrainer();
  const server = await CallerServer.open({
    guard: createGuard(),
    relay: relay as unknown as Relay,
    routes,
    decoder: new PathDecoder(),
    drainer,
    eventLoopDelayMonitor: new EventLoopDelayMonitor(),
    host: '127.0.0.1',
    port: 0,
  });
  t.teardown(() => server.close());
  const setLimits = (version: number, limits: { idleTimeoutMs: number }) =>
    routes.applyIfNewer(
      createConfiguration({
        version,
        limits: {
          headerBytes: 16_384,
          bodyBytes: 1_000_000,
          headerTimeoutMs,
          ...limits,
        },
      }),
      'test',
    );
  setLimits(1, { idleTimeoutMs });
  return { port: server.port, ran, setLimits, drainer };
};

/** A connection that the server has accepted; it stays open after the server's end. */
const openConnection = async (t: ExecutionContext, port: number) => {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  t.teardown(() => socket.destroy());
  const received = { text: '', isClosed: false };
  socket.on('data', (chunk: Buffer) => {
    received.text += chunk.toString();
  });
  socket.on('error', () => undefined);
  socket.on('end', () => {
    received.isClosed = true;
  });
  socket.on('close', () => {
    received.isClosed = true;
  });
  await new Promise(resolve => socket.once('connect', resolve));
  await pause(20);
  return { socket, received };
};

/** Blocks the event loop, as if the instance had stood still. */
const standStill = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

const waitFor = async (isTrue: () => boolean, timeoutMs = 4_000) => {
  const startedAtMs = performance.now();
  while (!isTrue() && performance.now() - startedAtMs < timeoutMs)
    await pause(5);
};

const createHead = (path: string, headers = ''): string =>
  `POST ${path} HTTP/1.1\r\nhost: desk.example\r\n${headers}\r\n`;

/** Writes at once; fails if the system takes only part of it. */
const writeNow = (t: ExecutionContext, socket: Socket, text: string) => {
  socket.write(text);
  t.is(socket.writableLength, 0);
};

// Guards against running a request that was refused with status 408.
test.serial(
  'a request whose head is completed after its refusal is not run',
  async t => {
    const { port, ran } = await openServer(t);
    const { socket, received } = await openConnection(t, port);
    socket.write('POST /late HTTP/1.1\r\n');
    await waitFor(() => received.text !== '');
    t.regex(received.text, /^HTTP\/1.1 408 /);
    socket.write('host: desk.example\r\ncontent-length: 0\r\n\r\n');
    await pause(200);
    t.deepEqual(ran, []);
  },
);

// Guards against a refusal of requests that came in time, when the instance was late itself.
test.serial(
  'a request that waited while the instance stood still is served',
  async t => {
    const { port, ran } = await openServer(t);
    const { socket, received } = await openConnection(t, port);
    writeNow(t, socket, createHead('/waiting', 'content-length: 0\r\n'));
    standStill(headCheckMs);
    await waitFor(() => received.text !== '');
    await pause(400);
    t.regex(received.text, /^HTTP\/1.1 200 /);
    t.notRegex(received.text, / 408 /);
    t.deepEqual(ran, ['/waiting']);
  },
);

// Guards against a refusal that is sent as the answer to a request that runs.
test.serial(
  'a late head behind a running request does not end that request',
  async t => {
    let finish: () => void = () => undefined;
    const finished = new Promise<void>(resolve => {
      finish = resolve;
    });
    const { port, ran } = await openServer(t, async caller => {
      await finished;
      answer(caller);
    });
    const { socket, received } = await openConnection(t, port);
    const first = createHead('/first', 'content-length: 0\r\n');
    socket.write(`${first}POST /second HTTP/1.1\r\n`);
    await pause(headCheckMs);
    t.is(received.text, '');
    finish();
    await waitFor(() => received.isClosed);
    t.regex(received.text, /^HTTP\/1.1 200 .*ok$/s);
    t.deepEqual(ran, ['/first']);
  },
);

// Guards against waiting for a body that can't be read any more.
test.serial('a request whose body is not valid is refused at once', async t => {
  const { port, ran } = await openServer(t);
  const { socket, received } = await openConnection(t, port);
  const chunked = createHead('/broken', 'transfer-encoding: chunked\r\n');
  socket.write(`${chunked}no length\r\n`);
  await waitFor(() => received.text !== '', idleTimeoutMs / 2);
  t.regex(received.text, /^HTTP\/1.1 400 /);
  await pause(50);
  t.deepEqual(ran, []);
});

// Guards against running a request whose answer can't be sent.
test.serial(
  'a request behind an answer that closes the connection is not run',
  async t => {
    let firstCaller: Caller | undefined;
    const { port, ran, drainer } = await openServer(t, (caller, path) => {
      if (path === '/first') firstCaller = caller;
      else answer(caller);
    });
    const { socket, received } = await openConnection(t, port);
    const head = (path: string) => createHead(path, 'content-length: 0\r\n');
    socket.write(head('/first') + head('/second'));
    await waitFor(() => firstCaller !== undefined);
    void drainer.drainRequests(
      graceMs,
      () => undefined,
      () => undefined,
    );
    await waitFor(() => drainer.isClosing);
    firstCaller?.writeHead({
      status: 200,
      headers: [],
      isCloseDelimited: false,
    });
    firstCaller?.write(Buffer.from('first'));
    firstCaller?.end();
    await waitFor(() => received.isClosed);
    t.regex(received.text, /\r\nfirst\r\n0\r\n\r\n$/);
    t.deepEqual(ran, ['/first']);
  },
);

// Guards against answers to requests of one connection in another order.
test.serial(
  'requests that were sent one behind the other run in turn',
  async t => {
    let running = 0;
    const { port, ran } = await openServer(t, async caller => {
      running += 1;
      t.is(running, 1);
      await nextTurn();
      running -= 1;
      answer(caller);
    });
    const { socket, received } = await openConnection(t, port);
    const body = 'content-length: 3\r\n';
    const paths = ['/one', '/two', '/three'];
    socket.write(paths.map(path => `${createHead(path, body)}abc`).join(''));
    await waitFor(() => received.text.split('ok').length > paths.length);
    t.is(received.text.match(/200 OK/g)?.length, paths.length);
    t.deepEqual(ran, paths);
  },
);

// Guards against closing a kept connection whose next request has come already.
test.serial(
  'a kept connection is not closed for the time that the instance stood still',
  async t => {
    const { port, ran } = await openServer(t);
    const { socket, received } = await openConnection(t, port);
    socket.write(createHead('/first', 'content-length: 0\r\n'));
    await waitFor(() => received.text.endsWith('ok'));
    received.text = '';
    writeNow(t, socket, createHead('/second', 'content-length: 0\r\n'));
    standStill(headCheckMs);
    await waitFor(() => received.text !== '' || received.isClosed);
    t.regex(received.text, /^HTTP\/1.1 200 /);
    t.deepEqual(ran, ['/first', '/second']);
  },
);

// Guards against closing connections that callers may keep by a newer configuration.
test.serial(
  'a longer idle timeout holds for connections that are idle already',
  async t => {
    const { port, setLimits } = await openServer(t);
    const { socket, received } = await openConnection(t, port);
    socket.write(createHead('/first', 'content-length: 0\r\n'));
    await waitFor(() => received.text.endsWith('ok'));
    setLimits(2, { idleTimeoutMs: 1_200 });
    // Node adds a second to the timeout.
    await pause(1_900);
    t.false(received.isClosed);
    await waitFor(() => received.isClosed);
    t.true(received.isClosed, 'idle connections are closed all the same');
  },
);

// Guards against refusing a body that came in time, when the instance was late itself.
test.serial(
  'a body that waited while the instance stood still is read',
  async t => {
    const { port, ran } = await openServer(t);
    const { socket, received } = await openConnection(t, port);
    socket.write(createHead('/body', 'content-length: 6\r\n'));
    await pause(50);
    writeNow(t, socket, 'abcdef');
    standStill(idleTimeoutMs + 200);
    await waitFor(() => received.text !== '' || received.isClosed);
    t.regex(received.text, /^HTTP\/1.1 200 /);
    t.deepEqual(ran, ['/body']);
  },
);

// Guards against running a request whose body was refused as late.
test.serial(
  'a body that is completed after its refusal is not run',
  async t => {
    const { port, ran } = await openServer(t);
    const { socket, received } = await openConnection(t, port);
    socket.write(createHead('/body', 'content-length: 6\r\n'));
    await waitFor(() => received.text !== '');
    t.regex(received.text, /^HTTP\/1.1 408 /);
    const next = createHead('/next', 'content-length: 0\r\n');
    socket.write(`abcdef${next}`);
    await waitFor(() => received.isClosed);
    await pause(50);
    t.deepEqual(ran, []);
  },
);

// Guards against a refusal that is lost because the rest of the body is not read.
test.serial(
  'a caller that still sends its body gets the refusal of it',
  async t => {
    const { port, ran } = await openServer(t);
    const { socket, received } = await openConnection(t, port);
    const bodyBytes = 16 * 1024 * 1024;
    let error = '';
    socket.on('error', ({ message }) => {
      error = message;
    });
    socket.write(createHead('/long', `content-length: ${bodyBytes}\r\n`));
    // The caller reads only once it has sent all.
    socket.pause();
    const chunk = Buffer.alloc(64 * 1024, 'b');
    for (let sent = 0; sent < bodyBytes && error === ''; sent += chunk.length)
      if (!socket.write(chunk)) await pause(1);
    socket.resume();
    await waitFor(() => received.isClosed);
    t.regex(received.text, /^HTTP\/1.1 413 /);
    t.deepEqual(ran, []);
  },
);
