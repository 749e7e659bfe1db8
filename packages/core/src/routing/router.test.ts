/** Tests of the choice of engines by the router. */
import test from 'ava';
import { Nothing } from 'purify-ts';

import { TargetDirectory } from '../membership/target-directory.js';
import type { TargetEntry } from '../membership/target-directory.js';
import { Deadline } from '../shared/time.js';
import type { Engine, LoadReport } from '../target/target.js';

import { LoadEstimator } from './load-estimator.js';
import { PrefixIndex } from './prefix-index.js';
import { Router } from './router.js';
import type { RouterOptions, RouteRequest } from './router.js';

const model = { name: 'style', version: '1' };

type Entries = readonly TargetEntry<Engine>[];

/** Directory with a fixed list of engines and no services. */
class StaticDirectory extends TargetDirectory {
  constructor(readonly entries: Entries) {
    super();
  }

  override listEngines(): Entries {
    return this.entries;
  }

  override listServices(): readonly [] {
    return [];
  }

  override findTarget() {
    return Nothing;
  }

  override markLeaving(): void {
    return;
  }

  override clearLeaving(): void {
    return;
  }
}

const createEntry = (name: string, isLocal = true): TargetEntry<Engine> => ({
  target: { name, dataCenter: 'a' } as Partial<Engine> as Engine,
  isLeaving: false,
  isLocal,
});

const createReport = (overrides: Partial<LoadReport> = {}): LoadReport => ({
  atMs: Date.now(),
  role: 'mixed',
  models: [model],
  accepting: true,
  leaving: false,
  running: 0,
  queued: 0,
  prefillTokens: 0,
  cacheUse: 0,
  slots: 16,
  ...overrides,
});

const createRequest = (
  overrides: Partial<RouteRequest> = {},
): RouteRequest => ({
  model,
  prefixBlocks: [],
  promptTokens: 1_000,
  outputTokens: 100,
  priority: 5,
  deadline: Deadline.after(60_000),
  ...overrides,
});

const createRouter = (
  entries: Entries,
  overrides: Partial<RouterOptions> = {},
) => {
  const loadEstimator = new LoadEstimator();
  const prefixIndex = new PrefixIndex();
  const directory = new StaticDirectory(entries);
  const options = {
    loadEstimator,
    prefixIndex,
    directory,
    random: () => 0,
    ...overrides,
  };
  return {
    loadEstimator,
    prefixIndex,
    router: new Router(options),
  };
};

/**
 * Returns the name of the chosen engine, "split" and the prefill engine, or the
 * failure code.
 */
const chooseEngine = (router: Router, request = createRequest()): string =>
  router.placeRequest(request).caseOf({
    Left: failure => failure.code,
    Right: placement =>
      placement.kind === 'whole'
        ? placement.route.engine.name
        : `split ${placement.prefill.engine.name}`,
  });

test('engines that leave, reject work, are blocked or lack the model are not chosen', t => {
  const leaving = { ...createEntry('leaving'), isLeaving: true };
  const names = ['saysLeaving', 'closed', 'otherModel', 'blocked', 'silent'];
  const { loadEstimator, router } = createRouter(
    [leaving, ...names.map(name => createEntry(name))],
    {
      isBlocked: name => name === 'blocked',
    },
  );
  loadEstimator.recordReport('leaving', createReport());
  loadEstimator.recordReport('saysLeaving', createReport({ leaving: true }));
  loadEstimator.recordReport('closed', createReport({ accepting: false }));
  loadEstimator.recordReport(
    'otherModel',
    createReport({ models: [{ ...model, version: '2' }] }),
  );
  loadEstimator.recordReport('blocked', createReport());
  t.is(chooseEngine(router), 'no_target');
});

test('a remote data centre is chosen only when it saves more than the margin', t => {
  const { loadEstimator, router } = createRouter([
    createEntry('near'),
    createEntry('far', false),
  ]);
  loadEstimator.recordReport('far', createReport());
  loadEstimator.recordReport('near', createReport({ prefillTokens: 400 }));
  t.is(chooseEngine(router), 'near');
  loadEstimator.recordReport('near', createReport({ prefillTokens: 8_000 }));
  t.is(chooseEngine(router), 'far');
});

test('the engine with the cached prefix is chosen until its backlog costs more', t => {
  const { loadEstimator, prefixIndex, router } = createRouter(
    ['a', 'b', 'c', 'd'].map(name => createEntry(name)),
  );
  for (const name of 'abcd') loadEstimator.recordReport(name, createReport());
  const blocks = ['p1', 'p2'];
  prefixIndex.applyEvents('d', [
    { sequence: 0, kind: 'stored', pieces: blocks },
  ]);
  const request = createRequest({ prefixBlocks: blocks, promptTokens: 8_500 });
  t.is(chooseEngine(router, request), 'd');
  loadEstimator.recordReport('d', createReport({ prefillTokens: 20_000 }));
  t.not(chooseEngine(router, request), 'd');
});

test('a long prompt is split between roles, and runs whole without those engines', t => {
  const { loadEstimator, router } = createRouter(
    ['m', 'p', 'd'].map(name => createEntry(name)),
  );
  loadEstimator.recordReport('m', createReport({ prefillTokens: 50_000 }));
  loadEstimator.recordReport('p', createReport({ role: 'prefill' }));
  loadEstimator.recordReport('d', createReport({ role: 'decode' }));
  const request = createRequest({ promptTokens: 20_000 });
  t.is(chooseEngine(router, request), 'split p');
  const excludedEngines = new Set(['p', 'd']);
  t.is(chooseEngine(router, { ...request, excludedEngines }), 'm');
});

test('all engines are compared near the deadline, and an isolated request goes to the least busy', t => {
  const { loadEstimator, router } = createRouter(
    ['a', 'b', 'c'].map(name => createEntry(name)),
  );
  for (const name of 'ab') {
    loadEstimator.recordReport(
      name,
      createReport({ running: 4, prefillTokens: 80_000 }),
    );
  }
  loadEstimator.recordReport(
    'c',
    createReport({ running: 3, prefillTokens: 1_000 }),
  );
  t.is(
    chooseEngine(router, createRequest({ deadline: Deadline.after(5_000) })),
    'c',
  );
  t.is(chooseEngine(router, createRequest({ isIsolated: true })), 'c');
});
