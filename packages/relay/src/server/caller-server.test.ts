import { execFileSync } from 'node:child_process';

import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';

import {
  createGuard,
  createMemoryLog,
  createRequest,
} from '../fixtures/relay-fixtures.js';
import type { Relay } from '../relay/relay.js';
import type { Caller } from '../requests/relay-request.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';

import { CallerServer } from './caller-server.js';
import { RequestDrainer } from './request-drainer.js';
import { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';
import { RequestDecoder } from './request-decoder.js';

/** Decoder that returns the same request for every message. */
class FixedDecoder extends RequestDecoder {
  override decode() {
    return Right(createRequest({}));
  }
}

/**
 * Sends a request and disconnects in a child process, and blocks until that
 * process ends. Request and disconnect have thus both arrived before the server
 * reads anything.
 */
const sendRequestAndDisconnect = (port: number): void => {
  const request = 'GET /rules/ HTTP/1.1\\r\\nhost: desk.example\\r\\n\\r\\n';
  const script = `
    const socket = require('node:net').connect(${port}, '127.0.0.1');
    socket.end('${request}');
    socket.on('finish', () => setTimeout(() => process.exit(0), 200));
  `;
  execFileSync(process.execPath, ['-e', script]);
};

/** Opens a server whose relay records the callers passed to it. */
const openServer = async (
  t: ExecutionContext,
  eventLoopDelayMonitor: EventLoopDelayMonitor,
) => {
  const callers: Caller[] = [];
  const relay = {
    serve: (_request: unknown, caller: Caller) => {
      callers.push(caller);
      t.true(caller.disconnectSignal.aborted);
      return Promise.resolve();
    },
  };
  const server = await CallerServer.open({
    guard: createGuard(),
    relay: relay as unknown as Relay,
    routes: new RouteTableHolder(createMemoryLog()),
    decoder: new FixedDecoder(),
    drainer: new RequestDrainer(),
    eventLoopDelayMonitor,
    host: '127.0.0.1',
    port: 0,
  });
  t.teardown(() => server.close());
  return { callers, port: server.port };
};

const waitForCaller = async (callers: readonly Caller[]): Promise<void> => {
  while (callers.length === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
};

test('a caller that disconnected before its request was read is detected as disconnected', async t => {
  const eventLoopDelayMonitor = new EventLoopDelayMonitor();
  eventLoopDelayMonitor.start();
  const { callers, port } = await openServer(t, eventLoopDelayMonitor);
  sendRequestAndDisconnect(port);
  t.true(
    eventLoopDelayMonitor.currentDelayMs > 100,
    'the event loop was blocked',
  );
  await waitForCaller(callers);
  t.is(callers.length, 1);
});

test('a caller that disconnected before its connection was accepted is detected as disconnected', async t => {
  const { callers, port } = await openServer(t, new EventLoopDelayMonitor());
  sendRequestAndDisconnect(port);
  await waitForCaller(callers);
  t.is(callers.length, 1);
});
