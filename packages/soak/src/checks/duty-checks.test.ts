/** Tests that the checks of duties report the violations for which they exist. */
import type { DutyCall } from '@medlarlever/platform/stand-ins';
import test from 'ava';

import { FaultLog } from '../run/fault-log.js';
import type { RunRecord } from '../run/run-record.js';

import { checkDutyHolders, checkUsageReports } from './duty-checks.js';

const createCall = (change: Partial<DutyCall> = {}): DutyCall => ({
  atMs: 100_000,
  path: '/usage',
  holder: 'i1',
  fencingToken: 1,
  status: 200,
  usage: { window_id: 7, counts: { one: 3, two: 4 } },
  ...change,
});

const createRecord = (dutyCalls: readonly DutyCall[]): RunRecord => ({
  attempts: [],
  arrivals: [],
  orders: [],
  dutyCalls,
  pauseRequests: [],
  limitPeriods: [],
  crashes: [],
  crashingPartPeriods: [],
  targetCuts: [],
  configurations: [],
  targetDepartures: [],
  exits: [],
  unreadyInstances: [],
  faultLog: new FaultLog(),
  faultFreeSinceMs: 0,
  longestStallMs: 0,
});

test('an exact repeat of a report and one that was not accepted are allowed', t => {
  const repeat = createCall({
    usage: { window_id: 7, counts: { two: 4, one: 3 } },
  });
  const refused = createCall({
    status: 429,
    usage: { window_id: 7, counts: { one: 1 } },
  });
  const record = createRecord([createCall(), repeat, refused]);
  t.deepEqual(checkUsageReports(record), []);
});

test('two accepted reports of a window that differ are reported', t => {
  const other = createCall({ usage: { window_id: 7, counts: { one: 3 } } });
  const violations = checkUsageReports(createRecord([createCall(), other]));
  t.is(violations.length, 1);
});

test('a holder that is replaced and later back with higher tokens is allowed', t => {
  const record = createRecord([
    createCall(),
    createCall({ holder: 'i2', fencingToken: 2, atMs: 104_000 }),
    createCall({ fencingToken: 3, atMs: 108_000 }),
  ]);
  t.deepEqual(checkDutyHolders(record), []);
});

for (const [name, calls] of [
  [
    'a lower token after a higher one',
    [createCall({ fencingToken: 2 }), createCall()],
  ],
  ['one token of two holders', [createCall(), createCall({ holder: 'i2' })]],
  [
    'a holder that is back within the lease time',
    [
      createCall(),
      createCall({ holder: 'i2', fencingToken: 2, atMs: 101_000 }),
      createCall({ fencingToken: 3, atMs: 102_500 }),
    ],
  ],
] as const) {
  test(`${name} is reported`, t => {
    t.is(checkDutyHolders(createRecord(calls)).length, 1);
  });
}
