import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { DataCenterReachability } from './data-center-reachability.js';

test.serial(
  'one target that cannot be reached says nothing of the others',
  t => {
    installPausedClock(t);
    const reach = new DataCenterReachability();
    reach.recordConnectFailure('b', 't1');
    reach.recordConnectFailure('b', 't1');
    t.is(reach.takeUnreachableDataCenters().size, 0);
  },
);

test.serial(
  'a cut data centre is tried once in a while and comes back',
  async t => {
    const clock = installPausedClock(t);
    const reach = new DataCenterReachability();
    reach.recordConnectFailure('b', 't1');
    reach.recordConnectFailure('b', 't2');
    let tries = 0;
    for (let i = 0; i < 100; i += 1) {
      if (!reach.takeUnreachableDataCenters().has('b')) tries += 1;
      await clock.tickAsync(20);
    }
    t.true(tries >= 3 && tries <= 6, `${tries}`);
    reach.recordSuccess('b');
    t.false(reach.takeUnreachableDataCenters().has('b'));
  },
);
