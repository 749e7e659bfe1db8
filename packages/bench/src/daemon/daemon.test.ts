/** Tests of the daemon over HTTP: refused input, shutdown, stream resumption and idempotency keys. */
import { connect } from 'node:net';
import { text as streamText } from 'node:stream/consumers';
import { setImmediate } from 'node:timers/promises';

import { errorBodySchema } from '@medlarlever/core';
import { createCompletionText } from '@medlarlever/stand-ins';
import test from 'ava';
import fc from 'fast-check';
import { request } from 'undici';

import {
  callerKey,
  startTestDeployment,
  otherCallerKey,
} from './deployment.js';

const propertySeed = 20_261_203;
const modelId = { name: 'style-base', version: '1' };

interface RequestOptions {
  readonly path?: string;
  readonly key?: string;
  readonly body?: string | Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
}

const sendRequest = async (callerAddress: string, options: RequestOptions) => {
  const { path = '/v1/completions', key = callerKey, body } = options;
  const response = await request(`http://${callerAddress}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      ...options.headers,
    },
    ...(body === undefined ? {} : { body }),
  });
  return { status: response.statusCode, text: await response.body.text() };
};

/** Parses an error response and returns its error number; throws if the body is not a valid error. */
const parseErrorNumber = (text: string): number =>
  errorBodySchema.parse(JSON.parse(text)).error.number;

const publishPath = '/v1/services/guide/publish';

const refusedRequests: readonly (readonly [string, RequestOptions, number])[] =
  [
    ['broken JSON', { body: '{"model":' }, 1001],
    [
      'bytes that are not UTF-8',
      { body: Buffer.from([0x22, 0xff, 0x22]) },
      1001,
    ],
    ['a missing field', { body: '{"model":"style"}' }, 1002],
    ['a field of another type', { body: '{"model":7,"prompt":"x"}' }, 1002],
    ['too large a body', { body: JSON.stringify('x'.repeat(70_000)) }, 1003],
    ['text', { body: 'x', headers: { 'content-type': 'text/plain' } }, 1005],
    ['gzip', { body: '{}', headers: { 'content-encoding': 'gzip' } }, 1005],
    ['an unknown key', { body: '{}', key: 'nobody' }, 1006],
    ['an unknown path', { path: '/v2/none' }, 1008],
    ['an unknown model', { body: '{"model":"no","prompt":"x"}' }, 1009],
    [
      'an unknown operation',
      { path: '/v1/services/guide/no', body: '{}' },
      1010,
    ],
    ['an unknown stream', { path: '/v1/responses/none' }, 1011],
    [
      'a too long stream id',
      { path: `/v1/responses/${'x'.repeat(2e3)}` },
      1008,
    ],
    ['no idempotency key', { path: publishPath, body: '{}' }, 2001],
  ];

test('invalid input gets a numbered error and starts no work', async t => {
  const { startDaemon, engine, service } = await startTestDeployment(t);
  const { callerAddress } = await startDaemon('entry-1');
  for (const [name, options, number] of refusedRequests) {
    const { text } = await sendRequest(callerAddress, options);
    t.is(parseErrorNumber(text), number, name);
  }
  t.deepEqual(engine.startedGenerationIds, []);
  t.deepEqual(service.executions, []);
});

test('a request body that arrives too slowly gets a numbered error and a closed connection', async t => {
  const { startDaemon, engine } = await startTestDeployment(t);
  const { callerAddress } = await startDaemon('entry-1');
  const { hostname, port } = new URL(`http://${callerAddress}`);
  const socket = connect(Number(port), hostname);
  socket.write(
    'POST /v1/completions HTTP/1.1\r\nhost: entry\r\n' +
      `authorization: Bearer ${callerKey}\r\n` +
      'content-type: application/json\r\ncontent-length: 100\r\n\r\n{"model"',
  );
  const responseText = await streamText(socket);
  t.true(responseText.startsWith('HTTP/1.1 408 '));
  t.is(parseErrorNumber(responseText.slice(responseText.indexOf('{'))), 1004);
  t.deepEqual(engine.startedGenerationIds, []);
});

test('every JSON body gets a numbered error below 2000 and no server error', async t => {
  const { startDaemon } = await startTestDeployment(t);
  const { callerAddress } = await startDaemon('entry-1');
  const property = fc.asyncProperty(fc.json({ maxDepth: 3 }), async body => {
    const { status, text } = await sendRequest(callerAddress, { body });
    return status < 500 && parseErrorNumber(text) < 2_000;
  });
  await fc.assert(property, { seed: propertySeed, numRuns: 60 });
  t.pass();
});

test('a stopping daemon completes a running generation', async t => {
  const { startDaemon, engine } = await startTestDeployment(t, {
    decodeMs: 10,
  });
  const { callerAddress, daemon } = await startDaemon('entry-1');
  const body = { model: 'style', prompt: 'hola', max_tokens: 60 };
  const responsePromise = sendRequest(callerAddress, {
    body: JSON.stringify(body),
  });
  while (engine.startedGenerationIds.length === 0) await setImmediate();
  await daemon.stop();
  const { status, text } = await responsePromise;
  t.is(status, 200);
  t.true(text.includes(createCompletionText('hola', modelId, 60)));
});

test('a stream cut off at the end of the grace period resumes through another instance', async t => {
  const { startDaemon, engine } = await startTestDeployment(t, {
    decodeMs: 20,
  });
  const first = await startDaemon('entry-1', 200);
  const second = await startDaemon('entry-2');
  const body = JSON.stringify({
    model: 'style',
    prompt: 'hola',
    max_tokens: 60,
    stream: true,
  });
  const response = await request(
    `http://${first.callerAddress}/v1/completions`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${callerKey}`,
        'content-type': 'application/json',
      },
      body,
    },
  );
  const id = String(response.headers['x-request-id']);
  const [partialText] = await Promise.all([
    response.body.text(),
    first.daemon.stop(),
  ]);
  t.true(partialText.includes('"number":3008'));
  t.true(partialText.includes('"executed":"unknown"'));
  const path = `/v1/responses/${id}?stream=false`;
  const otherCustomerResponse = await sendRequest(second.callerAddress, {
    path,
    key: otherCallerKey,
  });
  t.is(parseErrorNumber(otherCustomerResponse.text), 1011);
  const { text } = await sendRequest(second.callerAddress, { path });
  t.true(text.includes(createCompletionText('hola', modelId, 60)));
  t.is(engine.startedGenerationIds.length, 1);
});

test('an operation sent twice through two instances runs once', async t => {
  const { startDaemon, service } = await startTestDeployment(t);
  const first = await startDaemon('entry-1');
  const second = await startDaemon('entry-2');
  const options = {
    path: publishPath,
    body: '{"rule":7}',
    headers: { 'idempotency-key': 'amendment-7' },
  };
  const responses = await Promise.all([
    sendRequest(first.callerAddress, options),
    sendRequest(second.callerAddress, options),
    sendRequest(second.callerAddress, options),
  ]);
  t.deepEqual([...new Set(responses.map(({ status }) => status))], [200]);
  t.is(new Set(responses.map(({ text }) => text)).size, 1);
  t.is(service.executions.length, 1);
  const changedBodyResponse = await sendRequest(first.callerAddress, {
    ...options,
    body: '{"rule":8}',
  });
  t.is(parseErrorNumber(changedBodyResponse.text), 2002);
});
