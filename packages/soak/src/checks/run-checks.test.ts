import test from 'ava';

import type { Arrival } from '@medlarlever/platform/stand-ins';

import { FaultLog } from '../run/fault-log.js';
import type { Attempt, RunRecord } from '../run/run-record.js';

import { runChecks } from './run-checks.js';

const createAttempt = (id: string, change: Partial<Attempt> = {}): Attempt => ({
  id,
  kind: 'non_idempotent',
  method: 'POST',
  path: `/book/${id}`,
  body: 'b',
  instance: 'i1',
  life: 1,
  sentAtMs: 100_000,
  leftAtMs: undefined,
  endedAtMs: 100_100,
  end: { status: 200, seal: 's', body: 'text', whole: true, reason: '' },
  ...change,
});

const createArrival = (
  attempt: string,
  change: Partial<Arrival> = {},
): Arrival => ({
  attempt,
  target: 't1',
  service: 'api',
  method: 'POST',
  path: `/book/${attempt}`,
  body: 'b',
  atMs: 100_010,
  reading: false,
  resumedAfter: 0,
  ran: true,
  failed: false,
  endedAtMs: 100_090,
  leftAtMs: undefined,
  answer: 'text',
  seal: 's',
  ...change,
});

/** A run in which one request went well after the recovery. */
const createRunRecord = (change: Partial<RunRecord> = {}): RunRecord => ({
  attempts: [createAttempt('a')],
  arrivals: [createArrival('a')],
  orders: [],
  configurations: [],
  targetDepartures: [],
  exits: [],
  unreadyInstances: [],
  faultLog: new FaultLog(),
  faultFreeSinceMs: 50_000,
  longestStallMs: 0,
  ...change,
});

const listBrokenPromises = (change: Partial<RunRecord>): string[] =>
  runChecks(createRunRecord(change)).map(({ promise }) => promise);

const completeEnd = {
  status: 200,
  seal: 's',
  body: 'text',
  whole: true,
  reason: '',
};

test('a run in which all went well breaks nothing', t => {
  t.deepEqual(runChecks(createRunRecord()), []);
});

test('a success with the body of another request is found', t => {
  const attempts = [
    createAttempt('a', { end: { ...completeEnd, body: 'other' } }),
  ];
  t.deepEqual(listBrokenPromises({ attempts }), [
    'a success is whole and of its own request',
  ]);
});

test('a success without the seal of a run is found', t => {
  const attempts = [createAttempt('a', { end: { ...completeEnd, seal: '' } })];
  t.is(listBrokenPromises({ attempts }).length, 1);
});

test('a booking that ran twice is found', t => {
  const arrivals = [createArrival('a'), createArrival('a', { target: 't2' })];
  t.deepEqual(listBrokenPromises({ arrivals }), [
    'a request runs no more often than allowed',
  ]);
});

test('a refusal of what has run is found', t => {
  const refused = { ...completeEnd, status: 503, seal: '' };
  const attempts = [createAttempt('a', { end: refused }), createAttempt('b')];
  const arrivals = [createArrival('a'), createArrival('b')];
  t.deepEqual(listBrokenPromises({ attempts, arrivals }), [
    'a refused request has not run',
  ]);
});

test('a request changed on its way is found', t => {
  const arrivals = [createArrival('a', { body: 'other' })];
  t.deepEqual(listBrokenPromises({ arrivals }), [
    'targets get requests unchanged',
  ]);
});

test('a proper request that is denied is found', t => {
  const denied = createAttempt('b', {
    end: { ...completeEnd, status: 404, seal: '' },
  });
  const attempts = [createAttempt('a'), denied];
  t.deepEqual(listBrokenPromises({ attempts }), [
    'no proper request is denied',
  ]);
});

test('events twice or out of order are found', t => {
  const event = (n: number) => `id: ${n}\ndata: a ${n}\n\n`;
  const attempt = (body: string, whole: boolean) =>
    createAttempt('a', {
      kind: 'stream',
      path: '/ask/3',
      end: { ...completeEnd, body, whole },
    });
  const arrivals = [createArrival('a', { path: '/ask/3' })];
  const broken = (body: string, whole: boolean) =>
    listBrokenPromises({ attempts: [attempt(body, whole)], arrivals }).filter(
      promise => !promise.startsWith('everything'),
    );
  t.deepEqual(broken(event(1) + event(2) + event(3), true), []);
  t.deepEqual(broken(event(1) + event(2), false), []);
  t.is(broken(event(1) + event(2), true).length, 1);
  t.deepEqual(broken(event(1) + event(1), false), [
    'events come once and in order',
  ]);
});

test('work for a target that left long ago is found, near a fault it is not', t => {
  const leavings = [{ target: 't1', atMs: 96_000 }];
  t.deepEqual(listBrokenPromises({ targetDepartures: leavings }), [
    'a leaving target gets no more work',
  ]);
  const disturbances = new FaultLog();
  disturbances.beginFault('i1', 'pause');
  const spans = { isFaultFree: () => false, isFaultFreeExcept: () => false };
  t.deepEqual(
    listBrokenPromises({
      targetDepartures: leavings,
      faultLog: Object.assign(disturbances, spans),
    }),
    [],
  );
});

test('work sent for callers that had left is found', t => {
  const ids = ['b', 'c', 'd', 'e'];
  const attempts = [
    createAttempt('a'),
    ...ids.map(id =>
      createAttempt(id, {
        leftAtMs: 100_000,
        end: { ...completeEnd, status: 0, whole: false },
      }),
    ),
  ];
  const arrivals = [
    createArrival('a'),
    ...ids.map(id => createArrival(id, { atMs: 100_600, ran: false })),
  ];
  t.deepEqual(listBrokenPromises({ attempts, arrivals }), [
    'nothing is sent for a caller that has left',
  ]);
});

test('more retries than the budget are found', t => {
  const arrivals = Array.from({ length: 60 }, (_, i) =>
    createArrival('a', { ran: i === 0, atMs: 100_010 + i }),
  );
  t.deepEqual(listBrokenPromises({ arrivals }), [
    'retries stay within their budget',
  ]);
});

test('two holders of orders at a time are found', t => {
  const order = (holder: string, fencing: number, atMs: number) => ({
    target: 't1',
    holder,
    fencing,
    atMs,
  });
  const broken = (orders: RunRecord['orders']) =>
    listBrokenPromises({ orders });
  t.deepEqual(broken([order('a', 1, 0), order('b', 2, 3_500)]), []);
  t.is(broken([order('a', 1, 0), order('b', 2, 500)]).length, 1);
  t.is(broken([order('a', 2, 0), order('b', 1, 9_000)]).length, 1);
  t.is(broken([order('a', 1, 0), order('b', 1, 9_000)]).length, 1);
});

test('an old configuration in force, and a way back, are found', t => {
  const configurations = [
    { version: 1, service: 'move-a', atMs: 10_000 },
    { version: 2, service: 'move-b', atMs: 90_000 },
  ];
  const run = (id: string, service: string, atMs: number) => ({
    attempt: createAttempt(id, {
      path: `/move/${id}`,
      kind: 'idempotent',
      sentAtMs: atMs,
    }),
    arrival: createArrival(id, {
      path: `/move/${id}`,
      service,
      atMs: atMs + 5,
    }),
  });
  const broken = (runs: ReturnType<typeof run>[]) =>
    listBrokenPromises({
      configurations,
      attempts: runs.map(({ attempt }) => attempt),
      arrivals: runs.map(({ arrival }) => arrival),
    });
  t.deepEqual(broken([run('b', 'move-b', 100_000)]), []);
  t.deepEqual(broken([run('b', 'move-a', 100_000)]), [
    'a configuration is in force within its time',
  ]);
  const back = [run('b', 'move-b', 90_500), run('c', 'move-a', 91_500)];
  t.true(broken(back).includes('no instance goes back to an older version'));
});

test('an end of its own, a slow stop and a lost request are found', t => {
  const exit = {
    instance: 'i1',
    atMs: 100_200,
    code: 0,
    signal: null,
    asked: 'SIGTERM',
    askedAtMs: 100_020,
  };
  t.deepEqual(listBrokenPromises({ exits: [exit] }), []);
  const alone = { ...exit, asked: undefined, askedAtMs: undefined };
  t.deepEqual(listBrokenPromises({ exits: [alone] }), [
    'no process ends by itself',
  ]);
  const slow = { ...exit, askedAtMs: 90_000 };
  t.deepEqual(listBrokenPromises({ exits: [slow] }), [
    'a planned stop ends cleanly in its time',
  ]);
  const cut = { ...completeEnd, status: 0, whole: false, reason: 'closed' };
  const attempts = [createAttempt('a', { end: cut }), createAttempt('b')];
  const arrivals = [createArrival('a'), createArrival('b')];
  t.deepEqual(listBrokenPromises({ exits: [exit], attempts, arrivals }), [
    'a planned stop loses no request',
  ]);
});

test('a machine that stood still fails the run by that name', t => {
  t.deepEqual(listBrokenPromises({ longestStallMs: 29_000 }), [
    'the machine leaves a run that can be judged',
  ]);
});

test('an instance that never gets ready is found', t => {
  t.deepEqual(listBrokenPromises({ unreadyInstances: ['i2'] }), [
    'a started instance gets ready',
  ]);
});

test('a system that does not serve again is found', t => {
  const attempts = [
    createAttempt('a', { end: { ...completeEnd, status: 503 } }),
  ];
  t.true(
    listBrokenPromises({ attempts, arrivals: [] }).includes(
      'everything serves again after the last fault',
    ),
  );
});
