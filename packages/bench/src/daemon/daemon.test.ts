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

const sendRequest = async (caller: string, sending: RequestOptions) => {
  const { path = '/v1/completions', key = callerKey, body } = sending;
  const answer = await request(`http://${caller}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      ...sending.headers,
    },
    ...(body === undefined ? {} : { body }),
  });
  return { status: answer.statusCode, text: await answer.body.text() };
};

/** Number of the error, which every refusal must carry. */
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

test('bad input gets a numbered error and runs nothing', async t => {
  const { startDaemon: start, engine, service } = await startTestDeployment(t);
  const { callerAddress: caller } = await start('entry-1');
  for (const [name, sending, number] of refusedRequests) {
    const { text } = await sendRequest(caller, sending);
    t.is(parseErrorNumber(text), number, name);
  }
  t.deepEqual(engine.startedGenerationIds, []);
  t.deepEqual(service.executions, []);
});

test('a body that trickles in gets a numbered answer and is closed', async t => {
  const { startDaemon: start, engine } = await startTestDeployment(t);
  const { callerAddress: caller } = await start('entry-1');
  const { hostname, port } = new URL(`http://${caller}`);
  const socket = connect(Number(port), hostname);
  socket.write(
    'POST /v1/completions HTTP/1.1\r\nhost: entry\r\n' +
      `authorization: Bearer ${callerKey}\r\n` +
      'content-type: application/json\r\ncontent-length: 100\r\n\r\n{"model"',
  );
  const answer = await streamText(socket);
  t.true(answer.startsWith('HTTP/1.1 408 '));
  t.is(parseErrorNumber(answer.slice(answer.indexOf('{'))), 1004);
  t.deepEqual(engine.startedGenerationIds, []);
});

test('no JSON body gets an unnumbered answer or a defect', async t => {
  const { startDaemon: start } = await startTestDeployment(t);
  const { callerAddress: caller } = await start('entry-1');
  const property = fc.asyncProperty(fc.json({ maxDepth: 3 }), async body => {
    const { status, text } = await sendRequest(caller, { body });
    return status < 500 && parseErrorNumber(text) < 2_000;
  });
  await fc.assert(property, { seed: propertySeed, numRuns: 60 });
  t.pass();
});

test('a stop lets a running stream end whole', async t => {
  const { startDaemon: start, engine } = await startTestDeployment(t, {
    decodeMs: 10,
  });
  const { callerAddress: caller, daemon } = await start('entry-1');
  const body = { model: 'style', prompt: 'hola', max_tokens: 60 };
  const answer = sendRequest(caller, { body: JSON.stringify(body) });
  while (engine.startedGenerationIds.length === 0) await setImmediate();
  await daemon.stop();
  const { status, text } = await answer;
  t.is(status, 200);
  t.true(text.includes(createCompletionText('hola', modelId, 60)));
});

test('a stream cut by the grace period goes on through another instance', async t => {
  const { startDaemon: start, engine } = await startTestDeployment(t, {
    decodeMs: 20,
  });
  const first = await start('entry-1', 200);
  const second = await start('entry-2');
  const body = JSON.stringify({
    model: 'style',
    prompt: 'hola',
    max_tokens: 60,
    stream: true,
  });
  const answer = await request(`http://${first.callerAddress}/v1/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${callerKey}`,
      'content-type': 'application/json',
    },
    body,
  });
  const id = String(answer.headers['x-request-id']);
  const [started] = await Promise.all([
    answer.body.text(),
    first.daemon.stop(),
  ]);
  t.true(started.includes('"number":3008'));
  t.true(started.includes('"executed":"unknown"'));
  const path = `/v1/responses/${id}?stream=false`;
  const stranger = await sendRequest(second.callerAddress, {
    path,
    key: otherCallerKey,
  });
  t.is(parseErrorNumber(stranger.text), 1011);
  const { text } = await sendRequest(second.callerAddress, { path });
  t.true(text.includes(createCompletionText('hola', modelId, 60)));
  t.is(engine.startedGenerationIds.length, 1);
});

test('an operation sent twice through two instances runs once', async t => {
  const { startDaemon: start, service } = await startTestDeployment(t);
  const first = await start('entry-1');
  const second = await start('entry-2');
  const sending = {
    path: publishPath,
    body: '{"rule":7}',
    headers: { 'idempotency-key': 'amendment-7' },
  };
  const answers = await Promise.all([
    sendRequest(first.callerAddress, sending),
    sendRequest(second.callerAddress, sending),
    sendRequest(second.callerAddress, sending),
  ]);
  t.deepEqual([...new Set(answers.map(({ status }) => status))], [200]);
  t.is(new Set(answers.map(({ text }) => text)).size, 1);
  t.is(service.executions.length, 1);
  const other = await sendRequest(first.callerAddress, {
    ...sending,
    body: '{"rule":8}',
  });
  t.is(parseErrorNumber(other.text), 2002);
});
