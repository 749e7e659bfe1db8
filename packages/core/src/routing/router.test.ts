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

const createEntry = (name: string, local = true): TargetEntry<Engine> => ({
  target: { name, dataCenter: 'a' } as Partial<Engine> as Engine,
  isLeaving: false,
  isLocal: local,
});

const createReport = (changes: Partial<LoadReport> = {}): LoadReport => ({
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
  ...changes,
});

const createRequest = (changes: Partial<RouteRequest> = {}): RouteRequest => ({
  model,
  prefixBlocks: [],
  promptTokens: 1_000,
  outputTokens: 100,
  priority: 5,
  deadline: Deadline.after(60_000),
  ...changes,
});

const createRouter = (
  entries: Entries,
  changes: Partial<RouterOptions> = {},
) => {
  const loadEstimator = new LoadEstimator();
  const prefixIndex = new PrefixIndex();
  const directory = new StaticDirectory(entries);
  const options = {
    loadEstimator,
    prefixIndex,
    directory,
    random: () => 0,
    ...changes,
  };
  return {
    book: loadEstimator,
    prefixes: prefixIndex,
    router: new Router(options),
  };
};

const chooseEngine = (router: Router, request = createRequest()): string =>
  router.placeRequest(request).caseOf({
    Left: failure => failure.code,
    Right: placement =>
      placement.kind === 'whole'
        ? placement.route.engine.name
        : `split ${placement.prefill.engine.name}`,
  });

test('leaving, closed, blocked and foreign engines get nothing', t => {
  const leaving = { ...createEntry('leaving'), isLeaving: true };
  const names = ['saysLeaving', 'closed', 'otherModel', 'blocked', 'silent'];
  const { book, router } = createRouter(
    [leaving, ...names.map(n => createEntry(n))],
    {
      isBlocked: name => name === 'blocked',
    },
  );
  book.recordReport('leaving', createReport());
  book.recordReport('saysLeaving', createReport({ leaving: true }));
  book.recordReport('closed', createReport({ accepting: false }));
  book.recordReport(
    'otherModel',
    createReport({ models: [{ ...model, version: '2' }] }),
  );
  book.recordReport('blocked', createReport());
  t.is(chooseEngine(router), 'no_target');
});

test('another data centre is chosen only when it saves the margin', t => {
  const { book, router } = createRouter([
    createEntry('near'),
    createEntry('far', false),
  ]);
  book.recordReport('far', createReport());
  book.recordReport('near', createReport({ prefillTokens: 400 }));
  t.is(chooseEngine(router), 'near');
  book.recordReport('near', createReport({ prefillTokens: 8_000 }));
  t.is(chooseEngine(router), 'far');
});

test('a cached prefix wins until its engine is too busy', t => {
  const { book, prefixes, router } = createRouter(
    ['a', 'b', 'c', 'd'].map(name => createEntry(name)),
  );
  for (const name of 'abcd') book.recordReport(name, createReport());
  const pieces = ['p1', 'p2'];
  prefixes.applyEvents('d', [{ sequence: 0, kind: 'stored', pieces }]);
  const request = createRequest({ prefixBlocks: pieces, promptTokens: 8_500 });
  t.is(chooseEngine(router, request), 'd');
  book.recordReport('d', createReport({ prefillTokens: 20_000 }));
  t.not(chooseEngine(router, request), 'd');
});

test('a long prompt is split between roles and falls back when they go', t => {
  const { book, router } = createRouter(
    ['m', 'p', 'd'].map(n => createEntry(n)),
  );
  book.recordReport('m', createReport({ prefillTokens: 50_000 }));
  book.recordReport('p', createReport({ role: 'prefill' }));
  book.recordReport('d', createReport({ role: 'decode' }));
  const request = createRequest({ promptTokens: 20_000 });
  t.is(chooseEngine(router, request), 'split p');
  const exclude = new Set(['p', 'd']);
  t.is(chooseEngine(router, { ...request, excludedEngines: exclude }), 'm');
});

test('a late choice is widened and an isolated one takes the idlest', t => {
  const { book, router } = createRouter(
    ['a', 'b', 'c'].map(n => createEntry(n)),
  );
  for (const name of 'ab') {
    book.recordReport(
      name,
      createReport({ running: 4, prefillTokens: 80_000 }),
    );
  }
  book.recordReport('c', createReport({ running: 3, prefillTokens: 1_000 }));
  t.is(
    chooseEngine(router, createRequest({ deadline: Deadline.after(5_000) })),
    'c',
  );
  t.is(chooseEngine(router, createRequest({ isIsolated: true })), 'c');
});
