/**
 * Tests of the role controller with slow role changes and a failing view
 * source.
 */
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

/** Policy that decides the same change every time. */
class AlwaysChangePolicy extends RolePolicy {
  override readonly name = 'always';
  override decideChanges(): RoleDecision {
    return { changes: [change], explanation: 'always' };
  }
}

/** View source that calls a function of the test for each view. */
class ScriptedViewSource extends FleetViewSource {
  constructor(readonly createView: () => Either<Failure, FleetView>) {
    super();
  }
  override loadView() {
    return Promise.resolve(this.createView());
  }
}

/** Role changer whose changes end when the test resolves them. */
class PendingRoleChanger extends RoleChanger {
  readonly pendingResolvers: ((outcome: Either<Failure, void>) => void)[] = [];
  override changeRole() {
    return new Promise<Either<Failure, void>>(resolve => {
      this.pendingResolvers.push(resolve);
    });
  }
}

const createController = (viewSource: FleetViewSource) => {
  const roleChanger = new PendingRoleChanger();
  const controller = new RoleController({
    policy: new AlwaysChangePolicy(),
    viewSource,
    roleChanger,
    log: new MemoryLog(),
    random: () => 0.5,
    periodMs: 1_000,
  });
  return { controller, roleChanger };
};

const emptyView = Right({ nowMs: 0, engines: [], demand: [] });

test.serial(
  'an engine whose change is in progress is not changed again',
  async t => {
    const clock = FakeTimers.install();
    const { controller, roleChanger } = createController(
      new ScriptedViewSource(() => emptyView),
    );
    const abortController = new AbortController();
    const runPromise = controller.run(abortController.signal);
    await clock.tickAsync(5_000);
    t.is(roleChanger.pendingResolvers.length, 1);
    t.is(controller.records.length, 5);
    roleChanger.pendingResolvers[0]?.(
      Left(new Failure('order_conflict', 'busy')),
    );
    await clock.tickAsync(1_000);
    t.is(roleChanger.pendingResolvers.length, 2);
    t.deepEqual(controller.records[0]?.failures, ['a1: busy']);
    abortController.abort();
    await runPromise;
    clock.uninstall();
  },
);

test.serial(
  'the controller keeps running after its view source throws or fails',
  async t => {
    const clock = FakeTimers.install();
    let calls = 0;
    const viewSource = new ScriptedViewSource(() => {
      calls += 1;
      if (calls === 1) throw new Error('broken');
      return calls === 2
        ? Left(new Failure('authority_lost', 'no'))
        : emptyView;
    });
    const { controller, roleChanger } = createController(viewSource);
    const abortController = new AbortController();
    const runPromise = controller.run(abortController.signal);
    await clock.tickAsync(3_000);
    t.is(controller.records[0]?.decision.explanation, 'no');
    t.is(roleChanger.pendingResolvers.length, 1);
    abortController.abort();
    await runPromise;
    clock.uninstall();
  },
);
