import { waitForAbort } from '@medlarlever/core';
import test from 'ava';

import { FakeCaller } from '../fixtures/fake-caller.js';
import { sendCompleteResponse } from '../fixtures/fake-target-client.js';
import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createPrompt,
  createRequest,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { createTestRelay } from '../fixtures/test-relay.js';
import type { Route } from '../routes/route-configuration.js';

const route: Partial<Route> = {
  kind: 'stream',
  services: [{ name: 'engines', weight: 1 }],
  timeoutMs: 60_000,
  latencyTargetMs: 4_000,
};

/** Takes 40,100 of the 100,000 tokens of an engine. */
const largePrompt = (own: string) =>
  createPrompt(own, { shared: 0, own: 40_000 });

const createRelay = ({ boundsEngineMemory = true } = {}) => {
  const targets = [
    createTargetRecord('d1', { service: 'engines', role: 'decode', slots: 8 }),
  ];
  const parts = createTestRelay({ route, targets, boundsEngineMemory });
  const ends: (() => void)[] = [];
  parts.client.onSend = (_target, _options, sink) =>
    new Promise(resolve => {
      ends.push(() => {
        resolve(sendCompleteResponse(sink, 'ok'));
      });
    });
  const [target] = parts.targetRegistry.listTargets();
  return { ...parts, ends, target };
};

test.serial(
  'an engine gets no more than its memory, whatever slots are free',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client, ends, target } = createRelay();
    const answers = ['a', 'b', 'c'].map(own =>
      serve({ prompt: largePrompt(own) }),
    );
    await clock.tickAsync(200);
    t.is(client.sends.length, 2);
    t.is(target?.heldTokens.tokens, 80_200);
    ends[0]?.();
    await clock.tickAsync(200);
    t.is(client.sends.length, 3);
    ends[1]?.();
    ends[2]?.();
    await clock.tickAsync(10);
    const callers = await Promise.all(answers);
    t.deepEqual(
      callers.map(({ text }) => text),
      ['ok', 'ok', 'ok'],
    );
    t.is(target?.heldTokens.tokens, 0);
  },
);

test.serial(
  'a request that would wait too long is refused at once with a retry time',
  async t => {
    installPausedClock(t);
    const { serve, client } = createRelay();
    for (const own of ['a', 'b', 'c', 'd'])
      void serve({ prompt: largePrompt(own) });
    const caller = await serve({ prompt: largePrompt('g') });
    t.is(caller.failure?.code, 'overloaded');
    t.is(caller.failure?.executed, 'no');
    t.true((caller.failure?.retryAfterMs ?? 0) >= 1_000);
    t.is(client.sends.length, 2);
  },
);

test.serial('a waiting request ends with its caller', async t => {
  const clock = installPausedClock(t);
  const { serve, relay, dependencies } = createRelay();
  for (const own of ['a', 'b']) void serve({ prompt: largePrompt(own) });
  await clock.tickAsync(1);
  const caller = new FakeCaller();
  const prompt = largePrompt('c');
  const end = relay.serve(createRequest({ prompt }), caller);
  await clock.tickAsync(100);
  const { roomQueue } = dependencies.serviceStates.getState('engines');
  t.is(roomQueue.length, 1);
  caller.disconnectController.abort();
  await end;
  t.is(roomQueue.length, 0);
});

// Guards against connections that a stop cuts while their requests wait.
test.serial(
  'a request that waits when the process ends is refused as not run, one at a target as unknown',
  async t => {
    const clock = installPausedClock(t);
    const { serve, relay, client } = createRelay();
    client.onSend = async (_target, { signal }) => {
      await waitForAbort(signal);
      return { kind: 'aborted' };
    };
    const answers = ['a', 'b', 'c'].map(own =>
      serve({ prompt: largePrompt(own) }),
    );
    await clock.tickAsync(200);
    t.is(client.sends.length, 2);
    relay.endUnanswered();
    const callers = await Promise.all(answers);
    t.deepEqual(
      callers.map(({ failure }) => [failure?.code, failure?.status]),
      [
        ['shutting_down', 502],
        ['shutting_down', 502],
        ['shutting_down', 503],
      ],
    );
  },
);

test.serial(
  'an answer that has begun goes on when the process ends',
  async t => {
    const clock = installPausedClock(t);
    const { serve, relay, client, ends } = createRelay();
    const { onSend } = client;
    client.onSend = async (target, options, sink) => {
      sink.onHead({ status: 200, headers: [], isCloseDelimited: false });
      return onSend(target, options, sink);
    };
    const answer = serve({ prompt: largePrompt('a') });
    await clock.tickAsync(200);
    relay.endUnanswered();
    ends[0]?.();
    const { text, failure } = await answer;
    t.is(failure, undefined);
    t.is(text, 'ok');
  },
);

test('a prompt larger than an engine is refused for good', async t => {
  const { serve, client } = createRelay();
  const prompt = createPrompt('x', { shared: 90_000, own: 20_000 });
  const { failure } = await serve({ prompt });
  t.is(failure?.code, 'prompt_too_large');
  t.is(failure?.status, 413);
  t.is(failure?.retryAfterMs, undefined);
  t.deepEqual(client.sends, []);
});

test.serial(
  'where engines put requests back when they are full, no request waits for room',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client, ends } = createRelay({ boundsEngineMemory: false });
    const answers = ['a', 'b', 'c'].map(own =>
      serve({ prompt: largePrompt(own) }),
    );
    await clock.tickAsync(10);
    t.is(client.sends.length, 3);
    for (const end of ends) end();
    await clock.tickAsync(10);
    await Promise.all(answers);
  },
);
