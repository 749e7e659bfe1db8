import test from 'ava';

import { FakeCaller } from '../fixtures/fake-caller.js';
import {
  sendBrokenAnswer,
  waitForAbort,
  sendWholeAnswer,
} from '../fixtures/fake-target-client.js';
import { installPausedClock } from '../fixtures/paused-clock.js';
import { createRequest } from '../fixtures/relay-fixtures.js';
import { createTestRelay } from '../fixtures/test-relay.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';

import { Relay } from './relay.js';

test('an answer goes to its caller and one line tells of it', async t => {
  const { serve, client, log } = createTestRelay();
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.true(caller.isEnded);
  t.is(client.sends.length, 1);
  t.is(log.entries.filter(e => e.name === 'request_answered').length, 1);
});

test('without a configuration the refusal says when to come back', async t => {
  const { client, log } = createTestRelay();
  const relay = new Relay({
    ...createTestRelay().parts,
    routes: new RouteTableHolder(log),
  });
  const caller = new FakeCaller();
  await relay.serve(createRequest(), caller);
  t.is(caller.failure?.code, 'not_ready');
  t.is(caller.failure?.status, 503);
  t.is(client.sends.length, 0);
});

test('an unknown path is refused without a send', async t => {
  const { serve, client } = createTestRelay();
  const caller = await serve({ url: '/other/' });
  t.is(caller.failure?.status, 404);
  t.is(client.sends.length, 0);
});

test('an idempotent request is tried at another target after an error', async t => {
  const { serve, client } = createTestRelay();
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? sendWholeAnswer(sink, 'sorry', 500)
        : sendWholeAnswer(sink, 'ok'),
    );
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.is(new Set(client.sends.map(({ target }) => target)).size, 2);
});

test('a broken short answer of an idempotent request is never seen', async t => {
  const { serve, client } = createTestRelay();
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? sendBrokenAnswer(sink, 'hal')
        : sendWholeAnswer(sink, 'whole'),
    );
  const caller = await serve();
  t.is(caller.text, 'whole');
});

test('a request that may have run is sent once and not called unrun', async t => {
  const { serve, client } = createTestRelay({
    route: { kind: 'non_idempotent' },
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(sendBrokenAnswer(sink, ''));
  const caller = await serve();
  t.is(client.sends.length, 1);
  t.is(caller.failure?.status, 502);
  t.is(caller.failure?.executed, 'unknown');
});

test('a target that has not run a request leaves it to another one', async t => {
  const { serve, client } = createTestRelay({
    route: { kind: 'non_idempotent' },
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? { kind: 'not_executed', status: 503, misdirected: false }
        : sendWholeAnswer(sink, 'ok'),
    );
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.is(client.sends.length, 2);
});

test('without retries left the refusal is true and names a time', async t => {
  const { serve, client } = createTestRelay({
    route: { kind: 'non_idempotent' },
    retryAllowance: 0,
  });
  client.onSend = () =>
    Promise.resolve({ kind: 'not_executed', status: 503, misdirected: false });
  const caller = await serve();
  t.is(caller.failure?.status, 503);
  t.is(caller.failure?.executed, 'no');
  t.true((caller.failure?.retryAfterMs ?? 0) > 0);
  t.is(client.sends.length, 1);
});

test.serial('a silent target ends with the route, outcome unknown', async t => {
  const clock = installPausedClock(t);
  const { serve, client } = createTestRelay({
    route: { kind: 'non_idempotent' },
  });
  client.onSend = async (_target, { signal }) => {
    await waitForAbort(signal);
    return { kind: 'aborted' };
  };
  const serving = serve();
  await clock.tickAsync(1_000);
  const caller = await serving;
  t.is(caller.failure?.status, 504);
  t.is(caller.failure?.executed, 'unknown');
});

test.serial('a caller that leaves ends the send', async t => {
  installPausedClock(t);
  const { relay, client } = createTestRelay();
  let ended = false;
  client.onSend = async (_target, { signal }) => {
    await waitForAbort(signal);
    ended = true;
    return { kind: 'aborted' };
  };
  const caller = new FakeCaller();
  const serving = relay.serve(createRequest(), caller);
  caller.disconnectController.abort();
  await serving;
  t.true(ended);
  t.is(caller.failure, undefined);
});

test('a request that crashed three targets is refused', async t => {
  const { serve, client, crashes } = createTestRelay();
  for (const target of ['x1', 'x2', 'x3']) {
    crashes.recordSuspectedCrash('f1', target);
    crashes.confirmCrash(target);
  }
  const caller = await serve();
  t.is(caller.failure?.code, 'poison_request');
  t.is(client.sends.length, 0);
});

test('a connection that cannot be opened takes no retry', async t => {
  const { serve, client, parts } = createTestRelay({
    route: { kind: 'non_idempotent' },
  });
  const before =
    parts.serviceStates.getState('api').retryBudget.remainingRetries;
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? { kind: 'broken', phase: 'connecting', reason: 'refused' }
        : sendWholeAnswer(sink, 'ok'),
    );
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.true(
    parts.serviceStates.getState('api').retryBudget.remainingRetries >= before,
  );
});

test('a request that would outlive the process is refused unrun', async t => {
  const { client, parts } = createTestRelay({ route: { timeoutMs: 5_000 } });
  const relay = new Relay({ ...parts, getRemainingMs: () => 3_000 });
  const long = new FakeCaller();
  await relay.serve(createRequest(), long);
  t.is(long.failure?.code, 'shutting_down');
  t.is(long.failure?.executed, 'no');
  t.is(client.sends.length, 0);
  const short = new FakeCaller();
  await relay.serve(createRequest({ callerTimeoutMs: 1_000 }), short);
  t.is(short.text, 'ok');
});

test('a process that is far behind turns requests away unrun', async t => {
  const { parts, client } = createTestRelay();
  const relay = new Relay({ ...parts, getEventLoopDelayMs: () => 1_300 });
  const caller = new FakeCaller();
  await relay.serve(createRequest({}), caller);
  t.is(caller.failure?.code, 'overloaded');
  t.is(caller.failure?.executed, 'no');
  t.is(caller.failure?.retryAfterMs, 1_300);
  t.is(client.sends.length, 0);
});

test('a request whose time was over before it was read is not sent', async t => {
  for (const kind of ['idempotent', 'non_idempotent'] as const) {
    const { serve, client } = createTestRelay({ route: { kind } });
    const arrivedMs = performance.now() - 800;
    const caller = await serve({ arrivedAtMs: arrivedMs, callerTimeoutMs: 70 });
    t.is(caller.failure?.code, 'deadline_exceeded');
    t.is(caller.failure?.executed, 'no');
    t.is(client.sends.length, 0);
  }
});
