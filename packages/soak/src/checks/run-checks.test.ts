import test from 'ava';

import type { Arrival } from '@medlarlever/platform/stand-ins';

import { Disturbances } from '../run/fault-log.js';
import type { Attempt, Evidence } from '../run/run-record.js';

import { judge } from './run-checks.js';

const anAttempt = (id: string, change: Partial<Attempt> = {}): Attempt => ({
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

const anArrival = (
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
const anEvidence = (change: Partial<Evidence> = {}): Evidence => ({
  attempts: [anAttempt('a')],
  arrivals: [anArrival('a')],
  orders: [],
  configurations: [],
  leavings: [],
  exits: [],
  neverReady: [],
  disturbances: new Disturbances(),
  calmSinceMs: 50_000,
  longestStallMs: 0,
  ...change,
});

const promisesBroken = (change: Partial<Evidence>): string[] =>
  judge(anEvidence(change)).map(({ promise }) => promise);

const end = { status: 200, seal: 's', body: 'text', whole: true, reason: '' };

test('a run in which all went well breaks nothing', t => {
  t.deepEqual(judge(anEvidence()), []);
});

test('a success with the body of another request is found', t => {
  const attempts = [anAttempt('a', { end: { ...end, body: 'other' } })];
  t.deepEqual(promisesBroken({ attempts }), [
    'a success is whole and of its own request',
  ]);
});

test('a success without the seal of a run is found', t => {
  const attempts = [anAttempt('a', { end: { ...end, seal: '' } })];
  t.is(promisesBroken({ attempts }).length, 1);
});

test('a booking that ran twice is found', t => {
  const arrivals = [anArrival('a'), anArrival('a', { target: 't2' })];
  t.deepEqual(promisesBroken({ arrivals }), [
    'a request runs no more often than allowed',
  ]);
});

test('a refusal of what has run is found', t => {
  const refused = { ...end, status: 503, seal: '' };
  const attempts = [anAttempt('a', { end: refused }), anAttempt('b')];
  const arrivals = [anArrival('a'), anArrival('b')];
  t.deepEqual(promisesBroken({ attempts, arrivals }), [
    'a refused request has not run',
  ]);
});

test('a request changed on its way is found', t => {
  const arrivals = [anArrival('a', { body: 'other' })];
  t.deepEqual(promisesBroken({ arrivals }), ['targets get requests unchanged']);
});

test('a proper request that is denied is found', t => {
  const denied = anAttempt('b', { end: { ...end, status: 404, seal: '' } });
  const attempts = [anAttempt('a'), denied];
  t.deepEqual(promisesBroken({ attempts }), ['no proper request is denied']);
});

test('events twice or out of order are found', t => {
  const event = (n: number) => `id: ${n}\ndata: a ${n}\n\n`;
  const attempt = (body: string, whole: boolean) =>
    anAttempt('a', {
      kind: 'stream',
      path: '/ask/3',
      end: { ...end, body, whole },
    });
  const arrivals = [anArrival('a', { path: '/ask/3' })];
  const broken = (body: string, whole: boolean) =>
    promisesBroken({ attempts: [attempt(body, whole)], arrivals }).filter(
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
  t.deepEqual(promisesBroken({ leavings }), [
    'a leaving target gets no more work',
  ]);
  const disturbances = new Disturbances();
  disturbances.begin('i1', 'pause');
  const spans = { isCalm: () => false, isCalmBut: () => false };
  t.deepEqual(
    promisesBroken({
      leavings,
      disturbances: Object.assign(disturbances, spans),
    }),
    [],
  );
});

test('work sent for callers that had left is found', t => {
  const ids = ['b', 'c', 'd', 'e'];
  const attempts = [
    anAttempt('a'),
    ...ids.map(id =>
      anAttempt(id, {
        leftAtMs: 100_000,
        end: { ...end, status: 0, whole: false },
      }),
    ),
  ];
  const arrivals = [
    anArrival('a'),
    ...ids.map(id => anArrival(id, { atMs: 100_600, ran: false })),
  ];
  t.deepEqual(promisesBroken({ attempts, arrivals }), [
    'nothing is sent for a caller that has left',
  ]);
});

test('more retries than the budget are found', t => {
  const arrivals = Array.from({ length: 60 }, (_, i) =>
    anArrival('a', { ran: i === 0, atMs: 100_010 + i }),
  );
  t.deepEqual(promisesBroken({ arrivals }), [
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
  const broken = (orders: Evidence['orders']) => promisesBroken({ orders });
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
    attempt: anAttempt(id, {
      path: `/move/${id}`,
      kind: 'idempotent',
      sentAtMs: atMs,
    }),
    arrival: anArrival(id, { path: `/move/${id}`, service, atMs: atMs + 5 }),
  });
  const broken = (runs: ReturnType<typeof run>[]) =>
    promisesBroken({
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
  t.deepEqual(promisesBroken({ exits: [exit] }), []);
  const alone = { ...exit, asked: undefined, askedAtMs: undefined };
  t.deepEqual(promisesBroken({ exits: [alone] }), [
    'no process ends by itself',
  ]);
  const slow = { ...exit, askedAtMs: 90_000 };
  t.deepEqual(promisesBroken({ exits: [slow] }), [
    'a planned stop ends cleanly in its time',
  ]);
  const cut = { ...end, status: 0, whole: false, reason: 'closed' };
  const attempts = [anAttempt('a', { end: cut }), anAttempt('b')];
  const arrivals = [anArrival('a'), anArrival('b')];
  t.deepEqual(promisesBroken({ exits: [exit], attempts, arrivals }), [
    'a planned stop loses no request',
  ]);
});

test('a machine that stood still fails the run by that name', t => {
  t.deepEqual(promisesBroken({ longestStallMs: 29_000 }), [
    'the machine leaves a run that can be judged',
  ]);
});

test('an instance that never gets ready is found', t => {
  t.deepEqual(promisesBroken({ neverReady: ['i2'] }), [
    'a started instance gets ready',
  ]);
});

test('a system that does not serve again is found', t => {
  const attempts = [anAttempt('a', { end: { ...end, status: 503 } })];
  t.true(
    promisesBroken({ attempts, arrivals: [] }).includes(
      'everything serves again after the last fault',
    ),
  );
});
