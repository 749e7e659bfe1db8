import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';

import { BodyReader } from '@medlarlever/core';
import test from 'ava';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { Right } from 'purify-ts';
import { Registry } from 'prom-client';

import {
  createConfiguration,
  createMemoryLog,
  createRequest,
  createRoute,
} from '../fixtures/relay-fixtures.js';
import { RelayMetrics } from '../metrics/relay-metrics.js';
import { OverloadGuard } from '../relay/overload.js';
import type { Relay } from '../relay/relay.js';
import type { Caller } from '../requests/relay-request.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';

import { CallerConnections } from './caller-connections.js';
import { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';
import { RelayController } from './relay-controller.js';
import { RequestDecoder } from './request-decoder.js';
import { RequestDrainer } from './request-drainer.js';

/** Decoder that counts the requests that it decodes. */
class CountingDecoder extends RequestDecoder {
  decodedCount = 0;

  override decode() {
    this.decodedCount += 1;
    return Right(createRequest({}));
  }

  override getId(message: IncomingMessage): string {
    return String(message.headers['x-id']);
  }
}

/** Returns the head as it is sent; headers given with the status are kept nowhere else. */
const getHead = (response: ServerResponse): string =>
  (response as unknown as { _header: string })._header;

/** A controller whose delay is that of the test, and requests without a network. */
const setUp = () => {
  const log = createMemoryLog();
  const routes = new RouteTableHolder(log);
  const route = createRoute({});
  routes.applyIfNewer(createConfiguration({ routes: [route] }), 'test');
  const load = { delayMs: 0 };
  const decoder = new CountingDecoder();
  const relay = {
    serve: (_request: unknown, caller: Caller) => {
      caller.writeHead({ status: 200, headers: [], isCloseDelimited: false });
      caller.end();
      return Promise.resolve();
    },
  };
  const controller = new RelayController(
    relay as unknown as Relay,
    routes,
    decoder,
    new BodyReader(() => 1_000_000),
    new RequestDrainer(),
    new EventLoopDelayMonitor(),
    new OverloadGuard({
      routes,
      metrics: new RelayMetrics(new Registry()),
      log,
      getEventLoopDelayMs: () => load.delayMs,
    }),
    new CallerConnections(),
  );
  const send = async (id: string, url = `${route.prefix}a`) => {
    const message = new IncomingMessage(new Socket());
    message.method = 'POST';
    message.url = url;
    message.headers = { host: `${route.host}:80`, 'x-id': id };
    message.push(null);
    const response = new ServerResponse(message);
    await controller.handleRequest(
      { raw: message, originalUrl: url } as FastifyRequest,
      { raw: response, hijack: () => undefined } as unknown as FastifyReply,
    );
    return response;
  };
  return { log, load, decoder, send };
};

test('while the instance is behind, requests are refused before they are decoded', async t => {
  const { log, load, decoder, send } = setUp();
  load.delayMs = 700;
  for (let i = 0; i < 50; i += 1) {
    const response = await send(`r${i}`);
    t.is(response.statusCode, 429);
    t.regex(getHead(response), /^Retry-After: 0\.700\r$/m);
  }
  t.is(decoder.decodedCount, 0);
  const refusals = log.entries.filter(({ name }) => name === 'request_ended');
  t.is(refusals.length, 50, 'each decision has its line');
  t.is(refusals[7]?.fields.request, 'r7');
  t.is(refusals[7]?.fields.outcome, 'overloaded');
});

test('an instance that has caught up serves again', async t => {
  const { load, decoder, send } = setUp();
  load.delayMs = 700;
  await send('late');
  load.delayMs = 499;
  t.is((await send('served')).statusCode, 200);
  t.is(decoder.decodedCount, 1);
});

test('a request without a route gets its usual answer from an instance that is behind', async t => {
  const { load, decoder, send } = setUp();
  load.delayMs = 700;
  await send('lost', '/nowhere');
  t.is(decoder.decodedCount, 1);
});
