/** Tests of what proves that the configuration is recent, and of what makes a proof doubtful. */
import test from 'ava';

import type { ClockReading } from '../shared/clock-reading.js';

import { ConfigurationFreshness } from './configuration-freshness.js';

const restoreSettlingMs = 2_000;

const at = (monotonicMs: number, suspendedMs = 0): ClockReading => ({
  monotonicMs,
  epochMs: 1_000_000 + monotonicMs + suspendedMs,
});

const createFreshness = (isFirstStart = false) =>
  new ConfigurationFreshness({
    getRestoreSettlingMs: () => restoreSettlingMs,
    isFirstStart,
  });

const createRead = (
  sentAtMs: number,
  { era = 0, rowVersion = 5, tableVersion = 9 } = {},
) => ({ sentAt: at(sentAtMs), era, rowVersion, tableVersion });

test('a read proves the time at which it was sent, not that of its answer', t => {
  const freshness = createFreshness();
  t.is(freshness.getAgeMs(at(50)), Infinity);
  freshness.recordRead(createRead(100), at(400));
  t.is(freshness.getAgeMs(at(400)), 300);
  // An answer that was overtaken takes nothing back.
  freshness.recordRead(createRead(60), at(410));
  t.is(freshness.getAgeMs(at(410)), 310);
});

test('an answer proves the time of the question less the age that it states', t => {
  const freshness = createFreshness();
  freshness.recordAnswer({ sentAt: at(1_000), ageMs: 400, era: 0 }, at(1_200));
  t.is(freshness.getAgeMs(at(1_200)), 600);
});

test('a suspension ends the proof and the answers that were under way', t => {
  const freshness = createFreshness();
  freshness.recordRead(createRead(100), at(110));
  t.is(freshness.getAgeMs(at(120, 300)), Infinity);
  freshness.recordRead(createRead(115), at(125, 300));
  freshness.recordAnswer({ sentAt: at(115), ageMs: 0, era: 0 }, at(125, 300));
  t.is(freshness.getAgeMs(at(130, 300)), Infinity);
  freshness.recordRead(
    { ...createRead(0), sentAt: at(130, 300) },
    at(150, 300),
  );
  t.is(freshness.getAgeMs(at(150, 300)), 20);
});

test('a suspension too short to show counts into the age, and several add up', t => {
  const freshness = createFreshness();
  freshness.recordRead(createRead(100), at(110));
  t.is(freshness.getAgeMs(at(120, 200)), 220);
  t.is(freshness.getAgeMs(at(130, 400)), Infinity);
});

test('a time of day that is set back also ends the proof', t => {
  const freshness = createFreshness();
  freshness.recordRead(createRead(100), at(110));
  t.is(freshness.getAgeMs(at(120, -300)), Infinity);
});

test('after a restore a read proves nothing until the row was written again', t => {
  const freshness = createFreshness();
  freshness.recordRead(createRead(100), at(110));
  t.true(freshness.observeEra(1, at(200), true));
  freshness.recordRead(createRead(210, { era: 1 }), at(220));
  freshness.recordRead(createRead(300, { era: 1, tableVersion: 12 }), at(310));
  t.is(freshness.getAgeMs(at(310)), 210);
  freshness.recordRead(
    createRead(400, { era: 1, rowVersion: 13, tableVersion: 13 }),
    at(410),
  );
  t.is(freshness.getAgeMs(at(410)), 10);
  // An answer of the era that has ended may lack what was written since.
  freshness.recordAnswer({ sentAt: at(500), ageMs: 0, era: 0 }, at(510));
  t.is(freshness.getAgeMs(at(510)), 110);
});

test('a restored store is trusted after the longest delay of a withdrawal', t => {
  const freshness = createFreshness();
  freshness.observeEra(1, at(200), true);
  freshness.recordRead(createRead(2_199, { era: 1 }), at(2_210));
  t.is(freshness.getAgeMs(at(2_210)), Infinity);
  freshness.recordRead(createRead(2_200, { era: 1 }), at(2_220));
  t.is(freshness.getAgeMs(at(2_220)), 20);
});

test('an instance that starts in a later era asks another one before it trusts the store', t => {
  const freshness = createFreshness();
  freshness.recordRead(createRead(100, { era: 3 }), at(110));
  t.is(freshness.getAgeMs(at(110)), Infinity);
  freshness.recordAnswer({ sentAt: at(120), ageMs: 50, era: 3 }, at(150));
  t.is(freshness.getAgeMs(at(150)), 80);
  freshness.recordRead(createRead(140, { era: 3 }), at(155));
  t.is(freshness.getAgeMs(at(155)), 85, 'sent before the answer came');
  freshness.recordRead(createRead(160, { era: 3 }), at(170));
  t.is(freshness.getAgeMs(at(170)), 10);
});

test('at the first start of the system any era is trusted', t => {
  const freshness = createFreshness(true);
  freshness.recordRead(createRead(100, { era: 1 }), at(110));
  t.is(freshness.getAgeMs(at(110)), 10);
  freshness.observeEra(2, at(200), true);
  freshness.recordRead(createRead(210, { era: 2 }), at(220));
  t.is(freshness.getAgeMs(at(220)), 120);
});
