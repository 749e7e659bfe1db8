import test from 'ava';

import { createMemoryLog } from '../fixtures/relay-fixtures.js';
import { createSeededRandom } from '../fixtures/seeded-random.js';
import { SlowCaller } from '../fixtures/slow-caller.js';
import type { Caller } from '../requests/relay-request.js';

import { AnswerBuffer } from './answer-buffer.js';
import {
  CallerBuffers,
  chooseAnswerToEnd,
  maxCallerBytes,
} from './caller-buffers.js';

const createBuffers = (memoryBytes?: number) => {
  const log = createMemoryLog();
  return {
    log,
    buffers: new CallerBuffers({ getMemoryBytes: () => memoryBytes, log }),
  };
};

const createAnswer = (
  buffers: CallerBuffers,
  caller: Caller,
  isResumable = false,
) =>
  new AnswerBuffer({
    buffers,
    caller,
    requestId: 'a1',
    isResumable,
    onGiveWay: () => {
      caller.abortResponse();
    },
  });

test('a stream that may be resumed gives way first, then the largest answer', t => {
  const small = { bufferedBytes: 20_000, isResumable: true };
  const large = { bufferedBytes: 200_000, isResumable: false };
  const larger = { bufferedBytes: 250_000, isResumable: false };
  t.is(chooseAnswerToEnd([large, small, larger]), small);
  t.is(chooseAnswerToEnd([large, larger]), larger);
  const none: { bufferedBytes: number; isResumable: boolean }[] = [];
  t.is(chooseAnswerToEnd(none), undefined);
});

test('a resumable stream with hardly any unread bytes does not give way', t => {
  const tiny = { bufferedBytes: 100, isResumable: true };
  const large = { bufferedBytes: 200_000, isResumable: false };
  t.is(chooseAnswerToEnd([tiny, large]), large);
  t.is(chooseAnswerToEnd([tiny]), tiny);
});

test('the target is read on until the buffer of the caller is full', t => {
  const { buffers } = createBuffers(250_000_000);
  const caller = new SlowCaller(0);
  const answer = createAnswer(buffers, caller);
  let written = 0;
  while (answer.write(Buffer.alloc(8_192))) written += 8_192;
  t.true(written >= maxCallerBytes - 2 * 8_192, String(written));
  t.true(caller.maxUnreadBytes <= maxCallerBytes + 8_192);
});

test('without a memory limit the target is not read on', t => {
  const { buffers } = createBuffers();
  const answer = createAnswer(buffers, new SlowCaller(0));
  t.true(answer.write(Buffer.alloc(8_192)));
  t.false(answer.write(Buffer.alloc(8_192)));
});

test('a thousand slow callers keep the unread bytes within a tenth of the memory', t => {
  const memoryBytes = 250_000_000;
  const { buffers, log } = createBuffers(memoryBytes);
  const random = createSeededRandom(1);
  const callers = Array.from({ length: 1_000 }, () => new SlowCaller(0));
  const answers = callers.map((caller, i) =>
    createAnswer(buffers, caller, i % 4 === 0),
  );
  let maxBytes = 0;
  for (let i = 0; i < 100_000; i += 1) {
    const index = Math.floor(random() * callers.length);
    const caller = callers[index];
    if (caller === undefined || caller.isAborted) continue;
    if (caller.bufferedBytes >= maxCallerBytes) continue;
    answers[index]?.write(Buffer.alloc(Math.ceil(random() * 8_192)));
    const sum = callers.reduce((total, each) => total + each.bufferedBytes, 0);
    maxBytes = Math.max(maxBytes, sum);
  }
  t.true(maxBytes <= memoryBytes / 10, String(maxBytes));
  t.true(buffers.totalBytes <= memoryBytes / 10);
  const endedCount = callers.filter(({ isAborted }) => isAborted).length;
  t.is(buffers.givenWayCount, endedCount);
  t.true(endedCount > 0);
  t.is(
    log.entries.filter(e => e.name === 'answer_gave_way').length,
    endedCount,
  );
});
