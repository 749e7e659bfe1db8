import test from 'ava';

import { FakeCaller } from '../fixtures/fake-caller.js';
import { waitForAbort } from '../fixtures/fake-target-client.js';
import type { SendScript } from '../fixtures/fake-target-client.js';
import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createPrompt,
  createRequest,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { SlowCaller } from '../fixtures/slow-caller.js';
import { createTestRelay } from '../fixtures/test-relay.js';
import type { Route } from '../routes/route-configuration.js';

import type { ResponseSink, SendOutcome } from './target-client.js';

const route: Partial<Route> = {
  kind: 'stream',
  services: [{ name: 'engines', weight: 1 }],
  timeoutMs: 60_000,
  latencyTargetMs: 1_000,
  maxAttempts: 1,
};

const targets = [
  createTargetRecord('d1', { service: 'engines', role: 'decode', slots: 8 }),
];

const eventStreamHead = {
  status: 200,
  headers: ['content-type', 'text/event-stream'],
  isCloseDelimited: false,
};

const wait = (ms: number) =>
  new Promise<void>(resolve => {
    setTimeout(resolve, ms);
  });

/** A target cuts off an answer that stays unread for this time. */
const cutOffMs = 2_000;
const cutOff: SendOutcome = {
  kind: 'broken',
  phase: 'answering',
  reason: 'reset',
};

/** Sends the chunks at an interval; breaks the answer off if it stays unread. */
const sendChunks = async (
  sink: ResponseSink,
  chunks: Iterable<string>,
  intervalMs: number,
  signal: AbortSignal,
): Promise<SendOutcome> => {
  sink.onHead(eventStreamHead);
  for (const chunk of chunks) {
    if (signal.aborted) return { kind: 'aborted' };
    if (!sink.onData(Buffer.from(chunk))) {
      const isRead = await Promise.race([
        sink.waitForDrain().then(() => true),
        wait(cutOffMs).then(() => false),
      ]);
      if (!isRead) return cutOff;
    }
    await wait(intervalMs);
  }
  return signal.aborted ? { kind: 'aborted' } : { kind: 'whole', status: 200 };
};

/** Serves an idempotent request without a prompt, which may be sent to a second target. */
const servePlain = (onSend: SendScript, caller: FakeCaller) => {
  const parts = createTestRelay({
    route: { kind: 'idempotent', timeoutMs: 6_000, maxAttempts: 2 },
    memoryBytes: 250_000_000,
  });
  parts.client.onSend = onSend;
  const end = parts.relay.serve(createRequest(), caller);
  return { ...parts, end };
};

const serveSlowly = (
  onSend: SendScript,
  caller: FakeCaller,
  overrides: Partial<Route> = {},
  memoryBytes = 250_000_000,
) => {
  const parts = createTestRelay({
    route: { ...route, ...overrides },
    targets,
    memoryBytes,
  });
  parts.client.onSend = onSend;
  const prompt = createPrompt('x');
  const end = parts.relay.serve(createRequest({ prompt }), caller);
  return { ...parts, end };
};

const event = (id: number, bytes: number) =>
  `id: ${id}\ndata: ${'x'.repeat(bytes)}\n\n`;

test.serial(
  'a caller that reads at a tenth of the speed gets its whole answer',
  async t => {
    const clock = installPausedClock(t);
    // 20 events of 10,000 bytes, one every 100 ms; the caller reads a tenth of that.
    const events = Array.from({ length: 20 }, (_, i) => event(i, 10_000));
    const caller = new SlowCaller(10_000);
    const { end } = serveSlowly(
      (_target, { signal }, sink) => sendChunks(sink, events, 100, signal),
      caller,
    );
    await clock.tickAsync(2_500);
    await end;
    t.false(caller.isAborted);
    await clock.tickAsync(25_000);
    t.true(caller.isEnded);
    t.is(caller.receivedBytes, events.join('').length);
  },
);

test.serial('without read-ahead the same answer is cut off', async t => {
  const clock = installPausedClock(t);
  const events = Array.from({ length: 20 }, (_, i) => event(i, 30_000));
  const caller = new SlowCaller(10_000);
  const parts = createTestRelay({ route, targets });
  parts.client.onSend = (_target, { signal }, sink) =>
    sendChunks(sink, events, 100, signal);
  void parts.relay.serve(createRequest({ prompt: createPrompt('x') }), caller);
  await clock.tickAsync(30_000);
  t.true(caller.isAborted);
});

/** An event that is never complete, a byte every 300 ms. */
function* dripBytes() {
  yield event(0, 10);
  yield 'data: ';
  for (let i = 0; i < 1_000; i += 1) yield 'x';
}

for (const resumable of [false, true]) {
  test.serial(
    `a stalled stream that sends a byte now and then ends, resumable: ${resumable}`,
    async t => {
      const clock = installPausedClock(t);
      const caller = new FakeCaller();
      const { end } = serveSlowly(
        (_target, { signal }, sink) =>
          sendChunks(sink, dripBytes(), 300, signal),
        caller,
        { eventGapMs: 100, resumable, maxAttempts: 2 },
      );
      await clock.tickAsync(4_500);
      await end;
      t.true(caller.isAborted);
    },
  );
}

test.serial(
  'a route that states no gap keeps a stream until its deadline',
  async t => {
    const clock = installPausedClock(t);
    const caller = new FakeCaller();
    const { end } = serveSlowly(
      (_target, { signal }, sink) => sendChunks(sink, dripBytes(), 300, signal),
      caller,
    );
    await clock.tickAsync(50_000);
    t.false(caller.isAborted);
    await clock.tickAsync(11_000);
    await end;
  },
);

test.serial('a slow but sound stream does not end', async t => {
  const clock = installPausedClock(t);
  const caller = new FakeCaller();
  // Each event takes several times the gap and arrives in parts.
  const parts = Array.from({ length: 20 }, (_, i) => [
    `id: ${i}\n`,
    'data: x\n\n',
  ]).flat();
  const { end } = serveSlowly(
    (_target, { signal }, sink) => sendChunks(sink, parts, 350, signal),
    caller,
    { eventGapMs: 100 },
  );
  await clock.tickAsync(20_000);
  await end;
  t.true(caller.isEnded);
});

test.serial(
  'a target that waits for a slow caller does not count as stalled',
  async t => {
    const clock = installPausedClock(t);
    const events = Array.from({ length: 12 }, (_, i) => event(i, 60_000));
    const caller = new SlowCaller(60_000);
    const { end } = serveSlowly(
      async (_target, { signal }, sink) => {
        sink.onHead(eventStreamHead);
        for (const each of events) {
          if (!sink.onData(Buffer.from(each))) await sink.waitForDrain();
          if (signal.aborted) return { kind: 'aborted' };
        }
        return { kind: 'whole', status: 200 };
      },
      caller,
      { eventGapMs: 50, resumable: true },
    );
    await clock.tickAsync(20_000);
    await end;
    t.true(caller.isEnded);
    t.is(caller.receivedBytes, events.join('').length);
  },
);

test.serial(
  'a stream that gives way ends, and its target is no longer read',
  async t => {
    const clock = installPausedClock(t);
    const caller = new SlowCaller(0);
    let wasAborted = false;
    const { end, log, targetRegistry } = serveSlowly(
      async (_target, { signal }, sink) => {
        const events = Array.from({ length: 50 }, (_, i) => event(i, 5_000));
        const outcome = await sendChunks(sink, events, 10, signal);
        wasAborted = signal.aborted;
        return outcome;
      },
      caller,
      {},
      1_000_000,
    );
    await clock.tickAsync(1_000);
    await end;
    t.true(caller.isAborted);
    t.true(wasAborted);
    const ended = log.entries.find(({ name }) => name === 'request_ended');
    t.like(ended?.fields, { outcome: 'slow_caller' });
    t.is(targetRegistry.listTargets()[0]?.isAvoided, false);
  },
);

// Each of the next two guards against answers that are cut although they make progress.
test.serial(
  'a long plain answer to a caller that reads slowly is not broken off',
  async t => {
    const clock = installPausedClock(t);
    const chunks = Array.from({ length: 40 }, () => 'x'.repeat(50_000));
    const caller = new SlowCaller(500_000);
    const { end, client } = servePlain(
      (_target, { signal }, sink) => sendChunks(sink, chunks, 100, signal),
      caller,
    );
    await clock.tickAsync(5_500);
    await end;
    t.is(client.sends.length, 1);
    t.true(caller.isEnded);
    t.is(caller.receivedBytes, 2_000_000);
  },
);

test.serial(
  'a short plain answer that comes slowly is not broken off',
  async t => {
    const clock = installPausedClock(t);
    const chunks = Array.from({ length: 50 }, () => 'x');
    const caller = new FakeCaller();
    const { end, client } = servePlain(
      (_target, { signal }, sink) => sendChunks(sink, chunks, 100, signal),
      caller,
    );
    await clock.tickAsync(5_500);
    await end;
    t.is(client.sends.length, 1);
    t.is(caller.text, chunks.join(''));
  },
);

test.serial(
  'a plain answer that stalls before any of it was forwarded is sent again',
  async t => {
    const clock = installPausedClock(t);
    const caller = new FakeCaller();
    const { end, client } = servePlain(async (_target, { signal }, sink) => {
      if (client.sends.length > 1)
        return sendChunks(sink, ['whole'], 0, signal);
      sink.onHead(eventStreamHead);
      sink.onData(Buffer.from('a'));
      await waitForAbort(signal);
      return { kind: 'aborted' };
    }, caller);
    await clock.tickAsync(4_000);
    await end;
    t.is(client.sends.length, 2);
    t.is(caller.text, 'whole');
  },
);

test.serial(
  'a plain answer that falls silent after a part was forwarded is awaited',
  async t => {
    const clock = installPausedClock(t);
    const caller = new FakeCaller();
    const { end, client } = servePlain(async (_target, { signal }, sink) => {
      sink.onHead({ status: 200, headers: [], isCloseDelimited: false });
      sink.onData(Buffer.alloc(100_000, 'x'));
      await wait(4_000);
      return signal.aborted
        ? { kind: 'aborted' }
        : { kind: 'whole', status: 200 };
    }, caller);
    await clock.tickAsync(5_000);
    await end;
    t.is(client.sends.length, 1);
    t.true(caller.isEnded);
  },
);
