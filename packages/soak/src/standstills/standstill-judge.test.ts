import type { TargetRun } from '@medlarlever/platform/stand-ins';
import test from 'ava';

import { judgeStandstills } from './standstill-judge.js';
import type { CallerAttempt, StandstillKind } from './standstill-record.js';

const createAttempt = (
  kind: StandstillKind,
  fields: Partial<CallerAttempt> = {},
): CallerAttempt => ({
  attempt: 'a1',
  kind,
  instance: 'instance-0',
  manner: 'kept',
  sentAtMs: 0,
  endedAtMs: 3_000,
  deadlineMs: 12_000,
  status: 200,
  seal: 's',
  isWhole: true,
  reason: '',
  ...fields,
});

const createRun = (
  target: string,
  startedAtMs: number,
  endedAtMs: number,
  eventCount = 5,
): TargetRun => ({
  attempt: 'a1',
  target,
  startedAtMs,
  endedAtMs,
  eventCount,
  isComplete: false,
});

const judge = (
  attempt: CallerAttempt,
  runs: readonly TargetRun[],
  heldFromMs?: number,
) =>
  judgeStandstills({
    attempts: [attempt],
    runs,
    instanceStandstills: new Map(
      heldFromMs === undefined
        ? []
        : [['instance-0', [{ fromMs: heldFromMs, toMs: heldFromMs + 100 }]]],
    ),
    targetStandstills: new Map(),
  }).map(({ rule, isInstanceHeld }) =>
    isInstanceHeld ? `${rule} held` : rule,
  );

test('one run and its whole answer break no rule', t => {
  t.deepEqual(judge(createAttempt('tell'), [createRun('e1', 0, 3_000)]), []);
});

test('a second run of a request that may run once is found', t => {
  const runs = [createRun('p1', 0, 50), createRun('p2', 500, 600)];
  t.deepEqual(judge(createAttempt('book'), runs), ['TWICE']);
  t.deepEqual(judge(createAttempt('read'), runs), []);
});

test('a stream that goes on elsewhere is found if the run before works on for long', t => {
  const ask = createAttempt('ask');
  const next = createRun('e2', 1_000, 3_000);
  t.deepEqual(judge(ask, [createRun('e1', 0, 1_400), next]), []);
  t.deepEqual(judge(ask, [createRun('e1', 0, 1_401), next]), [
    'TWICE while at work',
  ]);
});

test('a run that a target begins on waking is told from one that goes on', t => {
  const runs = [createRun('e1', 0, 3_000), createRun('e2', 200, 300, 0)];
  t.deepEqual(judge(createAttempt('ask'), runs), ['TWICE on waking']);
});

test('a refused request that ran is found', t => {
  for (const status of [408, 421, 429, 503]) {
    const refused = createAttempt('book', { status, seal: '' });
    t.deepEqual(judge(refused, [createRun('p1', 0, 50)]), ['REFUSED']);
    t.deepEqual(judge(refused, []), []);
  }
});

test('an answer that is cut before most of the time is used up is found', t => {
  const run = createRun('e1', 0, 3_000);
  const cut = createAttempt('tell', { isWhole: false });
  t.deepEqual(judge(cut, [run]), ['LOST']);
  t.deepEqual(judge({ ...cut, status: 0 }, [run]), ['LOST']);
  t.deepEqual(judge({ ...cut, endedAtMs: 9_000 }, [run]), []);
});

test('cases at an instance that was made to stand still are marked', t => {
  const cut = createAttempt('tell', { isWhole: false });
  const runs = [createRun('e1', 0, 3_000)];
  t.deepEqual(judge(cut, runs, 2_000), ['LOST held']);
  t.deepEqual(judge(cut, runs, -10_000), ['LOST']);
});
