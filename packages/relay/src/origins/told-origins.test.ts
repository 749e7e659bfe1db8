/** What instances tell each other of streams that were sent to several targets. */
import { setTimeout as pause } from 'node:timers/promises';

import fc from 'fast-check';
import test from 'ava';

import { createConnectedRelay } from '../fixtures/connected-relay.js';
import {
  sendCompleteResponse,
  sendIncompleteResponse,
} from '../fixtures/fake-target-client.js';
import { FakeDeployment } from '../fixtures/fake-topology.js';
import {
  createPrompt,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { createTestRelay } from '../fixtures/test-relay.js';
import type { SendOutcome } from '../relay/target-client.js';
import type { Route } from '../routes/route-configuration.js';

/** Longer than the interval between two reports of an instance. */
const reportWaitMs = 400;

const versionsById: Readonly<Record<string, string>> = {
  d1: 'v1',
  d2: 'v2',
  d3: 'v1',
  d4: 'v2',
};

const createRecords = (ids: readonly string[]) =>
  ids.map(id =>
    createTargetRecord(id, {
      service: 'engines',
      role: 'decode',
      slots: 8,
      softwareVersion: versionsById[id],
      startedAtMs: 1,
    }),
  );

const route: Partial<Route> = {
  kind: 'stream',
  services: [{ name: 'engines', weight: 1 }],
  timeoutMs: 5_000,
  latencyTargetMs: 1_000,
  resumable: true,
  maxAttempts: 4,
};

const prompt = createPrompt('own', { shared: 0, own: 100 });
const resumption = {
  prompt,
  resumedRequestId: 'a1',
  resumeAfterEventId: '1',
};
const firstEvent = 'id: 1\ndata: a\n\n';

const refusal: SendOutcome = {
  kind: 'not_executed',
  status: 503,
  misdirected: false,
  wantsQuiet: false,
};

// Guards against a stream that goes on at the version of a target that was only tried before
// it began, at an instance that missed where it began in the end.
for (const state of ['cut off', 'not yet told']) {
  test(`a stream that began at the second target does not go on at the version of the first, at an instance that is ${state}`, async t => {
    const deployment = new FakeDeployment();
    const stop = new AbortController();
    t.teardown(() => {
      stop.abort();
    });
    const startInstance = (self: string) =>
      createConnectedRelay(
        { self, route, targets: createRecords(['d1', 'd2']) },
        deployment,
        stop.signal,
      );
    const one = await startInstance('one');
    const two = await startInstance('two');
    one.client.onSend = async ({ id }, _options, sink) => {
      if (id === 'd1') {
        await pause(reportWaitMs);
        return refusal;
      }
      if (state === 'cut off') deployment.isolatedInstances.add('two');
      return sendIncompleteResponse(sink, firstEvent);
    };
    const first = await one.serve({ id: 'a1', prompt });
    t.is(first.text, firstEvent);
    t.deepEqual(
      one.client.sends.map(({ target }) => target),
      ['d1', 'd2'],
    );
    await two.serve({ id: 'a2', ...resumption });
    const sends = two.client.sends.map(({ target }) => target);
    t.false(sends.includes('d1'), sends.join());
  });
}

/** What one target does with the request, and whether the others hear a report then. */
const stepArbitrary = fc.record({
  answer: fc.constantFrom('refused', 'broken', 'begun'),
  isKnown: fc.boolean(),
  isReported: fc.boolean(),
});

const seed = 2_706;
const runCount = 300;

test('no instance believes in a version that did not make the first event, in 300 random schedules', async t => {
  let resumedCount = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 1, maxLength: 5 }),
      async steps => {
        const targets = createRecords(['d1', 'd2', 'd3', 'd4']);
        const one = createTestRelay({ route, targets });
        const two = createTestRelay({ route, targets });
        const remaining = [...steps];
        let beganAt: string | undefined;
        const exchangeReports = (isReported: boolean) => {
          const begun = one.origins.takeUnreported();
          if (isReported) two.origins.apply(begun);
        };
        one.client.onSend = ({ id }, _options, sink) => {
          const step = remaining.shift();
          const { answer = 'refused', isReported = true } = step ?? {};
          exchangeReports(isReported);
          for (const other of Object.keys(versionsById)) {
            if (step?.isKnown === false) one.client.unknownTargetIds.add(other);
            else one.client.unknownTargetIds.delete(other);
          }
          if (answer === 'refused') return Promise.resolve(refusal);
          if (answer === 'begun') beganAt ??= versionsById[id];
          const text = answer === 'begun' ? firstEvent : 'id: 1';
          return Promise.resolve(sendIncompleteResponse(sink, text));
        };
        await one.serve({ id: 'a1', prompt });
        exchangeReports(steps.at(-1)?.isReported ?? true);
        for (const { client, serve } of [one, two]) {
          client.unknownTargetIds.clear();
          client.sends.length = 0;
          client.onSend = (_target, _options, sink) =>
            Promise.resolve(sendIncompleteResponse(sink, 'id: 2\n\n'));
          await serve({ id: 'a2', ...resumption });
          if (beganAt === undefined) continue;
          resumedCount += client.sends.length;
          for (const { target } of client.sends)
            if (versionsById[target] !== beganAt) return false;
        }
        return true;
      },
    ),
    { numRuns: runCount, seed },
  );
  t.true(resumedCount > 100, `${resumedCount} sends of streams taken up`);
});

/** Registers the target anew, as after a start with another software version. */
const restartTarget = (
  { targetRegistry }: ReturnType<typeof createTestRelay>,
  id: string,
  softwareVersion: string,
) => {
  const [record] = createRecords([id]);
  if (record === undefined) return;
  targetRegistry.registerTarget({ ...record, softwareVersion, startedAtMs: 2 });
};

// Guards against a stream that is told to be of the version that its target had before.
test('a stream has no origin if its target restarts while its first event is awaited', async t => {
  const relay = createTestRelay({
    route,
    targets: createRecords(['d1', 'd3']),
  });
  relay.client.onSend = ({ id }, _options, sink) => {
    restartTarget(relay, id, 'v2');
    return Promise.resolve(sendIncompleteResponse(sink, firstEvent));
  };
  const caller = await relay.serve({ id: 'a1', prompt });
  t.is(caller.text, firstEvent);
  t.true(caller.isAborted);
  t.is(relay.client.sends.length, 1);
  t.is(relay.origins.find('a1'), undefined);
});

// Guards against events of two versions, where an instance hears of a restart in place just
// after it has sent the rest of a stream to the target.
test('a stream within one answer ends before the events of a target that has restarted', async t => {
  const relay = createTestRelay({
    route,
    targets: createRecords(['d1', 'd3']),
  });
  relay.client.onSend = ({ id }, _options, sink) => {
    const isFirst = relay.client.sends.length === 1;
    if (!isFirst) restartTarget(relay, id, 'v2');
    const text = isFirst ? firstEvent : 'id: 2\ndata: b\n\n';
    return Promise.resolve(sendIncompleteResponse(sink, text));
  };
  const caller = await relay.serve({ id: 'a1', prompt });
  t.is(relay.client.sends.length, 2);
  t.is(caller.text, firstEvent);
  t.true(caller.isAborted);
  t.is(relay.origins.find('a1')?.softwareVersion, 'v1');
});

// Guards against the same where a caller takes the stream up, also at a service without engines.
for (const hasPrompt of [true, false]) {
  test(`a stream that is taken up gets no events of a target that has restarted, ${hasPrompt ? 'with' : 'without'} a prompt`, async t => {
    const services = [{ name: hasPrompt ? 'engines' : 'api', weight: 1 }];
    const service = hasPrompt ? 'engines' : 'api';
    const targets = createRecords(['d1']).map(record =>
      hasPrompt ? record : { ...record, service, role: undefined },
    );
    const relay = createTestRelay({ route: { ...route, services }, targets });
    relay.origins.record('a1', { service, softwareVersion: 'v1' });
    relay.client.onSend = (record, _options, sink) => {
      relay.targetRegistry.registerTarget({
        ...record,
        softwareVersion: 'v2',
        startedAtMs: 2,
      });
      return Promise.resolve(sendCompleteResponse(sink, 'id: 2\n\n'));
    };
    const caller = await relay.serve({
      id: 'a2',
      ...resumption,
      prompt: hasPrompt ? prompt : undefined,
    });
    t.is(relay.client.sends.length, 1);
    t.is(caller.text, '');
    t.is(caller.failure?.code, 'target_failed');
    t.is(caller.failure?.executed, 'unknown');
    t.is(relay.origins.find('a1')?.softwareVersion, 'v1');
  });
}

// Guards against a sender that tells the target that it tried before it handed the stream over.
test('a stream that is handed over has the origin of the instance that serves it', async t => {
  const deployment = new FakeDeployment();
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
  });
  const startInstance = (self: string, ids: readonly string[]) => {
    const targets = createRecords(ids).map(record => ({
      ...record,
      service: 'api',
      role: undefined,
    }));
    const services = [{ name: 'api', weight: 1 }];
    const options = { self, route: { ...route, services }, targets };
    return createConnectedRelay(options, deployment, stop.signal);
  };
  const one = await startInstance('one', ['d1', 'd3']);
  const two = await startInstance('two', ['d2']);
  one.client.probeResult = 'no_connection';
  one.client.onSend = target => {
    one.dependencies.targetLink.recordFailure(target);
    return Promise.resolve({
      kind: 'broken',
      phase: 'connecting',
      reason: 'refused',
    });
  };
  two.client.onSend = (_target, _options, sink) =>
    Promise.resolve(sendCompleteResponse(sink, firstEvent));
  const caller = await one.serve({ id: 'a1' });
  t.is(caller.text, firstEvent);
  t.true(one.client.sends.length > 0);
  await pause(reportWaitMs);
  for (const { origins } of [one, two])
    t.is(origins.find('a1')?.softwareVersion, 'v2');
});
