import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import { MemoryLog } from '../shared/log.js';

import {
  FleetViewSource,
  RoleChanger,
  RoleController,
} from './role-controller.js';
import { RolePolicy } from './role-policy.js';
import type { FleetView, RoleChange, RoleDecision } from './role-policy.js';

const change: RoleChange = {
  engine: 'a1',
  from: 'mixed',
  to: 'prefill',
  reason: 'test',
};

class AlwaysChangePolicy extends RolePolicy {
  override readonly name = 'always';
  override decideChanges(): RoleDecision {
    return { changes: [change], explanation: 'always' };
  }
}

class ScriptedViewSource extends FleetViewSource {
  constructor(readonly createView: () => Either<Failure, FleetView>) {
    super();
  }
  override loadView() {
    return Promise.resolve(this.createView());
  }
}

/** A changer whose changes end when the test says so. */
class PendingRoleChanger extends RoleChanger {
  readonly pendingResolvers: ((outcome: Either<Failure, void>) => void)[] = [];
  override changeRole() {
    return new Promise<Either<Failure, void>>(resolve => {
      this.pendingResolvers.push(resolve);
    });
  }
}

const createController = (source: FleetViewSource) => {
  const changer = new PendingRoleChanger();
  const controller = new RoleController({
    policy: new AlwaysChangePolicy(),
    viewSource: source,
    roleChanger: changer,
    log: new MemoryLog(),
    random: () => 0.5,
    periodMs: 1_000,
  });
  return { controller, changer };
};

const emptyView = Right({ nowMs: 0, engines: [], demand: [] });

test.serial('a change in progress is not asked for again', async t => {
  const clock = FakeTimers.install();
  const { controller, changer } = createController(
    new ScriptedViewSource(() => emptyView),
  );
  const stop = new AbortController();
  const running = controller.run(stop.signal);
  await clock.tickAsync(5_000);
  t.is(changer.pendingResolvers.length, 1);
  t.is(controller.records.length, 5);
  changer.pendingResolvers[0]?.(Left(new Failure('order_conflict', 'busy')));
  await clock.tickAsync(1_000);
  t.is(changer.pendingResolvers.length, 2);
  t.deepEqual(controller.records[0]?.failures, ['a1: busy']);
  stop.abort();
  await running;
  clock.uninstall();
});

test.serial('a failing source leaves the task running', async t => {
  const clock = FakeTimers.install();
  let calls = 0;
  const source = new ScriptedViewSource(() => {
    calls += 1;
    if (calls === 1) throw new Error('broken');
    return calls === 2 ? Left(new Failure('authority_lost', 'no')) : emptyView;
  });
  const { controller, changer } = createController(source);
  const stop = new AbortController();
  const running = controller.run(stop.signal);
  await clock.tickAsync(3_000);
  t.is(controller.records[0]?.decision.explanation, 'no');
  t.is(changer.pendingResolvers.length, 1);
  stop.abort();
  await running;
  clock.uninstall();
});
