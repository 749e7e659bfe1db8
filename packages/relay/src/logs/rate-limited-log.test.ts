import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { RateLimitedLog } from './rate-limited-log.js';
import { LineWriter } from './line-writer.js';
import type { ByteWriter } from './line-writer.js';

/** A reader of the log that can stop reading. */
const createPausableReader = () => {
  const lines: string[] = [];
  const waiting: (() => void)[] = [];
  const reader = {
    stopped: false,
    lines,
    resume: () => {
      reader.stopped = false;
      for (const take of waiting.splice(0)) take();
    },
  };
  const write: ByteWriter = (bytes, done) => {
    const take = () => {
      lines.push(...bytes.toString().trimEnd().split('\n'));
      done(null, bytes.length);
    };
    if (reader.stopped) waiting.push(take);
    else setImmediate(take);
  };
  return { reader, write };
};

const waitForEventLoop = () => new Promise(resolve => setTimeout(resolve, 0));

test('a stopped reader holds little memory and loses counted lines', async t => {
  const { reader, write } = createPausableReader();
  reader.stopped = true;
  const writer = new LineWriter(write);
  const line = 'x'.repeat(1_000);
  let taken = 0;
  for (let i = 0; i < 5_000; i += 1) if (writer.writeLine(line)) taken += 1;
  t.true(taken * line.length < 300_000);
  t.is(writer.droppedLines, 5_000 - taken);
  reader.resume();
  for (let i = 0; i < 5; i += 1) await waitForEventLoop();
  t.true(writer.writeLine('again'));
});

test.serial(
  'an event that comes too often is cut down and counted',
  async t => {
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
    const answered = events.filter(({ name }) => name === 'request_answered');
    t.is(answered.length, 81);
    t.true(events.some(({ name }) => name === 'request_ended'));
    const dropped = events.find(({ name }) => name === 'log_dropped');
    t.is(dropped?.lines, 920);
  },
);
