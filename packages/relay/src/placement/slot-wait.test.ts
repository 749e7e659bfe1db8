import test from 'ava';

import { DecodeRequests, estimateSlotWaitMs } from './slot-wait.js';
import { computeUrgency, goesBehind } from './urgency.js';

const slots = 16;
const slotMs = 250;
const latencyTargetMs = 300;
/** Time from the start in a slot to the first event. */
const firstEventMs = 80;

/** A request at the engine; times are in milliseconds. */
interface EngineRequest {
  readonly arrivedMs: number;
  readonly urgency: number;
  readonly leave: () => void;
}

/**
 * Sends short requests to one engine, half as many again as it has slots for, and returns
 * how many had their first event in time.
 */
const replayBurst = (usesSlotWait: boolean): number => {
  const requests = new DecodeRequests();
  const waiting: EngineRequest[] = [];
  const running: { endMs: number; leave: () => void }[] = [];
  const intervalMs = slotMs / slots / 1.5;
  let inTimeCount = 0;
  for (let nowMs = 0; nowMs < 4_000; nowMs += 1) {
    for (const ended of running.filter(({ endMs }) => endMs <= nowMs)) {
      running.splice(running.indexOf(ended), 1);
      ended.leave();
    }
    if (Math.floor(nowMs / intervalMs) > Math.floor((nowMs - 1) / intervalMs)) {
      const waitMs = estimateSlotWaitMs({
        requestCount: waiting.length + running.length + 1,
        lateShare: requests.lateShare,
        slots,
        slotMs,
      });
      const expectedLatencyMs = firstEventMs + (usesSlotWait ? waitMs : 0);
      const options = {
        rank: 0,
        prefillMs: 8,
        promptMs: 8,
        expectedLatencyMs,
        latencyTargetMs,
      };
      const urgency = computeUrgency(options);
      const leave = requests.start(goesBehind(options));
      waiting.push({ arrivedMs: nowMs, urgency, leave });
    }
    waiting.sort((a, b) => a.urgency - b.urgency || a.arrivedMs - b.arrivedMs);
    for (const next of waiting.splice(0, slots - running.length)) {
      running.push({ endMs: nowMs + slotMs, leave: next.leave });
      const latencyMs = nowMs - next.arrivedMs + firstEventMs;
      if (latencyMs <= latencyTargetMs) inTimeCount += 1;
    }
  }
  return inTimeCount;
};

// Requests that were in time when they were sent all waited behind each other for a slot
// until they were late.
test('while decode slots are used up, most that the engine can serve are in time', t => {
  const capacity = (4_000 / slotMs) * slots;
  const inOrder = replayBurst(false);
  const byWait = replayBurst(true);
  t.true(inOrder < 0.5 * capacity, `${inOrder} of ${capacity}`);
  t.true(byWait > 0.75 * capacity, `${byWait} of ${capacity}`);
});

test('there is no wait while slots are free, or for what goes behind', t => {
  const load = { requestCount: 16, lateShare: 0, slots, slotMs };
  t.is(estimateSlotWaitMs(load), 0);
  t.is(estimateSlotWaitMs({ ...load, requestCount: 32 }), slotMs);
  t.is(estimateSlotWaitMs({ ...load, requestCount: 32, lateShare: 0.5 }), 0);
  const unknown = { ...load, requestCount: 32, slotMs: undefined };
  t.is(estimateSlotWaitMs(unknown), 0);
});

test('the share of late requests follows those that run', t => {
  const requests = new DecodeRequests();
  t.is(requests.lateShare, 0);
  const ends = [true, false, false, false].map(late => requests.start(late));
  t.is(requests.lateShare, 0.25);
  for (const end of ends) end();
  t.is(requests.lateShare, 0);
});
