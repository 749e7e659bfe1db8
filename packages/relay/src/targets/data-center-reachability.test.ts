import test from 'ava';

import { pausedClock } from '../fixtures/paused-clock.js';

import { DataCenterReach } from './data-center-reachability.js';

test.serial(
  'one target that cannot be reached says nothing of the others',
  t => {
    pausedClock(t);
    const reach = new DataCenterReach();
    reach.failed('b', 't1');
    reach.failed('b', 't1');
    t.is(reach.avoided().size, 0);
  },
);

test.serial(
  'a cut data centre is tried once in a while and comes back',
  async t => {
    const clock = pausedClock(t);
    const reach = new DataCenterReach();
    reach.failed('b', 't1');
    reach.failed('b', 't2');
    let tries = 0;
    for (let i = 0; i < 100; i += 1) {
      if (!reach.avoided().has('b')) tries += 1;
      await clock.tickAsync(20);
    }
    t.true(tries >= 3 && tries <= 6, `${tries}`);
    reach.succeeded('b');
    t.false(reach.avoided().has('b'));
  },
);
