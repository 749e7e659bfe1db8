import test from 'ava';

import { FakeCaller } from '../fixtures/fake-caller.js';
import {
  sendIncompleteResponse,
  waitForAbort,
  sendCompleteResponse,
} from '../fixtures/fake-target-client.js';
import { installPausedClock } from '../fixtures/paused-clock.js';
import { createRequest } from '../fixtures/relay-fixtures.js';
import { createTestRelay } from '../fixtures/test-relay.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';

import { Relay } from './relay.js';

test('an answer is forwarded to the caller and logged once', async t => {
  const { serve, client, log } = createTestRelay();
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.true(caller.isEnded);
  t.is(client.sends.length, 1);
  t.is(log.entries.filter(e => e.name === 'request_answered').length, 1);
});

test('without a configuration a request is rejected as not ready', async t => {
  const { client, log } = createTestRelay();
  const relay = new Relay({
    ...createTestRelay().dependencies,
    routes: new RouteTableHolder(log),
  });
  const caller = new FakeCaller();
  await relay.serve(createRequest(), caller);
  t.is(caller.failure?.code, 'not_ready');
  t.is(caller.failure?.status, 503);
  t.is(client.sends.length, 0);
});

test('a request for an unknown path is rejected without a send', async t => {
  const { serve, client } = createTestRelay();
  const caller = await serve({ url: '/other/' });
  t.is(caller.failure?.status, 404);
  t.is(client.sends.length, 0);
});

test('an idempotent request is retried at another target after a 500', async t => {
  const { serve, client } = createTestRelay();
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? sendCompleteResponse(sink, 'sorry', 500)
        : sendCompleteResponse(sink, 'ok'),
    );
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.is(new Set(client.sends.map(({ target }) => target)).size, 2);
});

test('a broken short answer of an idempotent request is not forwarded', async t => {
  const { serve, client } = createTestRelay();
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? sendIncompleteResponse(sink, 'hal')
        : sendCompleteResponse(sink, 'whole'),
    );
  const caller = await serve();
  t.is(caller.text, 'whole');
});

test('a non-idempotent request that may have run is not retried', async t => {
  const { serve, client } = createTestRelay({
    route: { kind: 'non_idempotent' },
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(sendIncompleteResponse(sink, ''));
  const caller = await serve();
  t.is(client.sends.length, 1);
  t.is(caller.failure?.status, 502);
  t.is(caller.failure?.executed, 'unknown');
});

test('a request that the target has not executed is sent to another', async t => {
  const { serve, client } = createTestRelay({
    route: { kind: 'non_idempotent' },
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? {
            kind: 'not_executed',
            status: 503,
            misdirected: false,
            wantsQuiet: false,
          }
        : sendCompleteResponse(sink, 'ok'),
    );
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.is(client.sends.length, 2);
});

test('without retries left the failure is not executed, with a retry delay', async t => {
  const { serve, client } = createTestRelay({
    route: { kind: 'non_idempotent' },
    retryAllowance: 0,
  });
  client.onSend = () =>
    Promise.resolve({
      kind: 'not_executed',
      status: 503,
      misdirected: false,
      wantsQuiet: false,
    });
  const caller = await serve();
  t.is(caller.failure?.status, 503);
  t.is(caller.failure?.executed, 'no');
  t.true((caller.failure?.retryAfterMs ?? 0) > 0);
  t.is(client.sends.length, 1);
});

test.serial(
  'a request to a silent target ends at its timeout, outcome unknown',
  async t => {
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
  },
);

test.serial('the send is aborted when the caller disconnects', async t => {
  installPausedClock(t);
  const { relay, client } = createTestRelay();
  let hasEnded = false;
  client.onSend = async (_target, { signal }) => {
    await waitForAbort(signal);
    hasEnded = true;
    return { kind: 'aborted' };
  };
  const caller = new FakeCaller();
  const serving = relay.serve(createRequest(), caller);
  caller.disconnectController.abort();
  await serving;
  t.true(hasEnded);
  t.is(caller.failure, undefined);
});

test('a request that crashed three targets is rejected', async t => {
  const { serve, client, crashes } = createTestRelay();
  for (const target of ['x1', 'x2', 'x3']) {
    crashes.recordSuspectedCrash({ fingerprint: 'f1' }, { id: target });
    crashes.confirmCrash(target);
  }
  const caller = await serve();
  t.is(caller.failure?.code, 'poison_request');
  t.is(client.sends.length, 0);
});

test('a connection that cannot be opened does not use up a retry', async t => {
  const { serve, client, dependencies } = createTestRelay({
    route: { kind: 'non_idempotent' },
  });
  const retriesBefore =
    dependencies.serviceStates.getState('api').retryBudget.remainingRetries;
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? { kind: 'broken', phase: 'connecting', reason: 'refused' }
        : sendCompleteResponse(sink, 'ok'),
    );
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.true(
    dependencies.serviceStates.getState('api').retryBudget.remainingRetries >=
      retriesBefore,
  );
});

test('a request that could outlast the shutdown grace time is rejected', async t => {
  const { client, dependencies } = createTestRelay({
    route: { timeoutMs: 5_000 },
  });
  const relay = new Relay({ ...dependencies, getRemainingMs: () => 3_000 });
  const longRequestCaller = new FakeCaller();
  await relay.serve(createRequest(), longRequestCaller);
  t.is(longRequestCaller.failure?.code, 'shutting_down');
  t.is(longRequestCaller.failure?.executed, 'no');
  t.is(client.sends.length, 0);
  const shortRequestCaller = new FakeCaller();
  await relay.serve(
    createRequest({ callerTimeoutMs: 1_000 }),
    shortRequestCaller,
  );
  t.is(shortRequestCaller.text, 'ok');
});

test('a process with a long event loop delay rejects requests unexecuted', async t => {
  const { dependencies, client } = createTestRelay();
  const relay = new Relay({
    ...dependencies,
    getEventLoopDelayMs: () => 1_300,
  });
  const caller = new FakeCaller();
  await relay.serve(createRequest({}), caller);
  t.is(caller.failure?.code, 'overloaded');
  t.is(caller.failure?.executed, 'no');
  t.is(caller.failure?.retryAfterMs, 1_300);
  t.is(client.sends.length, 0);
});

test('a request whose deadline passed before processing is not sent', async t => {
  for (const kind of ['idempotent', 'non_idempotent'] as const) {
    const { serve, client } = createTestRelay({ route: { kind } });
    const arrivedAtMs = performance.now() - 800;
    const caller = await serve({ arrivedAtMs, callerTimeoutMs: 70 });
    t.is(caller.failure?.code, 'deadline_exceeded');
    t.is(caller.failure?.executed, 'no');
    t.is(client.sends.length, 0);
  }
});

test('a target that asked for a pause is passed over and not taken for defective', async t => {
  const { serve, client, targetRegistry } = createTestRelay();
  client.onSend = ({ id }, _options, sink) => {
    if (id !== 't1') return Promise.resolve(sendCompleteResponse(sink, 'ok'));
    targetRegistry.findTarget(id)?.startQuietPeriod(700);
    return Promise.resolve({
      kind: 'not_executed',
      status: 503,
      misdirected: false,
      wantsQuiet: true,
    });
  };
  for (const id of ['t2', 't3']) targetRegistry.findTarget(id)?.startRequest();
  const caller = await serve();
  t.is(caller.status, 200);
  t.false(targetRegistry.findTarget('t1')?.isAvoided);
  await serve();
  t.is(client.sends.filter(({ target }) => target === 't1').length, 1);
});

test('a request is rejected at once, with the time to come back, when all targets asked for a pause', async t => {
  const { serve, client, targetRegistry } = createTestRelay();
  for (const [id, quietMs] of [
    ['t1', 3_000],
    ['t2', 1_500],
    ['t3', 2_000],
  ] as const) {
    targetRegistry.findTarget(id)?.startQuietPeriod(quietMs);
  }
  const { failure } = await serve();
  t.is(failure?.code, 'no_target');
  t.is(failure?.executed, 'no');
  t.true((failure?.retryAfterMs ?? 0) > 1_400);
  t.true((failure?.retryAfterMs ?? 0) <= 1_500);
  t.is(client.sends.length, 0);
});
