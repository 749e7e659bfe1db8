/** Tests which windows a term begins with and which are closed. */
import test from 'ava';

import { planClosing, planTerm } from './usage-windows.js';
import type { TermStart } from './usage-windows.js';

const timing = { windowMs: 5_000, maxDelayMs: 20_000 };
const counts = { one: 3 };

/** Begins in the middle of window 100. */
const createStart = (change: Partial<TermStart> = {}): TermStart => ({
  timing,
  rows: {
    state: { era: 0, nextWindow: 99 },
    stateVersion: { era: 0, number: 4 },
    reports: new Map(),
  },
  era: 0,
  knownReports: new Map(),
  acceptedWindows: new Set(),
  acquiredAtMs: 502_500,
  firstStartMs: 400_000,
  ...change,
});

const noRows = {
  state: undefined,
  stateVersion: undefined,
  reports: new Map(),
};

test('a term goes on with the first window that has had no row', t => {
  const plan = planTerm(createStart());
  t.is(plan.state.nextWindow, 99);
  t.deepEqual(plan.skippedWindows, []);
});

test('the first term begins with the window in which the first instance started', t => {
  const plan = planTerm(createStart({ rows: noRows, firstStartMs: 487_000 }));
  t.is(plan.state.nextWindow, 97);
});

test('after a day without instances, few windows are recorded as missed', t => {
  const dayMs = 86_400_000;
  const plan = planTerm(createStart({ acquiredAtMs: 502_500 + dayMs }));
  t.is(plan.skippedWindows.length, 100);
  t.is(plan.state.nextWindow, (plan.skippedWindows.at(-1) ?? 0) + 1);
});

test('after a restore, windows that another holder may have closed get no row', t => {
  const plan = planTerm(createStart({ era: 1 }));
  // Window 99 ended 2.5 s ago, and may be closed where the clock is ahead.
  t.is(plan.state.nextWindow, 100);
  t.deepEqual(plan.skippedWindows, [99]);
});

test('after a restore, known reports get their rows again unless they were accepted', t => {
  const plan = planTerm(
    createStart({
      era: 1,
      knownReports: new Map([
        [97, counts],
        [98, counts],
        [99, counts],
      ]),
      acceptedWindows: new Set([97]),
    }),
  );
  t.deepEqual([...plan.lostReports.keys()], [98, 99]);
  t.deepEqual(plan.skippedWindows, []);
  t.is(plan.state.nextWindow, 100);
});

const createView = (nowMs: number, isComplete = true) => ({
  timing,
  nowMs,
  nextWindow: 99,
  isComplete: () => isComplete,
});

test('a window is closed 2 s after its end, not before', t => {
  t.deepEqual(planClosing(createView(501_999)).closedWindows, []);
  t.deepEqual(planClosing(createView(502_000)).closedWindows, [99]);
});

test('a window with missing totals waits for half the time until it is due', t => {
  t.deepEqual(planClosing(createView(509_999, false)).closedWindows, []);
  t.deepEqual(planClosing(createView(510_000, false)).closedWindows, [99]);
});

test('windows that are a minute overdue are given up', t => {
  const plan = planClosing(createView(500_000 + 20_000 + 59_999));
  t.deepEqual(plan.givenUpWindows, []);
  t.is(plan.closedWindows.length, 8);
  const later = planClosing(createView(500_000 + 20_000 + 60_000));
  t.deepEqual(later.givenUpWindows, [99]);
  t.is(later.closedWindows[0], 100);
});
