import { setMaxListeners } from 'node:events';

import FakeTimers from '@sinonjs/fake-timers';
import { Kernel } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';

import { FakeTopology, FakeDeployment } from '../fixtures/fake-topology.js';
import {
  createMemoryLog,
  createServiceStates,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { StreamOrigins } from '../origins/stream-origins.js';
import { PromptQuarantine } from '../crashes/prompt-quarantine.js';
import { CrashTracker } from '../crashes/crash-tracker.js';
import { CutOffInstances } from '../forwarding/cut-off-instances.js';
import { TargetLink } from '../targets/target-link.js';
import { PrefillDemand } from '../roles/prefill-demand.js';
import { TargetRegistry } from '../targets/target-registry.js';

import { LimitReports } from './limit-reports.js';
import { LoadExchange } from './load-exchange.js';
import { loadReportMethod, memberReportMethod } from './load-report.js';
import type { LoadReport } from './load-report.js';

const createInstance = (
  name: string,
  signal: AbortSignal,
  deployment = new FakeDeployment(),
) => {
  const topology = new FakeTopology(deployment, name);
  const targets = new TargetRegistry({
    log: createMemoryLog(),
    getKvCacheTokens: () => 1_000,
  });
  targets.registerTarget(createTargetRecord('t1'));
  const promptQuarantine = new PromptQuarantine({
    log: createMemoryLog(),
    getAnswerAgeMs: () => undefined,
  });
  const crashes = new CrashTracker({ log: createMemoryLog() });
  const origins = new StreamOrigins();
  const demand = new PrefillDemand();
  const newerRevisions: number[] = [];
  const config = { revision: 1, isBroken: false };
  const exchange = new LoadExchange({
    self: name,
    log: createMemoryLog(),
    topology,
    targets,
    crashes,
    promptQuarantine,
    targetLink: new TargetLink({
      targets,
      probe: () => Promise.resolve('answers'),
      onCut: () => undefined,
      log: createMemoryLog(),
      random: () => 0.5,
    }),
    cutOffInstances: new CutOffInstances(),
    limits: new LimitReports({ targets, log: createMemoryLog() }),
    origins,
    services: createServiceStates(),
    demand,
    getRevision: () => {
      if (config.isBroken) throw new Error('defect');
      return config.revision;
    },
    onNewerRevision: (_from, revision) => newerRevisions.push(revision),
  });
  const kernel = new Kernel();
  exchange.registerMethods(kernel);
  deployment.kernelsByInstance.set(name, kernel);
  void exchange.run(signal);
  return {
    topology,
    demand,
    targets,
    crashes,
    promptQuarantine,
    origins,
    exchange,
    kernel,
    newerRevisions,
    config,
  };
};

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  const stop = new AbortController();
  // All instances of a test end with it.
  setMaxListeners(0, stop.signal);
  t.teardown(() => {
    stop.abort();
    clock.uninstall();
  });
  const deployment = new FakeDeployment();
  const addInstance = (name: string) =>
    createInstance(name, stop.signal, deployment);
  return {
    clock,
    deployment,
    addInstance,
    one: addInstance('one'),
    two: addInstance('two'),
  };
};

test.serial(
  'an instance applies the load of another one until the report expires',
  async t => {
    const { clock, deployment, one, two } = setUp(t);
    const ownTarget = one.targets.findTarget('t1');
    const peerTarget = two.targets.findTarget('t1');
    ownTarget?.startRequest();
    ownTarget?.startPrefill([], 500);
    await clock.tickAsync(400);
    t.is(peerTarget?.activeRequestCount, 1);
    t.is(peerTarget?.pendingPrefillTokens, 500);
    await clock.tickAsync(5_000);
    t.is(peerTarget?.activeRequestCount, 1);
    deployment.isolatedInstances.add('one');
    await clock.tickAsync(3_000);
    t.is(peerTarget?.activeRequestCount, 0);
  },
);

test.serial(
  'started prefills, crashes and newer revisions are reported',
  async t => {
    const { clock, one, two } = setUp(t);
    one.config.revision = 2;
    const segment = { id: 'p', tokens: 100 };
    one.exchange.recordPrefillStart('t1', [segment], 5_000);
    one.crashes.recordSuspectedCrash({ fingerprint: 'f' }, { id: 't1' });
    one.crashes.confirmCrash('t1');
    await clock.tickAsync(400);
    const cache = two.targets.findTarget('t1')?.prefixCache;
    t.is(cache?.countCachedTokens([segment]), 100);
    t.is(cache?.countCopyableTokens([segment]), 0);
    await clock.tickAsync(5_000);
    t.is(cache?.countCopyableTokens([segment]), 100);
    t.true(two.newerRevisions.includes(2));
    for (const id of ['t2', 't3']) {
      two.crashes.recordSuspectedCrash({ fingerprint: 'f' }, { id });
      two.crashes.confirmCrash(id);
    }
    t.true(two.crashes.requests.isRefused('f'));
  },
);

test.serial(
  'in a large deployment an aggregator sums the loads of its members',
  async t => {
    const { clock, addInstance, one, two } = setUp(t);
    const three = addInstance('three');
    for (const { topology } of [one, two, three]) topology.setAggregator('one');
    const findT1 = ({ targets }: typeof one) => targets.findTarget('t1');
    findT1(one)?.startRequest();
    findT1(two)?.startPrefill([], 500);
    findT1(two)?.startRequest();
    const segment = { id: 'p', tokens: 100 };
    three.exchange.recordPrefillStart('t1', [segment], 0);
    await clock.tickAsync(1_500);
    t.is(findT1(one)?.activeRequestCount, 2);
    t.is(
      findT1(two)?.activeRequestCount,
      2,
      'its own load is not counted twice',
    );
    t.is(findT1(three)?.activeRequestCount, 2);
    t.is(findT1(three)?.pendingPrefillTokens, 500);
    t.is(findT1(two)?.prefixCache.countCachedTokens([segment]), 100);
  },
);

test.serial(
  'slowness measured by one instance applies on all instances',
  async t => {
    const { clock, one, two } = setUp(t);
    const ownTarget = one.targets.listTargets()[0];
    t.truthy(ownTarget);
    if (ownTarget === undefined) return;
    ownTarget.startRequest();
    for (let i = 0; i < 5; i += 1) ownTarget.recordDuration(400, 100);
    await clock.tickAsync(800);
    t.true((two.targets.findTarget('t1')?.slowness ?? 0) > 3);
    await clock.tickAsync(800);
    const slowness = two.targets.findTarget('t1')?.slowness ?? 0;
    t.true(slowness < 4, 'samples are reported once');
    t.true(Math.abs(slowness - ownTarget.slowness) < 0.1);
  },
);

test.serial(
  'an aggregator collects the reports of members that it does not know',
  async t => {
    const { clock, addInstance, one, two } = setUp(t);
    const three = addInstance('three');
    for (const { topology } of [two, three]) topology.setAggregator('one');
    three.targets.findTarget('t1')?.startRequest();
    await clock.tickAsync(1_500);
    t.deepEqual([...one.exchange.listMembers()].sort(), ['three', 'two']);
    t.is(two.targets.findTarget('t1')?.activeRequestCount, 1);
  },
);

test.serial(
  'aggregators exchange reports and forward them to their members',
  async t => {
    const { clock, addInstance, one, two } = setUp(t);
    const far = addInstance('far');
    const farMember = addInstance('far member');
    one.topology.setAggregator('one');
    two.topology.setAggregator('one');
    one.topology.remoteAggregators = ['far'];
    far.topology.setAggregator('far');
    farMember.topology.setAggregator('far');
    far.topology.remoteAggregators = ['one'];
    two.targets.findTarget('t1')?.startRequest();
    await clock.tickAsync(1_500);
    t.is(farMember.targets.findTarget('t1')?.activeRequestCount, 1);
    farMember.targets.findTarget('t1')?.startRequest();
    await clock.tickAsync(1_500);
    t.is(two.targets.findTarget('t1')?.activeRequestCount, 2);
  },
);

test.serial(
  'a member sends at most 7 messages a second with 40 members',
  async t => {
    const { clock, deployment, addInstance, one, two } = setUp(t);
    const members = Array.from({ length: 40 }, (_, i) => addInstance(`m${i}`));
    for (const { topology } of [one, two, ...members])
      topology.setAggregator('one');
    for (const { targets } of members) targets.findTarget('t1')?.startRequest();
    await clock.tickAsync(1_000);
    deployment.sentCounts.clear();
    await clock.tickAsync(1_000);
    t.true(
      (deployment.sentCounts.get('m7') ?? 0) <= 7,
      `${deployment.sentCounts.get('m7') ?? 0}`,
    );
    t.is(members[3]?.targets.findTarget('t1')?.activeRequestCount, 40);
  },
);

test('a malformed report is rejected', async t => {
  const stop = new AbortController();
  stop.abort();
  const { kernel } = createInstance('one', stop.signal);
  await t.throwsAsync(async () => {
    await kernel.peerMethods.get(loadReportMethod)?.({ from: 1 }, 'peer');
  });
});

test.serial(
  'the peers are told within some milliseconds where a stream began',
  async t => {
    const { clock, one, two } = setUp(t);
    const origin = { service: 'engines', softwareVersion: 'v1' };
    one.origins.record('a1', origin);
    one.exchange.scheduleReport();
    await clock.tickAsync(10);
    t.deepEqual(two.origins.find('a1'), origin);
  },
);

test.serial(
  'in a large deployment all aggregators keep the origins of streams, and the members learn of limits',
  async t => {
    const { clock, addInstance, one, two } = setUp(t);
    const far = addInstance('far');
    const farMember = addInstance('far member');
    for (const { topology } of [one, two]) topology.setAggregator('one');
    for (const { topology } of [far, farMember]) topology.setAggregator('far');
    one.topology.remoteAggregators = ['far'];
    far.topology.remoteAggregators = ['one'];
    await clock.tickAsync(1_500);
    const origin = { service: 'engines', softwareVersion: 'v1' };
    two.origins.record('a1', origin);
    two.targets
      .findTarget('t1')
      ?.limiter.statement.recordLimit(2, performance.now());
    await clock.tickAsync(1_500);
    t.deepEqual(one.origins.find('a1'), origin);
    t.deepEqual(far.origins.find('a1'), origin);
    t.is(farMember.origins.find('a1'), undefined);
    t.true(farMember.targets.findTarget('t1')?.isLimited);
  },
);

test.serial(
  'an aggregator without news sends each member few messages, and one of an earlier version gets each report apart',
  async t => {
    const { clock, deployment, addInstance, one, two } = setUp(t);
    const far = addInstance('far');
    const farMember = addInstance('far member');
    for (const { topology } of [one, two]) topology.setAggregator('one');
    for (const { topology } of [far, farMember]) topology.setAggregator('far');
    one.topology.remoteAggregators = ['far'];
    far.topology.remoteAggregators = ['one'];
    const received: { readonly from: string; readonly silentMs: number }[] = [];
    const earlierKernel = new Kernel();
    earlierKernel.registerPeerMethod(loadReportMethod, params => {
      const { from, loads } = params as LoadReport;
      received.push({ from, silentMs: loads[0]?.[3] ?? -1 });
      return Promise.resolve(Right(null));
    });
    deployment.kernelsByInstance.set('earlier', earlierKernel);
    await clock.tickAsync(3_000);
    deployment.sentCounts.clear();
    await clock.tickAsync(2_000);
    const sentAtRest = deployment.sentCounts.get('one') ?? 0;
    t.true(sentAtRest <= 9, `${sentAtRest} messages in 2 s`);
    const reportOfEarlier = {
      from: 'earlier',
      revision: 1,
      loads: [],
      placed: [],
      read: [],
      crashes: [],
    };
    await one.kernel.peerMethods.get(memberReportMethod)?.(
      reportOfEarlier,
      'earlier',
    );
    farMember.targets.findTarget('t1')?.startRequest();
    await clock.tickAsync(1_500);
    t.true(received.some(({ from }) => from === 'one'));
    t.true(received.some(({ from }) => from === 'far'));
    t.is(two.targets.findTarget('t1')?.activeRequestCount, 1);
  },
);

test.serial('reports go on after an unexpected error', async t => {
  const { clock, one, two } = setUp(t);
  one.config.isBroken = true;
  one.targets.findTarget('t1')?.startRequest();
  await clock.tickAsync(1_000);
  one.config.isBroken = false;
  await clock.tickAsync(1_000);
  t.is(two.targets.findTarget('t1')?.activeRequestCount, 1);
});

test.serial(
  'the members of an aggregator learn the tokens that the others hold',
  async t => {
    const { clock, addInstance, one, two } = setUp(t);
    const three = addInstance('three');
    for (const { topology } of [one, two, three]) topology.setAggregator('one');
    const findT1 = ({ targets }: typeof one) => targets.findTarget('t1');
    for (const [instance, ownTokens] of [
      [one, 1_000],
      [two, 2_000],
    ] as const) {
      findT1(instance)?.startRequest();
      findT1(instance)?.heldTokens.hold({ sharedSegments: [], ownTokens });
    }
    await clock.tickAsync(1_500);
    t.is(findT1(one)?.reportedTokens.countTokens(9), 2_000);
    t.is(findT1(two)?.reportedTokens.countTokens(9), 1_000);
    t.is(findT1(three)?.reportedTokens.countTokens(9), 3_000);
  },
);

test.serial(
  'own tokens that the sum of the aggregator lacks hide no others',
  async t => {
    const { clock, addInstance, one, two } = setUp(t);
    const three = addInstance('three');
    for (const { topology } of [one, two, three]) topology.setAggregator('one');
    const findT1 = ({ targets }: typeof one) => targets.findTarget('t1');
    findT1(one)?.startRequest();
    findT1(one)?.heldTokens.hold({ sharedSegments: [], ownTokens: 1_000 });
    findT1(two)?.startRequest();
    findT1(two)?.heldTokens.hold({ sharedSegments: [], ownTokens: 10 });
    await clock.tickAsync(1_500);
    findT1(two)?.heldTokens.hold({ sharedSegments: [], ownTokens: 5_000 });
    for (let ms = 0; ms < 1_000; ms += 20) {
      await clock.tickAsync(20);
      const tokens = findT1(two)?.reportedTokens.countTokens(0) ?? 0;
      t.true(tokens >= 1_000, `${tokens} after ${ms} ms`);
    }
    t.is(findT1(two)?.reportedTokens.countTokens(0), 1_000);
  },
);

test.serial(
  'a report without tokens, of an older instance, leaves its requests uncounted',
  async t => {
    const { clock, one } = setUp(t);
    const report = {
      from: 'old',
      revision: 1,
      loads: [['t1', 0, 3, 5]],
      placed: [],
      read: [],
      crashes: [],
    };
    await one.kernel.peerMethods.get(loadReportMethod)?.(report, 'old');
    await clock.tickAsync(10);
    // The loads of the targets are up to date whenever they are listed.
    const [target] = one.targets.listTargets();
    t.is(target?.record.id, 't1');
    t.is(target?.reportedTokens.countTokens(700), 2_100);
  },
);
