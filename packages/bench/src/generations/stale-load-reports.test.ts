import { install } from '@sinonjs/fake-timers';
import test from 'ava';

import { Deadline } from '@medlarlever/core';

import { GenerationFleet, modelId } from './generation-fleet.js';

const createRouteRequest = () => ({
  model: modelId,
  prefixBlocks: [],
  promptTokens: 2_000,
  outputTokens: 100,
  priority: 5,
  deadline: Deadline.after(60_000),
});

test.serial(
  'instances with old reports do not all pick the idle engine',
  async t => {
    const clock = install({ now: 1_000_000 });
    const engines = ['a', 'b', 'c', 'd', 'e', 'f'].map(name => ({ name }));
    const fleet = new GenerationFleet({
      seed: 5,
      engineOptions: engines,
      instanceCount: 8,
    });
    t.teardown(() => {
      fleet.stopBackgroundTasks();
      clock.uninstall();
    });
    for (const engine of fleet.enginePool.engines.slice(1)) {
      engine.faults.lie = { running: 6, prefillTokens: 12_000 };
    }
    await clock.tickAsync(600);
    const chosen = new Map<string, number>();
    for (let round = 0; round < 10; round += 1) {
      for (const {
        loadEstimator: book,
        dispatchNotifier: news,
        router,
      } of fleet.instances) {
        const route = router
          .routeStage(createRouteRequest(), 'whole')
          .unsafeCoerce();
        const { name } = route.engine;
        book.recordDispatch(name, { ...route, priority: 5 });
        news.addDispatch(name, route.prefillTokens);
        chosen.set(name, (chosen.get(name) ?? 0) + 1);
      }
    }
    const idle = (chosen.get('a') ?? 0) / 80;
    t.true(idle > 1 / 6, 'the idle engine is preferred');
    t.true(idle < 1 / 2, `share of the idle engine: ${idle}`);
  },
);
