/**
 * Tests of the load estimates and the prefix index with lagging reports, wrong
 * clocks and gaps in the events.
 */
import { install } from '@sinonjs/fake-timers';
import test from 'ava';

import { EmptyPeerGroup } from '../peers/peer-group.js';
import type { LoadReport } from '../target/target.js';

import { DispatchNotifier, dispatchBatchMethod } from './dispatch-notifier.js';
import { LoadEstimator } from './load-estimator.js';
import { PrefixIndex } from './prefix-index.js';

const createReport = (atMs: number, running: number, prefillTokens = 0) =>
  ({ atMs, running, queued: 0, prefillTokens }) as LoadReport;

const work = { prefillTokens: 1_000, priority: 5 };

test.serial(
  'a dispatch counts in the estimate until a later report includes it',
  t => {
    const clock = install({ now: 100_000 });
    t.teardown(() => {
      clock.uninstall();
    });
    const loadEstimator = new LoadEstimator();
    loadEstimator.recordReport('e', createReport(Date.now(), 2));
    clock.tick(500);
    const dispatch = loadEstimator.recordDispatch('e', work);
    clock.tick(500);
    const reportedAtMs = Date.now() - 700;
    loadEstimator.recordReport('e', createReport(reportedAtMs, 2));
    t.like(loadEstimator.estimateLoad('e'), {
      requests: 3,
      prefillTokens: 1_000,
    });
    loadEstimator.recordReport('e', createReport(Date.now(), 3, 1_000));
    t.like(loadEstimator.estimateLoad('e'), {
      requests: 3,
      prefillTokens: 1_000,
    });
    clock.tick(100);
    dispatch.markEnded();
    t.like(loadEstimator.estimateLoad('e'), { requests: 2, prefillTokens: 0 });
    loadEstimator.recordReport('e', createReport(Date.now() - 5_000, 9));
    t.is(
      loadEstimator.estimateLoad('e')?.requests,
      2,
      'an older report is ignored',
    );
    loadEstimator.recordReport('e', createReport(Date.now(), 2));
    t.is(loadEstimator.estimateLoad('e')?.requests, 2);
    clock.tick(31_000);
    t.is(loadEstimator.estimateLoad('e'), undefined);
  },
);

test.serial(
  'an engine clock that is an hour off neither drops nor doubles a dispatch',
  t => {
    const clock = install({ now: 100_000_000 });
    t.teardown(() => {
      clock.uninstall();
    });
    for (const offsetMs of [3_600_000, -3_600_000]) {
      const loadEstimator = new LoadEstimator();
      loadEstimator.recordReport('e', createReport(Date.now() + offsetMs, 0));
      loadEstimator.recordDispatch('e', work);
      clock.tick(1_000);
      loadEstimator.recordReport('e', createReport(Date.now() + offsetMs, 0));
      t.is(loadEstimator.estimateLoad('e')?.requests, 1);
      clock.tick(3_000);
      loadEstimator.recordReport('e', createReport(Date.now() + offsetMs, 1));
      t.is(loadEstimator.estimateLoad('e')?.requests, 1);
    }
  },
);

test.serial(
  'dispatches reported by a peer are scaled by its share and expire',
  async t => {
    const clock = install({ now: 100_000 });
    t.teardown(() => {
      clock.uninstall();
    });
    const loadEstimator = new LoadEstimator();
    loadEstimator.recordReport('e', createReport(Date.now(), 0));
    clock.tick(10);
    const peers = new EmptyPeerGroup('a');
    const notifier = new DispatchNotifier({
      loadEstimator,
      peers,
      random: () => 0.5,
    });
    const receive = notifier.getPeerMethods().get(dispatchBatchMethod);
    await receive?.({ share: 0.5, engines: [['e', 2, 600]] }, 'peer');
    await receive?.({ share: 0, engines: 'nonsense' }, 'peer');
    t.like(loadEstimator.estimateLoad('e'), {
      requests: 4,
      prefillTokens: 1_200,
    });
    clock.tick(3_000);
    t.like(loadEstimator.estimateLoad('e'), { requests: 0, prefillTokens: 0 });
  },
);

test.serial(
  'a gap in the cache events makes the known blocks uncertain and expire sooner',
  t => {
    const clock = install({ now: 100_000 });
    t.teardown(() => {
      clock.uninstall();
    });
    const index = new PrefixIndex();
    const createStoredEvent = (sequence: number, ...pieces: string[]) =>
      ({ sequence, kind: 'stored', pieces }) as const;
    index.applyEvents('e', [
      createStoredEvent(0, 'p1'),
      createStoredEvent(1, 'p2', 'p3'),
    ]);
    index.applyEvents('e', [createStoredEvent(0, 'late')]);
    const pieces = ['p1', 'p2', 'p3', 'p4'];
    t.deepEqual(index.findCachedPrefix('e', pieces), {
      blocks: 3,
      uncertainBlocks: 0,
    });
    index.applyEvents('e', [{ sequence: 2, kind: 'evicted', pieces: ['p3'] }]);
    t.deepEqual(index.findCachedPrefix('e', pieces), {
      blocks: 2,
      uncertainBlocks: 0,
    });
    index.applyEvents('e', [createStoredEvent(7, 'p2')]);
    t.deepEqual(index.findCachedPrefix('e', pieces), {
      blocks: 2,
      uncertainBlocks: 1,
    });
    clock.tick(10_000);
    t.deepEqual(index.findCachedPrefix('e', pieces), {
      blocks: 0,
      uncertainBlocks: 0,
    });
    index.recordDispatch('e', ['p1']);
    t.deepEqual(index.findCachedPrefix('e', pieces), {
      blocks: 2,
      uncertainBlocks: 1,
    });
    t.deepEqual(index.findCachedPrefix('e', ['late']), {
      blocks: 0,
      uncertainBlocks: 0,
    });
  },
);
