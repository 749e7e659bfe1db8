/** Tests of the check of keys where a request comes in. */
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';
import { sendIncompleteResponse } from '../fixtures/fake-target-client.js';
import {
  createConfiguration,
  createEngine,
  createPrompt,
  createRoute,
} from '../fixtures/relay-fixtures.js';
import { createTestRelay } from '../fixtures/test-relay.js';
import type { TestRelayOptions } from '../fixtures/test-relay.js';
import { readClocks } from '../shared/clock-reading.js';

const customers = [
  { name: 'first', keyHashes: ['h1'], rank: 0 },
  { name: 'second', keyHashes: ['h2', 'h3'] },
];
const maxKeyDelayMs = 2_000;

const setUp = (t: ExecutionContext, options: TestRelayOptions = {}) => {
  const clock = installPausedClock(t);
  const relay = createTestRelay({ customers, maxKeyDelayMs, ...options });
  /** Records a read that is sent now. */
  const read = () => {
    const sentAt = readClocks();
    relay.freshness.recordRead(
      { sentAt, era: 0, tableVersion: 1, rowVersion: 1 },
      sentAt,
    );
    return Promise.resolve();
  };
  void read();
  return { ...relay, clock, read };
};

test.serial(
  'a request with a known key names its customer on each send, also on one that is repeated',
  async t => {
    const { serve, client } = setUp(t);
    client.onSend = (_target, _options, sink) => {
      client.onSend = (_next, _nextOptions, nextSink) => {
        nextSink.onHead({ status: 200, headers: [], isCloseDelimited: false });
        return Promise.resolve({ kind: 'whole', status: 200 });
      };
      return Promise.resolve(sendIncompleteResponse(sink, ''));
    };
    const caller = await serve({ keyHash: 'h3' });
    t.is(caller.status, 200);
    t.deepEqual(
      client.sends.map(({ customer }) => customer),
      ['second', 'second'],
    );
  },
);

test.serial(
  'a request without a key is refused at once, before anything is read',
  async t => {
    let reads = 0;
    const { serve, client, log } = setUp(t, {
      readConfiguration: () => {
        reads += 1;
        return Promise.resolve();
      },
    });
    const { failure } = await serve();
    t.is(failure?.status, 401);
    t.is(failure?.code, 'unauthenticated');
    t.is(reads, 0);
    t.is(client.sends.length, 0);
    t.true(log.entries.some(({ name }) => name === 'key_refused'));
  },
);

test.serial(
  'an unknown key gets 401 only after a read that was sent since',
  async t => {
    const parts = setUp(t, { readConfiguration: () => parts.read() });
    await parts.clock.tickAsync(100);
    const { failure } = await parts.serve({ keyHash: 'unknown' });
    t.is(failure?.status, 401);
    t.is(parts.client.sends.length, 0);
  },
);

test.serial('a key that was just added is let in by the read', async t => {
  const parts = setUp(t, {
    readConfiguration: () => {
      const added = { name: 'third', keyHashes: ['new'] };
      const configuration = createConfiguration({
        version: 2,
        routes: [createRoute()],
        customers: [...customers, added],
      });
      parts.routes.applyIfNewer(configuration, 'test');
      return parts.read();
    },
  });
  await parts.clock.tickAsync(100);
  const caller = await parts.serve({ keyHash: 'new' });
  t.is(caller.status, 200);
  t.is(parts.client.sends[0]?.customer, 'third');
});

test.serial(
  'an unknown key is 503 and not 401 if no read succeeds within 400 ms',
  async t => {
    const parts = setUp(t, {
      readConfiguration: () => new Promise(() => undefined),
    });
    await parts.clock.tickAsync(100);
    const served = parts.serve({ keyHash: 'unknown' });
    await parts.clock.tickAsync(399);
    t.is(parts.client.sends.length, 0);
    await parts.clock.tickAsync(1);
    const { failure } = await served;
    t.is(failure?.number, 4012);
    t.is(failure?.status, 503);
    t.is(failure?.executed, 'no');
    t.is(failure?.retryAfterMs, 300);
  },
);

test.serial(
  'a known key is refused at once while the configuration is too old',
  async t => {
    const { serve, clock, client, log, read } = setUp(t);
    await clock.tickAsync(1_600);
    t.is((await serve({ keyHash: 'h1' })).status, 200);
    await clock.tickAsync(1);
    const { failure } = await serve({ keyHash: 'h1' });
    t.is(failure?.code, 'key_unverifiable');
    t.is(client.sends.length, 1);
    await read();
    t.is((await serve({ keyHash: 'h1' })).status, 200);
    const states = log.entries
      .filter(({ name }) => name === 'keys_unverifiable')
      .map(({ fields }) => fields.state);
    t.deepEqual(states, ['begin', 'end']);
  },
);

test.serial(
  'a machine that was suspended refuses keys until the next proof',
  async t => {
    const { serve, clock, read } = setUp(t);
    clock.setSystemTime(Date.now() + 60_000);
    t.is((await serve({ keyHash: 'h1' })).failure?.status, 503);
    await read();
    t.is((await serve({ keyHash: 'h1' })).status, 200);
  },
);

test.serial(
  'without a longest delay an old configuration still lets its keys in',
  async t => {
    const { serve, clock } = setUp(t, { maxKeyDelayMs: undefined });
    await clock.tickAsync(100_000);
    t.is((await serve({ keyHash: 'h1' })).status, 200);
  },
);

test.serial(
  'an anonymous route names no customer, whatever key comes',
  async t => {
    const { serve, clock, client } = setUp(t, { route: { anonymous: true } });
    await clock.tickAsync(100_000);
    for (const keyHash of [undefined, 'h1', 'unknown'])
      t.is((await serve({ keyHash })).status, 200);
    t.true(client.sends.every(({ customer }) => customer === undefined));
  },
);

test.serial(
  'a request that was handed over keeps its customer and is not checked again',
  async t => {
    const { serve, clock, client } = setUp(t);
    await clock.tickAsync(100_000);
    const caller = await serve({ forwardedBy: 'other', customer: 'gone' });
    t.is(caller.status, 200);
    t.is(client.sends[0]?.customer, 'gone');
    // An older instance hands requests over unchecked.
    const { failure } = await serve({ forwardedBy: 'other' });
    t.is(failure?.code, 'not_ready');
    t.is(client.sends.length, 1);
  },
);

test.serial(
  "the customer's rank replaces the route's in the urgency",
  async t => {
    const { record } = createEngine('e1', 'decode');
    const { serve, client } = setUp(t, {
      targets: [record],
      route: {
        kind: 'stream',
        rank: 2,
        services: [{ name: 'engines', weight: 1 }],
      },
    });
    client.onSend = (_target, _options, sink) => {
      sink.onHead({ status: 200, headers: [], isCloseDelimited: false });
      sink.onData(Buffer.from('id: 1\ndata: x\n\n'));
      return Promise.resolve({ kind: 'whole', status: 200 });
    };
    const prompt = createPrompt('a', { shared: 0, own: 1 });
    for (const keyHash of ['h1', 'h2']) await serve({ keyHash, prompt });
    t.deepEqual(
      client.sends.map(({ options }) => options.urgency),
      [0, 6],
    );
  },
);
