import { Failure } from '@medlarlever/core';
import type { OperationResponse } from '@medlarlever/core';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { OperationFleet } from './operation-fleet.js';
import type {
  OperationFleetOptions,
  OperationCall,
} from './operation-fleet.js';

interface FleetFixture {
  readonly fleet: OperationFleet;
  readonly clock: FakeTimers.Clock;
}

const withOperationFleet = async (
  t: ExecutionContext,
  options: Partial<OperationFleetOptions>,
  run: (rig: FleetFixture) => Promise<void>,
) => {
  const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1) });
  t.teardown(() => {
    clock.uninstall();
  });
  await run({ fleet: new OperationFleet({ seed: 1, ...options }), clock });
  clock.uninstall();
};

/** Sends and lets the clock run until the answer is there. */
const sendAndAwait = async (
  { fleet, clock }: FleetFixture,
  index: number,
  sending: OperationCall,
) => {
  const sent = fleet.sendRequest(index, sending);
  await clock.tickAsync(sending.deadlineMs ?? 10_000);
  return (await sent).extract();
};

/** The answer as a later sending of the same key gets it. */
const markRepeated = (answer: OperationResponse | Failure) => {
  if (answer instanceof Failure) throw answer;
  return { ...answer, isReplayed: true };
};

const getFailureFacts = (value: object) =>
  'code' in value && 'executed' in value ? [value.code, value.executed] : value;

test.serial('a repeat through another instance gets the stored answer', t =>
  withOperationFleet(t, {}, async rig => {
    const first = await sendAndAwait(rig, 0, { key: 'k' });
    const second = await sendAndAwait(rig, 1, { key: 'k' });
    t.deepEqual(second, markRepeated(first));
    t.is(rig.fleet.countExecutions('k'), 1);
  }),
);

test.serial('concurrent repeats run once and share the answer', t =>
  withOperationFleet(t, {}, async rig => {
    const { fleet, clock } = rig;
    for (const service of fleet.servicePool.services)
      service.faults.slowMs = 700;
    const sent = [0, 1, 0, 1].map(i => fleet.sendRequest(i, { key: 'k' }));
    await clock.tickAsync(5_000);
    const bodies = (await Promise.all(sent)).map(
      answer => answer.unsafeCoerce().body,
    );
    t.is(new Set(bodies).size, 1);
    t.is(fleet.countExecutions('k'), 1);
  }),
);

test.serial('the same key with another body is a conflict', t =>
  withOperationFleet(t, {}, async rig => {
    await sendAndAwait(rig, 0, { key: 'k', body: '{"fee":1}' });
    const answer = await sendAndAwait(rig, 1, { key: 'k', body: '{"fee":2}' });
    t.deepEqual(getFailureFacts(answer), ['key_conflict', 'no']);
    t.deepEqual(getFailureFacts(await sendAndAwait(rig, 0, {})), [
      'key_required',
      'no',
    ]);
  }),
);

test.serial('without the store nothing runs, and lookups go on', t =>
  withOperationFleet(t, {}, async rig => {
    rig.fleet.table.faults.down = true;
    const refused = rig.fleet.sendRequest(0, { key: 'k' });
    const lookup = rig.fleet.sendRequest(0, { operation: 'status' });
    await rig.clock.tickAsync(10);
    t.deepEqual(getFailureFacts((await refused).extract()), [
      'claim_unavailable',
      'no',
    ]);
    t.true((await lookup).isRight());
    t.is(rig.fleet.countExecutions('k'), 0);
  }),
);

for (const fault of ['loseAnswers', 'delayEffects'] as const) {
  test.serial(`a claim write with ${fault} is resolved by its token`, t =>
    withOperationFleet(t, {}, async rig => {
      rig.fleet.table.faults[fault] = 2;
      const first = await sendAndAwait(rig, 0, { key: 'k' });
      const second = await sendAndAwait(rig, 1, { key: 'k' });
      t.deepEqual(second, markRepeated(first));
      t.is(rig.fleet.countExecutions('k'), 1);
      t.is(rig.fleet.getInstance(0).executor.unstoredCount, 0);
    }),
  );
}

test.serial('a claim is recognised after the table forgot its token', t =>
  withOperationFleet(t, {}, async rig => {
    const { fleet, clock } = rig;
    fleet.table.faults.loseAnswers = 1;
    const sent = fleet.sendRequest(0, { key: 'k', deadlineMs: 1_800_000 });
    await clock.tickAsync(10);
    fleet.table.faults.down = true;
    await clock.tickAsync(900_000);
    fleet.table.faults.down = false;
    await clock.tickAsync(10_000);
    t.like((await sent).extract(), { status: 200, isReplayed: false });
    t.is(fleet.countExecutions('k'), 1);
  }),
);

test.serial('a lost claim answer and a paused claimant run nothing late', t =>
  withOperationFleet(t, {}, async rig => {
    const { fleet, clock } = rig;
    fleet.table.faults.loseAnswers = 1;
    fleet.getInstance(0).table.pauseAnswers();
    const paused = fleet.sendRequest(0, { key: 'k', deadlineMs: 2_000 });
    await clock.tickAsync(3_000);
    t.deepEqual(getFailureFacts((await paused).extract()), [
      'claim_unavailable',
      'no',
    ]);
    const waiting = await sendAndAwait(rig, 1, { key: 'k', deadlineMs: 1_000 });
    t.deepEqual(getFailureFacts(waiting), ['still_running', 'unknown']);
    fleet.getInstance(0).table.resumeAnswers();
    await clock.tickAsync(5_000);
    t.is(fleet.countExecutions('k'), 0);
    const last = await sendAndAwait(rig, 1, { key: 'k' });
    t.like(last, { status: 200, isReplayed: false });
    t.is(fleet.countExecutions('k'), 1);
  }),
);

test.serial('a claimant that is gone leaves the outcome unknown', t =>
  withOperationFleet(t, {}, async rig => {
    const { fleet, clock } = rig;
    fleet.getInstance(0).table.pauseAnswers();
    void fleet.sendRequest(0, { key: 'k' });
    await clock.tickAsync(10);
    fleet.confirmInstanceGone('e1');
    const answer = await sendAndAwait(rig, 1, { key: 'k' });
    t.deepEqual(getFailureFacts(answer), ['outcome_unknown', 'unknown']);
    t.is(fleet.countExecutions('k'), 0);
  }),
);

test.serial(
  'a store outage after the run delays neither answer nor record',
  t =>
    withOperationFleet(t, {}, async rig => {
      const { fleet, clock } = rig;
      for (const service of fleet.servicePool.services)
        service.faults.slowMs = 100;
      const sent = fleet.sendRequest(0, { key: 'k' });
      await clock.tickAsync(50);
      fleet.table.faults.down = true;
      await clock.tickAsync(600);
      const first = (await sent).unsafeCoerce();
      await clock.tickAsync(30_000);
      t.is(fleet.getInstance(0).executor.unstoredCount, 1);
      fleet.table.faults.down = false;
      await clock.tickAsync(3_000);
      t.is(fleet.getInstance(0).executor.unstoredCount, 0);
      const second = await sendAndAwait(rig, 1, { key: 'k' });
      t.deepEqual(second, markRepeated(first));
    }),
);

test.serial('a store outage and a replaced instance never run a key twice', t =>
  withOperationFleet(t, {}, async rig => {
    const { fleet, clock } = rig;
    for (const service of fleet.servicePool.services)
      service.faults.slowMs = 100;
    const sent = fleet.sendRequest(0, { key: 'k' });
    await clock.tickAsync(50);
    fleet.table.faults.down = true;
    await clock.tickAsync(700);
    t.true((await sent).isRight());
    fleet.getInstance(0).table.isDisconnected = true;
    fleet.confirmInstanceGone('e1');
    fleet.startInstance('e3');
    fleet.table.faults.down = false;
    const answer = await sendAndAwait(rig, 2, { key: 'k' });
    t.deepEqual(getFailureFacts(answer), ['outcome_unknown', 'unknown']);
    t.is(fleet.countExecutions('k'), 1);
  }),
);

test.serial('a run that a target refused unrun frees the key', t =>
  withOperationFleet(t, { targetsPerService: 1 }, async rig => {
    const { fleet } = rig;
    fleet.getService('booking-1').faults.refuse = true;
    const refused = await sendAndAwait(rig, 0, { key: 'k' });
    t.deepEqual(getFailureFacts(refused), ['target_rejected', 'no']);
    fleet.getService('booking-1').faults.refuse = false;
    t.like(await sendAndAwait(rig, 1, { key: 'k' }), { status: 200 });
    t.is(fleet.countExecutions('k'), 1);
  }),
);

test.serial('a lost answer of the target is never repeated', t =>
  withOperationFleet(t, {}, async rig => {
    for (const service of rig.fleet.servicePool.services) {
      service.faults.loseAnswers = 1;
    }
    const lost = await sendAndAwait(rig, 0, { key: 'k' });
    t.deepEqual(getFailureFacts(lost), ['target_failed', 'unknown']);
    const repeat = await sendAndAwait(rig, 1, { key: 'k' });
    t.deepEqual(getFailureFacts(repeat), ['outcome_unknown', 'unknown']);
    t.is(rig.fleet.countExecutions('k'), 1);
  }),
);

test.serial('a repeat ends by its deadline while the table hangs', t =>
  withOperationFleet(t, {}, async ({ fleet, clock }) => {
    fleet.delayResponses(4_000);
    void fleet.sendRequest(0, { key: 'k' });
    await clock.tickAsync(100);
    const repeat = fleet.sendRequest(1, { key: 'k', deadlineMs: 2_000 });
    await clock.tickAsync(10);
    fleet.getInstance(1).table.pauseAnswers();
    await clock.tickAsync(2_000);
    const answer = await Promise.race([repeat, Promise.resolve(undefined)]);
    t.deepEqual(getFailureFacts(answer?.extract() ?? {}), [
      'still_running',
      'unknown',
    ]);
  }),
);

test.serial('a caller that leaves does not stop its run', t =>
  withOperationFleet(t, {}, async rig => {
    const { fleet, clock } = rig;
    for (const service of fleet.servicePool.services)
      service.faults.slowMs = 500;
    const caller = new AbortController();
    void fleet.sendRequest(0, { key: 'k' }, caller.signal);
    await clock.tickAsync(100);
    caller.abort();
    const repeat = await sendAndAwait(rig, 1, { key: 'k' });
    t.like(repeat, { status: 200, isReplayed: true });
    t.is(fleet.countExecutions('k'), 1);
  }),
);

test.serial('an expired key is refused, never run again', t =>
  withOperationFleet(t, {}, async rig => {
    const { fleet, clock } = rig;
    const dated = '019b76da-a800-7000-8000-000000000001';
    await sendAndAwait(rig, 0, { key: 'plain' });
    await sendAndAwait(rig, 0, { key: dated });
    clock.setSystemTime(Date.now() + 169 * 3_600_000);
    for (const key of ['plain', dated]) {
      const answer = await sendAndAwait(rig, 1, { key });
      t.deepEqual(getFailureFacts(answer), ['key_expired', 'unknown']);
      t.is(fleet.countExecutions(key), 1);
    }
    const unseen = '019b76da-a800-7000-8000-000000000002';
    t.like(await sendAndAwait(rig, 0, { key: unseen }), {
      code: 'key_expired',
    });
    t.is(fleet.countExecutions(unseen), 0);
    const future = '01ffffff-ffff-7000-8000-000000000001';
    t.like(await sendAndAwait(rig, 0, { key: future }), {
      code: 'invalid_request',
    });
  }),
);

test.serial('a customer beyond its claim budget does not stop another', t =>
  withOperationFleet(t, { claimsPerMinute: 60 }, async rig => {
    const { fleet, clock } = rig;
    const flood = Array.from({ length: 100 }, (_, i) =>
      fleet.sendRequest(0, { key: `k${i}` }),
    );
    const other = fleet.sendRequest(0, { key: 'k', customer: 'andina' });
    await clock.tickAsync(1_000);
    const outcomes = (await Promise.all(flood)).map(one => one.extract());
    const refused = outcomes.filter(
      one => 'code' in one && one.code === 'rate_limited',
    );
    t.is(refused.length, 85);
    t.true((await other).isRight());
    t.is(fleet.table.callCounts.commit, 2 * 16);
  }),
);
