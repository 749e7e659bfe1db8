/**
 * Test of routing on stale load reports. Five of six engines report a constant
 * high load, so eight instances would all choose the idle engine if they did not
 * count the dispatches of each other.
 */
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
  'instances with stale load reports do not all route to the idle engine',
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
    const dispatchCounts = new Map<string, number>();
    for (let round = 0; round < 10; round += 1) {
      for (const {
        loadEstimator,
        dispatchNotifier,
        router,
      } of fleet.instances) {
        const route = router
          .routeStage(createRouteRequest(), 'whole')
          .unsafeCoerce();
        const { name } = route.engine;
        loadEstimator.recordDispatch(name, { ...route, priority: 5 });
        dispatchNotifier.addDispatch(name, route.prefillTokens);
        dispatchCounts.set(name, (dispatchCounts.get(name) ?? 0) + 1);
      }
    }
    const idleEngineShare = (dispatchCounts.get('a') ?? 0) / 80;
    t.true(idleEngineShare > 1 / 6, 'the idle engine is preferred');
    t.true(
      idleEngineShare < 1 / 2,
      `share of the idle engine: ${idleEngineShare}`,
    );
  },
);
