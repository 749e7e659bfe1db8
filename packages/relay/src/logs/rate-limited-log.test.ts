import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { RateLimitedLog } from './rate-limited-log.js';
import { LineWriter } from './line-writer.js';
import type { ByteWriter } from './line-writer.js';

/** Log reader that can stop and resume reading. */
const createPausableReader = () => {
  const lines: string[] = [];
  const pendingWrites: (() => void)[] = [];
  const reader = {
    isStopped: false,
    lines,
    resume: () => {
      reader.isStopped = false;
      for (const completeWrite of pendingWrites.splice(0)) completeWrite();
    },
  };
  const write: ByteWriter = (bytes, done) => {
    const completeWrite = () => {
      lines.push(...bytes.toString().trimEnd().split('\n'));
      done(null, bytes.length);
    };
    if (reader.isStopped) pendingWrites.push(completeWrite);
    else setImmediate(completeWrite);
  };
  return { reader, write };
};

const waitForEventLoop = () => new Promise(resolve => setTimeout(resolve, 0));

test('lines beyond the buffer limit are dropped and counted while the reader is stopped', async t => {
  const { reader, write } = createPausableReader();
  reader.isStopped = true;
  const writer = new LineWriter(write);
  const line = 'x'.repeat(1_000);
  let acceptedCount = 0;
  for (let i = 0; i < 5_000; i += 1)
    if (writer.writeLine(line)) acceptedCount += 1;
  t.true(acceptedCount * line.length < 300_000);
  t.is(writer.droppedLines, 5_000 - acceptedCount);
  reader.resume();
  for (let i = 0; i < 5; i += 1) await waitForEventLoop();
  t.true(writer.writeLine('again'));
});

test.serial('an event above its rate limit is dropped and counted', async t => {
  const { reader, write } = createPausableReader();
  const clock = FakeTimers.install({
    now: 0,
    toFake: ['performance', 'Date'],
  });
  t.teardown(() => {
    clock.uninstall();
  });
  const log = new RateLimitedLog('n', new LineWriter(write));
  for (let i = 0; i < 1_000; i += 1) {
    log.writeEvent('request_answered', { request: `r${i}` });
  }
  log.writeEvent('request_ended', { request: 'failed' });
  clock.tick(1_000);
  log.writeEvent('request_answered', { request: 'later' });
  await waitForEventLoop();
  await waitForEventLoop();
  const events = reader.lines.map(
    line => JSON.parse(line) as { name: string; lines?: number },
  );
  const answeredEvents = events.filter(
    ({ name }) => name === 'request_answered',
  );
  t.is(answeredEvents.length, 81);
  t.true(events.some(({ name }) => name === 'request_ended'));
  const dropped = events.find(({ name }) => name === 'log_dropped');
  t.is(dropped?.lines, 920);
});
