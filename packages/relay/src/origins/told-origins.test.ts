/** What instances tell each other of streams that were sent to several targets. */
import { setTimeout as pause } from 'node:timers/promises';

import fc from 'fast-check';
import test from 'ava';

import { createConnectedRelay } from '../fixtures/connected-relay.js';
import { sendIncompleteResponse } from '../fixtures/fake-target-client.js';
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
