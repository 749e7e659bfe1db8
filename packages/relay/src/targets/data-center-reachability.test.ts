import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { DataCenterReachability } from './data-center-reachability.js';

test.serial(
  'one unreachable target does not make its data centre unreachable',
  t => {
    installPausedClock(t);
    const reachability = new DataCenterReachability();
    reachability.recordConnectFailure('b', 't1');
    reachability.recordConnectFailure('b', 't1');
    t.is(reachability.takeUnreachableDataCenters().size, 0);
  },
);

test.serial(
  'an unreachable data centre is probed and recovers after a success',
  async t => {
    const clock = installPausedClock(t);
    const reachability = new DataCenterReachability();
    reachability.recordConnectFailure('b', 't1');
    reachability.recordConnectFailure('b', 't2');
    let probeCount = 0;
    for (let i = 0; i < 100; i += 1) {
      if (!reachability.takeUnreachableDataCenters().has('b')) probeCount += 1;
      await clock.tickAsync(20);
    }
    t.true(probeCount >= 3 && probeCount <= 6, `${probeCount}`);
    reachability.recordSuccess('b');
    t.false(reachability.takeUnreachableDataCenters().has('b'));
  },
);
