import test from 'ava';

import {
  sendIncompleteResponse,
  waitForAbort,
  sendCompleteResponse,
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
import type { TargetRegistry } from '../targets/target-registry.js';

const engineRecords = createEngineRecords();
const streamRoute = createStreamRoute(5_000);

const refusal = {
  kind: 'not_executed',
  status: 503,
  misdirected: false,
  wantsQuiet: false,
} as const;

const longPrompt = createLongPrompt();

test('a long prompt is prefilled at one engine and decoded at another', async t => {
  const { serve, client } = createTestRelay({
    route: streamRoute,
    targets: engineRecords,
  });
  const caller = await serve({ prompt: longPrompt });
  t.is(caller.text, 'ok');
  t.is(client.prefills.length, 1);
  const [prefill] = client.prefills;
  t.is(client.sends[0]?.options.kvCacheHandle?.handle, prefill?.target);
  t.deepEqual(client.releasedKvCaches, []);
});

test('a failed prefill is repeated at another engine before decoding', async t => {
  const { serve, client } = createTestRelay({
    route: streamRoute,
    targets: engineRecords,
  });
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

test('a broken stream that is not resumable is aborted, not resent', async t => {
  const { serve, client } = createTestRelay({
    route: streamRoute,
    targets: engineRecords,
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(sendIncompleteResponse(sink, 'id: 1\ndata: a\n\n'));
  const caller = await serve({ prompt: longPrompt });
  t.is(client.sends.length, 1);
  t.true(caller.isAborted);
  t.false(caller.isEnded);
});

test('a resumable stream continues after its last complete event', async t => {
  const { serve, client } = createTestRelay({
    route: { ...streamRoute, resumable: true },
    targets: engineRecords,
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? sendIncompleteResponse(sink, 'id: 1\ndata: a\n\nid: 2\nda')
        : sendCompleteResponse(sink, 'id: 2\ndata: b\n\n'),
    );
  const caller = await serve({ prompt: longPrompt });
  t.is(caller.text, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  t.is(client.sends[1]?.options.resumeAfterEventId, '1');
  t.not(client.sends[1]?.target, client.sends[0]?.target);
  t.true(caller.isEnded);
});

test('the KV cache of a prefill is released when the request fails', async t => {
  const { serve, client } = createTestRelay({
    route: { ...streamRoute, resumable: false },
    targets: engineRecords,
    retryAllowance: 0,
  });
  client.onSend = () =>
    Promise.resolve({
      kind: 'not_executed',
      status: 503,
      misdirected: false,
      wantsQuiet: false,
    });
  const caller = await serve({ prompt: longPrompt });
  t.is(caller.failure?.executed, 'no');
  t.is(client.releasedKvCaches.length, 1);
});

test.serial(
  'a prefill at an unresponsive engine is aborted and repeated',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay({
      route: streamRoute,
      targets: engineRecords,
    });
    client.onPrefill = async ({ address, id }, { signal }) => {
      if (client.prefills.length > 1) {
        return { kind: 'read', handover: { address, handle: id } };
      }
      await waitForAbort(signal);
      return { kind: 'aborted' };
    };
    client.probeResult = 'silent';
    const serving = serve({ prompt: longPrompt });
    await clock.tickAsync(2_400);
    const caller = await serving;
    t.is(caller.text, 'ok');
    t.is(client.prefills.length, 2);
  },
);

test.serial(
  'a prefill at a busy engine that passes liveness checks is not aborted',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay({
      route: streamRoute,
      targets: engineRecords,
    });
    client.onPrefill = async ({ address, id }, { signal }) => {
      const prefillEnd = new AbortController();
      setTimeout(() => {
        prefillEnd.abort();
      }, 2_300);
      await waitForAbort(AbortSignal.any([signal, prefillEnd.signal]));
      if (signal.aborted) return { kind: 'aborted' };
      return { kind: 'read', handover: { address, handle: id } };
    };
    const serving = serve({ prompt: longPrompt });
    await clock.tickAsync(2_400);
    const caller = await serving;
    t.is(caller.text, 'ok');
    t.is(client.prefills.length, 1);
    t.true(client.probedTargetIds.length > 0);
  },
);

test('a decode engine that starts leaving during the prefill is replaced', async t => {
  const { serve, client, targetRegistry } = createTestRelay({
    route: streamRoute,
    targets: engineRecords,
  });
  client.onPrefill = ({ address, id }) => {
    const leavingRecords = engineRecords.filter(
      ({ id: engineId }) => engineId === 'd1',
    );
    for (const record of leavingRecords)
      targetRegistry.registerTarget({ ...record, leaving: true });
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

/** Sends no answer to the first send and `laterResponse` to all later ones. */
const createHangingFirstSend =
  (client: FakeTargetClient, laterResponse: string): SendScript =>
  async (_target, { signal }, sink) => {
    if (client.sends.length > 1)
      return sendCompleteResponse(sink, laterResponse);
    await waitForAbort(signal);
    return { kind: 'aborted' };
  };

test.serial(
  'an idempotent request without an answer is resent to another target',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay();
    client.onSend = createHangingFirstSend(client, 'ok');
    const serving = serve();
    await clock.tickAsync(600);
    const caller = await serving;
    t.is(caller.text, 'ok');
    t.is(client.sends.length, 2);
  },
);

test.serial(
  'a stalled resumable stream continues at another target',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay({
      route: { ...streamRoute, resumable: true },
      targets: engineRecords,
    });
    client.onSend = createHangingFirstSend(client, 'id: 1\n\n');
    const serving = serve({ prompt: longPrompt });
    await clock.tickAsync(4_900);
    const caller = await serving;
    t.is(caller.text, 'id: 1\n\n');
  },
);

/** Begins a stream that falls silent for the time and then goes on to its end. */
const createPausingSend =
  (silenceMs: number): SendScript =>
  async (_target, { signal }, sink) => {
    sink.onHead({ status: 200, headers: [], isCloseDelimited: false });
    sink.onData(Buffer.from('id: 1\n\n'));
    const silence = new AbortController();
    setTimeout(() => {
      silence.abort();
    }, silenceMs);
    await waitForAbort(AbortSignal.any([signal, silence.signal]));
    if (signal.aborted) return { kind: 'aborted' };
    sink.onData(Buffer.from('id: 2\n\n'));
    return { kind: 'whole', status: 200 };
  };

// Each of the next two guards against a stream that ends because its target is silent, though
// it can't go on anywhere else (LOST).
test.serial(
  'a silent stream is awaited while the retry budget is empty',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay({
      route: { ...streamRoute, resumable: true, maxAttempts: 2 },
      targets: engineRecords,
      retryAllowance: 0,
    });
    client.onSend = createPausingSend(3_500);
    const serving = serve({ prompt: createPrompt('own') });
    await clock.tickAsync(4_000);
    t.is((await serving).text, 'id: 1\n\nid: 2\n\n');
    t.is(client.sends.length, 1);
  },
);

test.serial(
  'a silent stream is awaited while no other engine is alive',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client } = createTestRelay({
      route: { ...streamRoute, resumable: true, maxAttempts: 2 },
      targets: engineRecords.filter(({ id }) => id !== 'd2'),
    });
    client.onSend = createPausingSend(3_500);
    const serving = serve({ prompt: createPrompt('own') });
    await clock.tickAsync(4_000);
    t.is((await serving).text, 'id: 1\n\nid: 2\n\n');
    t.is(client.sends.length, 1);
  },
);

const limitTargets = (
  targetRegistry: TargetRegistry,
  ids: readonly string[],
  requestsPerSecond: number,
): void => {
  for (const id of ids)
    targetRegistry
      .findTarget(id)
      ?.limiter.statement.recordLimit(requestsPerSecond, performance.now());
};

test.serial(
  'no prompt is prefilled when no decode engine may be sent to, and the caller is told when to come back',
  async t => {
    installPausedClock(t);
    const { serve, client, targetRegistry } = createTestRelay({
      route: streamRoute,
      targets: engineRecords,
    });
    limitTargets(targetRegistry, ['d1', 'd2'], 0.5);
    const caller = await serve({ prompt: longPrompt });
    t.is(caller.failure?.code, 'no_target');
    t.is(caller.failure?.executed, 'no');
    t.is(caller.failure?.retryAfterMs, 2_000);
    t.is(client.prefills.length + client.sends.length, 0);
  },
);

test.serial(
  'a limited decode engine is kept for the request whose prompt is prefilled for it',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client, targetRegistry } = createTestRelay({
      route: streamRoute,
      targets: engineRecords,
    });
    limitTargets(targetRegistry, ['d1', 'd2'], 1);
    clock.tick(1_200);
    const callers = await Promise.all(
      [1, 2, 3, 4].map(() => serve({ prompt: longPrompt })),
    );
    t.deepEqual(callers.map(({ text }) => text).sort(), ['', '', 'ok', 'ok']);
    t.is(client.prefills.length, 2);
    t.deepEqual(client.sends.map(({ target }) => target).sort(), ['d1', 'd2']);
    clock.tick(1_000);
    t.is((await serve({ prompt: longPrompt })).text, 'ok');
  },
);

test.serial(
  'a limited prefill engine gets no more prompts than it takes',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client, targetRegistry } = createTestRelay({
      route: streamRoute,
      targets: engineRecords,
    });
    limitTargets(targetRegistry, ['p1'], 1);
    for (let i = 0; i < 10; i += 1) {
      clock.tick(300);
      await serve({ prompt: longPrompt });
    }
    const limitedCount = client.prefills.filter(
      ({ target }) => target === 'p1',
    ).length;
    t.true(limitedCount <= 3, `${limitedCount} prefills`);
    t.true(client.prefills.length > limitedCount);
  },
);

const versionedRecords = [
  createTargetRecord('d1', {
    service: 'engines',
    role: 'decode',
    slots: 8,
    softwareVersion: 'v1',
  }),
  createTargetRecord('d2', {
    service: 'engines',
    role: 'decode',
    slots: 8,
    softwareVersion: 'v2',
  }),
];

const resumableRoute = { ...streamRoute, resumable: true, maxAttempts: 3 };

const createVersionRecord = (id: string) =>
  createTargetRecord(id, {
    service: 'engines',
    role: 'decode',
    softwareVersion: 'v1',
  });

// Guards against a stream that goes on at an engine that restarted at another version while
// the list of targets can't be read.
test('a stream does not go on at an engine that may have restarted', async t => {
  const { serve, client } = createTestRelay({
    route: { ...streamRoute, resumable: true, maxAttempts: 3 },
    targets: ['d1', 'd2'].map(createVersionRecord),
  });
  client.onSend = ({ id }, _options, sink) => {
    client.unknownTargetIds.add(id === 'd1' ? 'd2' : 'd1');
    return Promise.resolve(sendIncompleteResponse(sink, 'id: 1\ndata: a\n\n'));
  };
  const caller = await serve({ prompt: longPrompt });
  t.is(client.sends.length, 1);
  t.true(caller.isAborted);
});

test('a stream that began at an engine that may have restarted does not go on', async t => {
  const { serve, client, origins, log } = createTestRelay({
    route: { ...streamRoute, resumable: true, maxAttempts: 3 },
    targets: ['d1', 'd2'].map(createVersionRecord),
  });
  for (const id of ['d1', 'd2']) client.unknownTargetIds.add(id);
  client.onSend = (_target, _options, sink) => {
    client.unknownTargetIds.clear();
    return Promise.resolve(sendIncompleteResponse(sink, 'id: 1\ndata: a\n\n'));
  };
  const caller = await serve({ id: 'a1', prompt: longPrompt });
  t.is(client.sends.length, 1);
  t.true(caller.isAborted);
  t.is(origins.find('a1'), undefined);
  const [end] = log.entries.filter(({ name }) => name === 'request_ended');
  t.is(end?.fields.began_at, 'unknown');
});

// Guards against streams that go on nowhere while an instance has lost the store.
test('a stream goes on that began at an engine which says that it has not restarted', async t => {
  const { serve, client, origins } = createTestRelay({
    route: { ...streamRoute, resumable: true, maxAttempts: 3 },
    targets: ['d1', 'd2'].map(createVersionRecord),
  });
  for (const id of ['d1', 'd2']) client.unknownTargetIds.add(id);
  client.onVerify = id => client.unknownTargetIds.delete(id);
  client.onSend = async (_target, _options, sink) => {
    // The first event takes longer than the answer of the target.
    await Promise.resolve();
    return sendIncompleteResponse(sink, 'id: 1\ndata: a\n\n');
  };
  await serve({ id: 'a1', prompt: longPrompt });
  t.deepEqual(client.verifiedTargetIds, ['d1']);
  t.is(origins.find('a1')?.softwareVersion, 'v1');
});

test('a stream that broke before its first event may begin at another version', async t => {
  const { serve, client, origins } = createTestRelay({
    route: resumableRoute,
    targets: versionedRecords,
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(
      client.sends.length === 1
        ? sendIncompleteResponse(sink, 'id: 1')
        : sendCompleteResponse(sink, 'id: 1\n\n'),
    );
  const caller = await serve({ id: 'a1', prompt: longPrompt });
  t.is(caller.text, 'id: 1\n\n');
  t.deepEqual(origins.find('a1'), {
    service: 'engines',
    softwareVersion: 'v2',
  });
});

test('a stream ends if no other target of its version is left', async t => {
  const { serve, client } = createTestRelay({
    route: resumableRoute,
    targets: versionedRecords,
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(sendIncompleteResponse(sink, 'id: 1\n\n'));
  const caller = await serve({ id: 'a1', prompt: longPrompt });
  t.is(client.sends.length, 1);
  t.true(caller.isAborted);
});

test('a stream that is taken up goes on at the version that began it', async t => {
  const { serve, client, origins } = createTestRelay({
    route: resumableRoute,
    targets: versionedRecords,
  });
  origins.record('a1', { service: 'engines', softwareVersion: 'v2' });
  const resumption = {
    prompt: longPrompt,
    resumedRequestId: 'a1',
    resumeAfterEventId: '2',
  };
  for (const id of ['a2', 'a3']) await serve({ ...resumption, id });
  t.deepEqual(
    client.sends.map(({ target }) => target),
    ['d2', 'd2'],
  );
});

test('a stream whose version is not known is refused at once, and so is one whose version is gone', async t => {
  const { serve, client, origins } = createTestRelay({
    route: resumableRoute,
    targets: versionedRecords,
  });
  const resumption = {
    prompt: longPrompt,
    resumedRequestId: 'a1',
    resumeAfterEventId: '2',
  };
  const unknown = await serve(resumption);
  t.is(unknown.failure?.code, 'stream_origin_unknown');
  t.is(unknown.failure?.executed, 'no');
  t.true((unknown.failure?.retryAfterMs ?? 0) > 0);
  origins.record('a1', { service: 'engines', softwareVersion: 'v0' });
  const gone = await serve(resumption);
  t.is(gone.failure?.code, 'stream_version_gone');
  t.is(gone.failure?.executed, 'no');
  origins.record('a1', { service: 'other', softwareVersion: 'v1' });
  t.is((await serve(resumption)).failure?.code, 'stream_version_gone');
  t.is(client.sends.length + client.prefills.length, 0);
});

test('a caller that does not name its stream goes on where there was one version', async t => {
  const { serve, client } = createTestRelay({
    route: resumableRoute,
    targets: versionedRecords,
    onlyVersion: 'v1',
  });
  await serve({ prompt: longPrompt, resumeAfterEventId: '2' });
  t.deepEqual(
    client.sends.map(({ target }) => target),
    ['d1'],
  );
});

test('a prompt is read once more only if the retry budget has a retry for that and for the run', async t => {
  const { serve, client } = createTestRelay({
    route: { ...streamRoute, resumable: true },
    targets: engineRecords,
    retryAllowance: 2,
  });
  client.onSend = (_target, _options, sink) =>
    Promise.resolve(sendIncompleteResponse(sink, 'id: 1\ndata: a\n\n'));
  await serve({ prompt: longPrompt });
  t.is(client.sends.length, 1);
  t.is(client.prefills.length, 1);
});

test.serial(
  'a retry that waits for its prefill counts when it is sent',
  async t => {
    const clock = installPausedClock(t);
    const { serve, client, dependencies } = createTestRelay({
      route: { ...streamRoute, timeoutMs: 30_000 },
      targets: engineRecords,
      retryAllowance: 2,
    });
    client.onPrefill = async ({ address, id }) => {
      if (client.prefills.length === 1) return refusal;
      await new Promise(resolve => setTimeout(resolve, 9_000));
      return { kind: 'read', handover: { address, handle: id } };
    };
    const serving = serve({ prompt: longPrompt });
    await clock.tickAsync(9_000);
    const caller = await serving;
    t.is(caller.text, 'ok');
    await clock.tickAsync(3_000);
    const { retryBudget } = dependencies.serviceStates.getState('engines');
    t.true(retryBudget.remainingRetries < 1);
  },
);
