/** Answers of which a part came from one target before the next one was asked. */
import test from 'ava';

import type { SendScript } from '../fixtures/fake-target-client.js';
import {
  createPrompt,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { createTestRelay } from '../fixtures/test-relay.js';
import type { SendOutcome } from './target-client.js';

/** The answer of one target; it breaks off unless it is whole. */
interface ScriptedAnswer {
  readonly status?: number;
  readonly type?: string;
  readonly text?: string;
  readonly isWhole?: boolean;
}

const brokenOutcome: SendOutcome = {
  kind: 'broken',
  phase: 'answering',
  reason: 'reset',
};

const createScript =
  ({
    status = 200,
    type = 'text/event-stream',
    text = '',
    isWhole = false,
  }: ScriptedAnswer): SendScript =>
  (_target, _options, sink) => {
    const headers = ['Content-Type', type];
    const isAccepted = sink.onHead({
      status,
      headers,
      isCloseDelimited: false,
    });
    if (isAccepted && text !== '') sink.onData(Buffer.from(text));
    if (!isWhole) return Promise.resolve(brokenOutcome);
    const kind = isAccepted ? 'whole' : 'declined';
    return Promise.resolve({ kind, status });
  };

/** Serves a resumable stream; each target gives the next answer of the list. */
const serveStream = async (answers: readonly ScriptedAnswer[]) => {
  const { serve, client } = createTestRelay({
    route: {
      kind: 'stream',
      services: [{ name: 'engines', weight: 1 }],
      timeoutMs: 5_000,
      latencyTargetMs: 1_000,
      resumable: true,
      maxAttempts: answers.length,
    },
    targets: ['d1', 'd2', 'd3'].map(id =>
      createTargetRecord(id, { service: 'engines', role: 'decode', slots: 8 }),
    ),
  });
  client.onSend = (...args) =>
    createScript(answers[client.sends.length - 1] ?? {})(...args);
  const prompt = createPrompt('own', { shared: 0, own: 100 });
  const caller = await serve({ prompt });
  return { caller, client };
};

const firstEvent = 'id: 1\ndata: a\n\n';
const errorPage = { type: 'text/html', text: '<p>failed</p>\n\n' };

// Guards against the text of an error in the middle of a stream that looks complete.
for (const status of [200, 500]) {
  test(`an error page with status ${status} does not go on a stream`, async t => {
    const { caller, client } = await serveStream([
      { text: firstEvent },
      { ...errorPage, status, isWhole: true },
    ]);
    t.is(client.sends.length, 2);
    t.is(caller.text, firstEvent);
    t.true(caller.isAborted);
    t.false(caller.isEnded);
  });
}

// Guards against an empty error that makes a stream end as if it were complete.
test('an empty answer that is no stream does not complete a stream', async t => {
  const { caller } = await serveStream([
    { text: firstEvent },
    { type: 'text/plain', isWhole: true },
  ]);
  t.true(caller.isAborted);
  t.false(caller.isEnded);
});

test('a stream goes on after an error page of another target', async t => {
  const secondEvent = 'id: 2\ndata: b\n\n';
  const { caller, client } = await serveStream([
    { text: firstEvent },
    { ...errorPage, isWhole: true },
    { text: secondEvent, isWhole: true },
  ]);
  t.is(client.sends[2]?.options.resumeAfterEventId, '1');
  t.is(caller.text, firstEvent + secondEvent);
  t.true(caller.isEnded);
});

// Guards against the text of an error under the head of a target that broke off before.
test('the head of a target that broke off before its first event is not kept', async t => {
  const { caller } = await serveStream([
    { text: 'id: 1\nda' },
    { status: 404, type: 'text/plain', text: 'no such title', isWhole: true },
  ]);
  t.is(caller.status, 404);
  t.is(caller.text, 'no such title');
});

// Guards against events that are appended to the text of an error.
test('an error that breaks off is not gone on with by a stream', async t => {
  const { caller } = await serveStream([
    { status: 404, type: 'text/plain', text: 'no such ' },
    { text: firstEvent, isWhole: true },
  ]);
  t.is(caller.status, 404);
  t.is(caller.text, 'no such ');
  t.true(caller.isAborted);
});

// Guards against events that come twice, as no target could be told where to go on.
test('a stream whose events have no ids is not begun anew', async t => {
  const event = 'data: a\n\n';
  const { caller, client } = await serveStream([
    { text: event },
    { text: event, isWhole: true },
  ]);
  t.is(client.sends.length, 1);
  t.is(caller.text, event);
  t.true(caller.isAborted);
});
