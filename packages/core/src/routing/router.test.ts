import test from 'ava';
import { Nothing } from 'purify-ts';

import { TargetDirectory } from '../membership/target-directory.js';
import type { DirectoryEntry } from '../membership/target-directory.js';
import { Deadline } from '../shared/time.js';
import type { Engine, LoadReport } from '../target/target.js';

import { LoadBook } from './load-estimator.js';
import { PrefixIndex } from './prefix-index.js';
import { Router } from './router.js';
import type { RouterOptions, RouteRequest } from './router.js';

const model = { name: 'style', version: '1' };

type Entries = readonly DirectoryEntry<Engine>[];

class ListDirectory extends TargetDirectory {
  constructor(readonly entries: Entries) {
    super();
  }

  override engines(): Entries {
    return this.entries;
  }

  override services(): readonly [] {
    return [];
  }

  override find() {
    return Nothing;
  }

  override markLeaving(): void {
    return;
  }

  override clearLeaving(): void {
    return;
  }
}

const entryOf = (name: string, local = true): DirectoryEntry<Engine> => ({
  target: { name, dataCenter: 'a' } as Partial<Engine> as Engine,
  leaving: false,
  local,
});

const reportOf = (changes: Partial<LoadReport> = {}): LoadReport => ({
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

const requestOf = (changes: Partial<RouteRequest> = {}): RouteRequest => ({
  model,
  pieces: [],
  promptTokens: 1_000,
  outputTokens: 100,
  priority: 5,
  deadline: Deadline.after(60_000),
  ...changes,
});

const routerOf = (entries: Entries, changes: Partial<RouterOptions> = {}) => {
  const book = new LoadBook();
  const prefixes = new PrefixIndex();
  const directory = new ListDirectory(entries);
  const options = { book, prefixes, directory, random: () => 0, ...changes };
  return { book, prefixes, router: new Router(options) };
};

const chosen = (router: Router, request = requestOf()): string =>
  router.place(request).caseOf({
    Left: failure => failure.code,
    Right: placement =>
      placement.kind === 'whole'
        ? placement.route.engine.name
        : `split ${placement.prefill.engine.name}`,
  });

test('leaving, closed, blocked and foreign engines get nothing', t => {
  const leaving = { ...entryOf('leaving'), leaving: true };
  const names = ['saysLeaving', 'closed', 'otherModel', 'blocked', 'silent'];
  const { book, router } = routerOf([leaving, ...names.map(n => entryOf(n))], {
    blocked: name => name === 'blocked',
  });
  book.reported('leaving', reportOf());
  book.reported('saysLeaving', reportOf({ leaving: true }));
  book.reported('closed', reportOf({ accepting: false }));
  book.reported(
    'otherModel',
    reportOf({ models: [{ ...model, version: '2' }] }),
  );
  book.reported('blocked', reportOf());
  t.is(chosen(router), 'no_target');
});

test('another data centre is chosen only when it saves the margin', t => {
  const { book, router } = routerOf([entryOf('near'), entryOf('far', false)]);
  book.reported('far', reportOf());
  book.reported('near', reportOf({ prefillTokens: 400 }));
  t.is(chosen(router), 'near');
  book.reported('near', reportOf({ prefillTokens: 8_000 }));
  t.is(chosen(router), 'far');
});

test('a cached prefix wins until its engine is too busy', t => {
  const { book, prefixes, router } = routerOf(
    ['a', 'b', 'c', 'd'].map(name => entryOf(name)),
  );
  for (const name of 'abcd') book.reported(name, reportOf());
  const pieces = ['p1', 'p2'];
  prefixes.learn('d', [{ sequence: 0, kind: 'stored', pieces }]);
  const request = requestOf({ pieces, promptTokens: 8_500 });
  t.is(chosen(router, request), 'd');
  book.reported('d', reportOf({ prefillTokens: 20_000 }));
  t.not(chosen(router, request), 'd');
});

test('a long prompt is split between roles and falls back when they go', t => {
  const { book, router } = routerOf(['m', 'p', 'd'].map(n => entryOf(n)));
  book.reported('m', reportOf({ prefillTokens: 50_000 }));
  book.reported('p', reportOf({ role: 'prefill' }));
  book.reported('d', reportOf({ role: 'decode' }));
  const request = requestOf({ promptTokens: 20_000 });
  t.is(chosen(router, request), 'split p');
  const exclude = new Set(['p', 'd']);
  t.is(chosen(router, { ...request, exclude }), 'm');
});

test('a late choice is widened and an isolated one takes the idlest', t => {
  const { book, router } = routerOf(['a', 'b', 'c'].map(n => entryOf(n)));
  for (const name of 'ab') {
    book.reported(name, reportOf({ running: 4, prefillTokens: 80_000 }));
  }
  book.reported('c', reportOf({ running: 3, prefillTokens: 1_000 }));
  t.is(chosen(router, requestOf({ deadline: Deadline.after(5_000) })), 'c');
  t.is(chosen(router, requestOf({ isolated: true })), 'c');
});
