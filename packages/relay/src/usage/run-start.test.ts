/** Tests when a request counts as one whose run a target has begun. */
import test from 'ava';

import {
  sendCompleteResponse,
  sendIncompleteResponse,
} from '../fixtures/fake-target-client.js';
import type { SendScript } from '../fixtures/fake-target-client.js';
import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createPrompt,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { createTestRelay } from '../fixtures/test-relay.js';
import type { Prompt } from '../requests/relay-request.js';
import type { SendOutcome } from '../relay/target-client.js';
import type { Route } from '../routes/route-configuration.js';

const notExecuted: SendOutcome = {
  kind: 'not_executed',
  status: 503,
  misdirected: false,
  wantsQuiet: false,
};

const streamRoute: Partial<Route> = {
  kind: 'stream',
  services: [{ name: 'engines', weight: 1 }],
  timeoutMs: 5_000,
  latencyTargetMs: 1_000,
};

const engineRecords = ['d1', 'd2'].map(id =>
  createTargetRecord(id, { service: 'engines', role: 'decode', slots: 8 }),
);

const event = 'id: 1\ndata: x\n\n';

/** Serves one request with the scripts for its sends, in their order. */
const serveOnce = async ({
  scripts,
  route,
  prompt,
}: {
  readonly scripts: readonly SendScript[];
  readonly route?: Partial<Route>;
  readonly prompt?: Prompt;
}) => {
  const starts: number[] = [];
  const { serve, client } = createTestRelay({
    route,
    targets: prompt === undefined ? undefined : engineRecords,
    onRunStart: (_request, startedAtMs) => {
      starts.push(startedAtMs);
    },
  });
  client.onSend = (...send) => {
    const script = scripts[client.sends.length - 1];
    return script === undefined
      ? Promise.resolve(notExecuted)
      : script(...send);
  };
  await serve({ prompt });
  return { starts, sendCount: client.sends.length };
};

const answer: SendScript = (_target, _options, sink) =>
  Promise.resolve(sendCompleteResponse(sink, 'ok'));
const breakOff: SendScript = (_target, _options, sink) =>
  Promise.resolve(sendIncompleteResponse(sink, ''));
const breakUnanswered: SendScript = () =>
  Promise.resolve({ kind: 'broken', phase: 'sent', reason: 'reset' });
const refuseConnection: SendScript = () =>
  Promise.resolve({ kind: 'broken', phase: 'connecting', reason: 'refused' });
const refuse: SendScript = () => Promise.resolve(notExecuted);

test.serial(
  'a plain request counts at the time of its send, although the answer is late',
  async t => {
    const clock = installPausedClock(t);
    const slowAnswer: SendScript = async (_target, _options, sink) => {
      await clock.tickAsync(700);
      return sendCompleteResponse(sink, 'ok');
    };
    const { starts } = await serveOnce({ scripts: [slowAnswer] });
    t.deepEqual(starts, [0]);
  },
);

test('a request that is sent twice counts once', async t => {
  const { starts, sendCount } = await serveOnce({
    scripts: [breakOff, answer],
  });
  t.is(sendCount, 2);
  t.is(starts.length, 1);
});

test('a request whose outcome stays unknown counts', async t => {
  const { starts } = await serveOnce({
    scripts: [breakUnanswered],
    route: { kind: 'non_idempotent' },
  });
  t.is(starts.length, 1);
});

test('a request that no target has run does not count', async t => {
  const { starts } = await serveOnce({ scripts: [refuse, refuseConnection] });
  t.deepEqual(starts, []);
});

test('a stream counts with its first event', async t => {
  const { starts } = await serveOnce({
    scripts: [
      (_target, _options, sink) =>
        Promise.resolve(sendCompleteResponse(sink, event + event)),
    ],
    route: streamRoute,
    prompt: createPrompt('own'),
  });
  t.is(starts.length, 1);
});

test('a stream that breaks before its first event does not count', async t => {
  const { starts } = await serveOnce({
    scripts: [breakUnanswered, refuse],
    route: streamRoute,
    prompt: createPrompt('own'),
  });
  t.deepEqual(starts, []);
});

test('a stream that goes on at another engine counts once', async t => {
  const { starts, sendCount } = await serveOnce({
    scripts: [
      (_target, _options, sink) =>
        Promise.resolve(sendIncompleteResponse(sink, event)),
      (_target, _options, sink) =>
        Promise.resolve(sendCompleteResponse(sink, event)),
    ],
    route: { ...streamRoute, resumable: true, maxAttempts: 2 },
    prompt: createPrompt('own'),
  });
  t.is(sendCount, 2);
  t.is(starts.length, 1);
});

test('a stream that the engine answers with an error does not count', async t => {
  const { starts } = await serveOnce({
    scripts: [
      (_target, _options, sink) =>
        Promise.resolve(sendCompleteResponse(sink, 'bad', 400)),
    ],
    route: streamRoute,
    prompt: createPrompt('own'),
  });
  t.deepEqual(starts, []);
});
