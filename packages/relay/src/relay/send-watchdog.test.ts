/** Sends that are given up, or not, after probes of their silent targets. */
import test from 'ava';

import {
  sendCompleteResponse,
  sendIncompleteResponse,
  waitForAbort,
} from '../fixtures/fake-target-client.js';
import type {
  FakeTargetClient,
  SendScript,
} from '../fixtures/fake-target-client.js';
import {
  createEngineRecords,
  createLongPrompt,
  createStreamRoute,
} from '../fixtures/generation-fixtures.js';
import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createPrompt,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { createTestRelay } from '../fixtures/test-relay.js';
import type { ProbeResult } from '../targets/target-probe.js';

const engineRecords = createEngineRecords();
const streamRoute = createStreamRoute(8_000);

const longPrompt = createLongPrompt();

const sleep = (ms: number) =>
  new Promise<void>(resolve => {
    setTimeout(resolve, ms);
  });

// Guards against a second run of a request that may run once (TWICE): a probe that ends after
// its prefill must not take a retry for what is sent later.
test.serial(
  'a probe that ends after the prefill lets no other send run twice',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay({
      route: { ...streamRoute, resumable: false, maxAttempts: 1 },
      targets: engineRecords,
    });
    const probes: string[] = [];
    client.probe = async ({ id }) => {
      probes.push(id);
      await sleep(350);
      return 'no_connection' satisfies ProbeResult;
    };
    client.onPrefill = async ({ address, id }) => {
      while (probes.length === 0) await sleep(20);
      await sleep(100);
      return { kind: 'read', handover: { address, handle: id } };
    };
    client.onSend = async (_target, _options, sink) => {
      await sleep(600);
      return client.sends.length === 1
        ? { kind: 'broken', phase: 'sent', reason: 'reset' }
        : sendIncompleteResponse(sink, 'id: 1\n\n');
    };
    const serving = serve({ prompt: longPrompt });
    await clock.tickAsync(9_000);
    await serving;
    t.is(client.prefills.length, 1);
    t.is(client.sends.length, 1);
  },
);

// Guards against a stream that is given up although it goes on (LOST, TWICE).
test.serial(
  'a stream that went on during a probe is not given up for its result',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay({
      route: { ...streamRoute, resumable: true, maxAttempts: 3 },
      targets: engineRecords,
    });
    let probeCount = 0;
    client.probe = async () => {
      probeCount += 1;
      await sleep(350);
      return 'no_connection' satisfies ProbeResult;
    };
    client.onSend = async (_target, { signal }, sink) => {
      sink.onHead({ status: 200, headers: [], isCloseDelimited: false });
      if (client.sends.length > 1) {
        sink.onData(Buffer.from('id: 9\n\n'));
        return { kind: 'whole', status: 200 };
      }
      sink.onData(Buffer.from('id: 1\n\n'));
      while (probeCount === 0) await sleep(20);
      for (let i = 2; i < 9; i += 1) {
        await Promise.race([sleep(100), waitForAbort(signal)]);
        if (signal.aborted) return { kind: 'aborted' };
        sink.onData(Buffer.from(`id: ${i}\n\n`));
      }
      return { kind: 'whole', status: 200 };
    };
    const serving = serve({ prompt: createPrompt('own') });
    await clock.tickAsync(9_000);
    const caller = await serving;
    t.is(caller.text.split('\n\n').length, 9);
    t.is(client.sends.length, 1);
  },
);

/** Begins a stream at the first target and stays silent; the others answer at once. */
const standStillAfterFirstEvent =
  (
    client: FakeTargetClient,
    onFirst: () => void = () => undefined,
  ): SendScript =>
  async (_target, { signal }, sink) => {
    sink.onHead({ status: 200, headers: [], isCloseDelimited: false });
    if (client.sends.length > 1) {
      sink.onData(Buffer.from('id: 2\n\n'));
      return { kind: 'whole', status: 200 };
    }
    sink.onData(Buffer.from('id: 1\n\n'));
    onFirst();
    await Promise.race([sleep(2_200), waitForAbort(signal)]);
    if (signal.aborted) return { kind: 'aborted' };
    sink.onData(Buffer.from('id: 2\n\n'));
    return { kind: 'whole', status: 200 };
  };

// Guards against a stream at two targets (TWICE): a probe that is not made says nothing.
test.serial(
  'a target that wants no requests does not count as answering',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client, targetRegistry } = createTestRelay({
      route: { ...streamRoute, resumable: true, maxAttempts: 3 },
      targets: engineRecords,
    });
    client.probeResult = 'silent';
    client.onSend = standStillAfterFirstEvent(client, () => {
      const [send] = client.sends;
      targetRegistry.findTarget(send?.target ?? '')?.startQuietPeriod(5_000);
    });
    const serving = serve({ prompt: createPrompt('own') });
    await clock.tickAsync(9_000);
    await serving;
    t.is(client.sends.length, 1);
  },
);

// Guards against a stream that is given up although it can't go on elsewhere (LOST).
test.serial(
  'a silent stream is awaited while the other engine changes its role',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client, targetRegistry } = createTestRelay({
      route: { ...streamRoute, resumable: true, maxAttempts: 3 },
      targets: engineRecords,
    });
    client.probeResult = 'answers';
    client.onSend = standStillAfterFirstEvent(client, () => {
      for (const id of ['d1', 'd2']) {
        if (id !== client.sends[0]?.target)
          targetRegistry.findTarget(id)?.startRoleChange(10_000);
      }
    });
    const serving = serve({ prompt: createPrompt('own') });
    await clock.tickAsync(9_000);
    const caller = await serving;
    t.is(caller.text, 'id: 1\n\nid: 2\n\n');
  },
);

// Guards against a plain request that is given up although no other target has room (LOST).
test.serial(
  'a silent plain request is awaited while the other targets are full',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client, targetRegistry } = createTestRelay({
      route: { kind: 'idempotent', maxAttempts: 3, timeoutMs: 3_000 },
      targets: [
        createTargetRecord('t1', { slots: 1 }),
        createTargetRecord('t2', { slots: 1 }),
      ],
    });
    client.onSend = async ({ id }, { signal }, sink) => {
      const other = id === 't1' ? 't2' : 't1';
      for (let i = 0; i < 3; i += 1)
        targetRegistry.findTarget(other)?.startRequest();
      targetRegistry.findTarget(other)?.recordActivity();
      const seen = setInterval(
        () => targetRegistry.findTarget(other)?.recordActivity(),
        100,
      );
      await Promise.race([sleep(1_500), waitForAbort(signal)]);
      clearInterval(seen);
      if (signal.aborted) return { kind: 'aborted' };
      return sendCompleteResponse(sink, 'ok');
    };
    const serving = serve();
    await clock.tickAsync(4_000);
    const caller = await serving;
    t.is(caller.text, 'ok');
  },
);

for (const result of ['answers', 'no_connection'] as const) {
  // Guards against a storm of probes while streams are silent that can't go on elsewhere.
  test.serial(
    `a silent stream that can't move probes its target about once a second (${result})`,
    async t => {
      const clock = installPausedClock(t);
      const { serve, client } = createTestRelay({
        route: { ...streamRoute, resumable: true, maxAttempts: 2 },
        targets: engineRecords,
        retryAllowance: 0,
      });
      client.probeResult = result;
      client.onSend = async (_target, { signal }, sink) => {
        sink.onHead({ status: 200, headers: [], isCloseDelimited: false });
        sink.onData(Buffer.from('id: 1\n\n'));
        await Promise.race([sleep(4_600), waitForAbort(signal)]);
        sink.onData(Buffer.from('id: 2\n\n'));
        return { kind: 'whole', status: 200 };
      };
      const serving = serve({ prompt: createPrompt('own') });
      await clock.tickAsync(5_000);
      await serving;
      t.true(client.probedTargetIds.length <= 6);
    },
  );
}

// Guards against repeated runs beyond the route's attempts (BUDGET) and two runs (TWICE).
test.serial(
  'a broken stream of one attempt is not sent again after a prefill without probes',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay({
      route: { ...streamRoute, resumable: false, maxAttempts: 1 },
      targets: engineRecords,
    });
    client.onSend = async () => {
      await sleep(600);
      return { kind: 'broken', phase: 'sent', reason: 'reset' };
    };
    const serving = serve({ prompt: longPrompt });
    await clock.tickAsync(9_000);
    await serving;
    t.is(client.prefills.length, 1);
    t.is(client.sends.length, 1);
  },
);

// Guards against a second run after the caller has events (TWICE), for the same reason as the first test.
test.serial(
  'a stream that broke after its first event is not sent again for a probe of its prefill',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay({
      route: { ...streamRoute, resumable: false, maxAttempts: 1 },
      targets: engineRecords,
    });
    let probeCount = 0;
    client.probe = async () => {
      probeCount += 1;
      await sleep(350);
      return 'no_connection' satisfies ProbeResult;
    };
    client.onPrefill = async ({ address, id }) => {
      while (probeCount === 0) await sleep(20);
      await sleep(100);
      return { kind: 'read', handover: { address, handle: id } };
    };
    client.onSend = async (_target, _options, sink) => {
      await sleep(600);
      return client.sends.length === 1
        ? sendIncompleteResponse(sink, 'id: 1\ndata: a\n\n')
        : sendCompleteResponse(sink, 'id: 1\ndata: b\n\nid: 2\ndata: c\n\n');
    };
    const serving = serve({ prompt: longPrompt });
    await clock.tickAsync(9_000);
    const caller = await serving;
    t.is(client.sends.length, 1);
    t.is(caller.text, 'id: 1\ndata: a\n\n');
  },
);
