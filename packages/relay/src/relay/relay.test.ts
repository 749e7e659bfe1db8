import test from 'ava';
import { Registry } from 'prom-client';

import { FakeCaller } from '../fixtures/fake-caller.js';
import {
  FakeTargetClient,
  brokenAnswer,
  untilAborted,
  wholeAnswer,
} from '../fixtures/fake-target-client.js';
import { pausedClock } from '../fixtures/paused-clock.js';
import {
  aConfiguration,
  aLog,
  aPrompt,
  aRequest,
  aRoute,
  aTarget,
} from '../fixtures/relay-fixtures.js';
import type { SendScript } from '../fixtures/fake-target-client.js';
import { RelayMetrics } from '../metrics/relay-metrics.js';
import type { RelayRequest } from '../requests/request.js';
import { CrashCounts } from '../retries/crash-counts.js';
import { RouteHolder } from '../routes/route-holder.js';
import type { Route } from '../routes/route.js';
import { DataCenterReach } from '../targets/data-center-reach.js';
import { TargetBook } from '../targets/target-book.js';
import type { TargetRecord } from '../targets/target-record.js';

import { createLivenessCheck } from './liveness.js';
import { Relay } from './relay.js';
import type { RelayParts } from './relay.js';
import { ServiceStates } from './service-state.js';

interface SetUp {
  readonly route?: Partial<Route>;
  readonly targets?: readonly TargetRecord[];
  readonly allowance?: number;
}

const setUp = ({ route = {}, targets, allowance = 50 }: SetUp = {}) => {
  const log = aLog();
  const routes = new RouteHolder(log);
  routes.offer(aConfiguration({ routes: [aRoute(route)] }), 'test');
  const client = new FakeTargetClient();
  const book = new TargetBook({ log, kvTokens: () => 100_000 });
  const registered = targets ?? ['t1', 't2', 't3'].map(id => aTarget(id));
  for (const record of registered) book.register(record);
  const crashes = new CrashCounts();
  const parts: RelayParts = {
    routes,
    targets: book,
    services: new ServiceStates({
      windowMs: 10_000,
      allowed: () => ({ ratio: 0.2, allowance, instances: 1 }),
    }),
    client,
    answers: createLivenessCheck(client),
    crashes,
    reach: new DataCenterReach(),
    metrics: new RelayMetrics(new Registry()),
    log,
    random: () => 0.5,
    dataCenter: 'a',
    crowded: () => false,
    behindMs: () => 0,
    timeLeftMs: () => Infinity,
    onReading: () => undefined,
  };
  const relay = new Relay(parts);
  const serve = async (request: Partial<RelayRequest> = {}) => {
    const caller = new FakeCaller();
    await relay.serve(aRequest(request), caller);
    return caller;
  };
  return { relay, parts, client, book, crashes, log, routes, serve };
};

const engines = [
  aTarget('p1', { service: 'engines', role: 'prefill', slots: 8 }),
  aTarget('p2', { service: 'engines', role: 'prefill', slots: 8 }),
  aTarget('d1', { service: 'engines', role: 'decode', slots: 8 }),
  aTarget('d2', { service: 'engines', role: 'decode', slots: 8 }),
];

const streamRoute: Partial<Route> = {
  kind: 'stream',
  services: [{ name: 'engines', weight: 1 }],
  timeoutMs: 5_000,
  latencyTargetMs: 1_000,
};

const longPrompt = aPrompt('own', { shared: 20_000, own: 5_000 });

test('an answer goes to its caller and one line tells of it', async t => {
  const { serve, client, log } = setUp();
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.true(caller.ended);
  t.is(client.sends.length, 1);
  t.is(log.entries.filter(e => e.name === 'request_answered').length, 1);
});

test('without a configuration the refusal says when to come back', async t => {
  const { client, log } = setUp();
  const relay = new Relay({
    ...setUp().parts,
    routes: new RouteHolder(log),
  });
  const caller = new FakeCaller();
  await relay.serve(aRequest(), caller);
  t.is(caller.failure?.code, 'not_ready');
  t.is(caller.failure?.status, 503);
  t.is(client.sends.length, 0);
});

test('an unknown path is refused without a send', async t => {
  const { serve, client } = setUp();
  const caller = await serve({ url: '/other/' });
  t.is(caller.failure?.status, 404);
  t.is(client.sends.length, 0);
});

test('an idempotent request is tried at another target after an error', async t => {
  const { serve, client } = setUp();
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? wholeAnswer(sink, 'sorry', 500)
        : wholeAnswer(sink, 'ok'),
    );
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.is(new Set(client.sends.map(({ target }) => target)).size, 2);
});

test('a broken short answer of an idempotent request is never seen', async t => {
  const { serve, client } = setUp();
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? brokenAnswer(sink, 'hal')
        : wholeAnswer(sink, 'whole'),
    );
  const caller = await serve();
  t.is(caller.text, 'whole');
});

test('a request that may have run is sent once and not called unrun', async t => {
  const { serve, client } = setUp({ route: { kind: 'non_idempotent' } });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(brokenAnswer(sink, ''));
  const caller = await serve();
  t.is(client.sends.length, 1);
  t.is(caller.failure?.status, 502);
  t.is(caller.failure?.executed, 'unknown');
});

test('a target that has not run a request leaves it to another one', async t => {
  const { serve, client } = setUp({ route: { kind: 'non_idempotent' } });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? { kind: 'not_executed', status: 503, misdirected: false }
        : wholeAnswer(sink, 'ok'),
    );
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.is(client.sends.length, 2);
});

test('without retries left the refusal is true and names a time', async t => {
  const { serve, client } = setUp({
    route: { kind: 'non_idempotent' },
    allowance: 0,
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
  const clock = pausedClock(t);
  const { serve, client } = setUp({ route: { kind: 'non_idempotent' } });
  client.onSend = async (_target, { signal }) => {
    await untilAborted(signal);
    return { kind: 'aborted' };
  };
  const serving = serve();
  await clock.tickAsync(1_000);
  const caller = await serving;
  t.is(caller.failure?.status, 504);
  t.is(caller.failure?.executed, 'unknown');
});

test.serial('a caller that leaves ends the send', async t => {
  pausedClock(t);
  const { relay, client } = setUp();
  let ended = false;
  client.onSend = async (_target, { signal }) => {
    await untilAborted(signal);
    ended = true;
    return { kind: 'aborted' };
  };
  const caller = new FakeCaller();
  const serving = relay.serve(aRequest(), caller);
  caller.leaving.abort();
  await serving;
  t.true(ended);
  t.is(caller.failure, undefined);
});

test('a request that crashed three targets is refused', async t => {
  const { serve, client, crashes } = setUp();
  for (const target of ['x1', 'x2', 'x3']) {
    crashes.suspect('f1', target);
    crashes.crashed(target);
  }
  const caller = await serve();
  t.is(caller.failure?.code, 'poison_request');
  t.is(client.sends.length, 0);
});

test('a long prompt is read apart and handed over', async t => {
  const { serve, client } = setUp({ route: streamRoute, targets: engines });
  const caller = await serve({ prompt: longPrompt });
  t.is(caller.text, 'ok');
  t.is(client.prefills.length, 1);
  const [read] = client.prefills;
  t.is(client.sends[0]?.options.handover?.handle, read?.target);
  t.deepEqual(client.freed, []);
});

test('a prefill that fails is repeated elsewhere, then handed over', async t => {
  const { serve, client } = setUp({ route: streamRoute, targets: engines });
  client.onPrefill = ({ address, id }) =>
    Promise.resolve(
      client.prefills.length === 1
        ? { kind: 'broken', phase: 'sent', reason: 'reset' }
        : { kind: 'read', handover: { address, handle: id } },
    );
  const caller = await serve({ prompt: longPrompt });
  t.is(caller.text, 'ok');
  t.is(client.prefills.length, 2);
});

test('a stream that may not be resumed is broken off, never joined', async t => {
  const { serve, client } = setUp({ route: streamRoute, targets: engines });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(brokenAnswer(sink, 'id: 1\ndata: a\n\n'));
  const caller = await serve({ prompt: longPrompt });
  t.is(client.sends.length, 1);
  t.true(caller.brokenOff);
  t.false(caller.ended);
});

test('a resumable stream goes on after its last whole event', async t => {
  const { serve, client } = setUp({
    route: { ...streamRoute, resumable: true },
    targets: engines,
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? brokenAnswer(sink, 'id: 1\ndata: a\n\nid: 2\nda')
        : wholeAnswer(sink, 'id: 2\ndata: b\n\n'),
    );
  const caller = await serve({ prompt: longPrompt });
  t.is(caller.text, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  t.is(client.sends[1]?.options.resumeAfter, '1');
  t.not(client.sends[1]?.target, client.sends[0]?.target);
  t.true(caller.ended);
});

test('a handover that is not taken is freed', async t => {
  const { serve, client } = setUp({
    route: { ...streamRoute, resumable: false },
    targets: engines,
    allowance: 0,
  });
  client.onSend = () =>
    Promise.resolve({ kind: 'not_executed', status: 503, misdirected: false });
  const caller = await serve({ prompt: longPrompt });
  t.is(caller.failure?.executed, 'no');
  t.is(client.freed.length, 1);
});

test.serial('a prefill at an engine gone dark is given up', async t => {
  const clock = pausedClock(t);
  const { serve, client } = setUp({ route: streamRoute, targets: engines });
  client.onPrefill = async ({ address, id }, { signal }) => {
    if (client.prefills.length > 1) {
      return { kind: 'read', handover: { address, handle: id } };
    }
    await untilAborted(signal);
    return { kind: 'aborted' };
  };
  client.alive = false;
  const serving = serve({ prompt: longPrompt });
  await clock.tickAsync(2_400);
  const caller = await serving;
  t.is(caller.text, 'ok');
  t.is(client.prefills.length, 2);
});

test.serial(
  'a prefill at an engine that is only busy is waited for',
  async t => {
    const clock = pausedClock(t);
    const { serve, client } = setUp({ route: streamRoute, targets: engines });
    client.onPrefill = async ({ address, id }, { signal }) => {
      const late = new AbortController();
      setTimeout(() => {
        late.abort();
      }, 2_300);
      await untilAborted(AbortSignal.any([signal, late.signal]));
      if (signal.aborted) return { kind: 'aborted' };
      return { kind: 'read', handover: { address, handle: id } };
    };
    const serving = serve({ prompt: longPrompt });
    await clock.tickAsync(2_400);
    const caller = await serving;
    t.is(caller.text, 'ok');
    t.is(client.prefills.length, 1);
    t.true(client.asked.length > 0);
  },
);

test('an engine that begins to leave during the prefill gets nothing', async t => {
  const { serve, client, book } = setUp({
    route: streamRoute,
    targets: engines,
  });
  client.onPrefill = ({ address, id }) => {
    const leaving = engines.filter(({ id: name }) => name === 'd1');
    for (const record of leaving) book.register({ ...record, leaving: true });
    return Promise.resolve({
      kind: 'read',
      handover: { address, handle: id },
    });
  };
  for (let i = 0; i < 4; i += 1) await serve({ prompt: longPrompt });
  t.deepEqual(
    new Set(client.sends.map(({ target }) => target)),
    new Set(['d2']),
  );
});

/** Answers nothing to the first send and `then` to the later ones. */
const silentFirst =
  (client: FakeTargetClient, then: string): SendScript =>
  async (_target, { signal }, sink) => {
    if (client.sends.length > 1) return wholeAnswer(sink, then);
    await untilAborted(signal);
    return { kind: 'aborted' };
  };

test.serial(
  'a lost answer of an idempotent call is asked for elsewhere',
  async t => {
    const clock = pausedClock(t);
    const { serve, client } = setUp();
    client.onSend = silentFirst(client, 'ok');
    const serving = serve();
    await clock.tickAsync(600);
    const caller = await serving;
    t.is(caller.text, 'ok');
    t.is(client.sends.length, 2);
  },
);

test.serial(
  'a stalled stream that may be resumed goes on elsewhere',
  async t => {
    const clock = pausedClock(t);
    const { serve, client } = setUp({
      route: { ...streamRoute, resumable: true },
      targets: engines,
    });
    client.onSend = silentFirst(client, 'id: 1\n\n');
    const serving = serve({ prompt: longPrompt });
    await clock.tickAsync(4_900);
    const caller = await serving;
    t.is(caller.text, 'id: 1\n\n');
  },
);

test('a connection that cannot be opened takes no retry', async t => {
  const { serve, client, parts } = setUp({ route: { kind: 'non_idempotent' } });
  const before = parts.services.get('api').retries.left;
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? { kind: 'broken', phase: 'connecting', reason: 'refused' }
        : wholeAnswer(sink, 'ok'),
    );
  const caller = await serve();
  t.is(caller.text, 'ok');
  t.true(parts.services.get('api').retries.left >= before);
});

test('a request that would outlive the process is refused unrun', async t => {
  const { client, parts } = setUp({ route: { timeoutMs: 5_000 } });
  const relay = new Relay({ ...parts, timeLeftMs: () => 3_000 });
  const long = new FakeCaller();
  await relay.serve(aRequest(), long);
  t.is(long.failure?.code, 'shutting_down');
  t.is(long.failure?.executed, 'no');
  t.is(client.sends.length, 0);
  const short = new FakeCaller();
  await relay.serve(aRequest({ patienceMs: 1_000 }), short);
  t.is(short.text, 'ok');
});

test('a process that is far behind turns requests away unrun', async t => {
  const { parts, client } = setUp();
  const relay = new Relay({ ...parts, behindMs: () => 1_300 });
  const caller = new FakeCaller();
  await relay.serve(aRequest({}), caller);
  t.is(caller.failure?.code, 'overloaded');
  t.is(caller.failure?.executed, 'no');
  t.is(caller.failure?.retryAfterMs, 1_300);
  t.is(client.sends.length, 0);
});
