/** Tests of how instances confirm each other's configuration. */
import { EraTracker, Failure, Kernel, Peer } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createConfiguration,
  createMemoryLog,
} from '../fixtures/relay-fixtures.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import { readClocks } from '../shared/clock-reading.js';

import { ConfigurationFreshness } from './configuration-freshness.js';
import { FreshnessExchange } from './freshness-exchange.js';
import { chooseFreshnessSources } from './freshness-sources.js';

const maxDelayMs = 2_400;
const delayMs = 30;

class FakePeer extends Peer {
  readonly dataCenter = 'a';
  callCount = 0;

  constructor(
    readonly name: string,
    readonly incarnation: string,
    private readonly kernel: Kernel | undefined,
  ) {
    super();
  }

  override async callMethod(
    method: string,
    params: unknown,
  ): Promise<Either<Failure, unknown>> {
    this.callCount += 1;
    const handler = this.kernel?.peerMethods.get(method);
    const cause = Object.assign(new Error('no method'), { code: -32_601 });
    await new Promise(resolve => setTimeout(resolve, delayMs));
    if (handler === undefined)
      return Left(new Failure('target_failed', 'no method', { cause }));
    const result = await handler(params, 'asker');
    return result.map(value => JSON.parse(JSON.stringify(value)) as unknown);
  }

  override sendNotification(): void {
    throw new Error('a pushed message proves nothing');
  }
}

const createInstance = (version: number, peers: readonly Peer[] = []) => {
  const routes = new RouteTableHolder(createMemoryLog());
  const customers = [{ name: `c${version}`, keyHashes: [`h${version}`] }];
  if (version > 0)
    routes.applyIfNewer(createConfiguration({ version, customers }), 'test');
  const eras = new EraTracker();
  eras.recordEra(0);
  const freshness = new ConfigurationFreshness({
    getRestoreSettlingMs: () => maxDelayMs,
    isFirstStart: false,
  });
  const readRequests: number[] = [];
  const exchange = new FreshnessExchange({
    freshness,
    routes,
    eras,
    getMaxDelayMs: () => maxDelayMs,
    requestRead: () => {
      readRequests.push(performance.now());
    },
    choosePeers: excluded => peers.filter(({ name }) => !excluded.has(name)),
    random: () => 0.5,
  });
  const kernel = new Kernel();
  exchange.registerMethods(kernel);
  const read = (era = 0) => {
    const now = readClocks();
    const read = { sentAt: now, era, tableVersion: 1, rowVersion: 1 };
    freshness.recordRead(read, now);
  };
  return { routes, eras, freshness, exchange, kernel, read, readRequests };
};

const setUp = (
  t: ExecutionContext,
  version = 1,
  changePeer: (peer: FakePeer) => void = () => undefined,
) => {
  const clock = installPausedClock(t);
  const other = createInstance(2);
  const peer = new FakePeer('other', 'i', other.kernel);
  changePeer(peer);
  const instance = createInstance(version, [peer]);
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
  });
  void instance.exchange.run(stop.signal);
  return { clock, other, peer, instance };
};

test.serial(
  'an instance that reads nothing lives on the answers of another',
  async t => {
    const { clock, other, peer, instance } = setUp(t);
    other.read();
    await clock.tickAsync(100);
    const ageMs = instance.freshness.getAgeMs(readClocks());
    t.is(ageMs, 100 + delayMs, 'from the question, less the age at the answer');
    t.is(instance.routes.version, 2, 'the newer configuration came along');
    for (let i = 0; i < 100; i += 1) {
      await clock.tickAsync(100);
      other.read();
      if (i > 10)
        t.true(instance.freshness.getAgeMs(readClocks()) < 0.8 * maxDelayMs);
    }
    t.true(peer.callCount < 20, `${peer.callCount} calls in 10 s`);
    t.deepEqual(instance.readRequests, [0], 'the answers make reads needless');
  },
);

test.serial('nobody is asked while own reads are recent enough', async t => {
  const { clock, peer, instance } = setUp(t, 2);
  instance.read();
  for (let i = 0; i < 50; i += 1) {
    await clock.tickAsync(100);
    instance.read();
  }
  t.true(peer.callCount <= 1, `${peer.callCount} calls`);
});

test.serial(
  'instances that are all cut off do not confirm each other without end',
  async t => {
    const { clock, other, instance } = setUp(t);
    other.read();
    await clock.tickAsync(3_000);
    t.true(instance.freshness.getAgeMs(readClocks()) >= 3_000 - delayMs);
    t.true(instance.readRequests.length >= 3, 'the store is tried again');
  },
);

test.serial(
  'an answer without the configuration that it covers proves nothing',
  async t => {
    const { clock, other, instance } = setUp(t, 1, peer => {
      const call = peer.callMethod.bind(peer);
      peer.callMethod = async (method, params) =>
        (await call(method, params)).map(value => ({
          ...(value as object),
          configuration: undefined,
        }));
    });
    other.read();
    await clock.tickAsync(200);
    t.is(instance.freshness.getAgeMs(readClocks()), Infinity);
  },
);

test.serial('an answer of an era that has ended proves nothing', async t => {
  const { clock, other, instance } = setUp(t);
  other.read();
  instance.eras.recordEra(1);
  await clock.tickAsync(200);
  t.is(instance.freshness.getAgeMs(readClocks()), Infinity);
});

test.serial(
  'an older instance, which does not know the question, is left alone',
  async t => {
    const clock = installPausedClock(t);
    const older = new FakePeer('older', 'i', undefined);
    const instance = createInstance(1, [older]);
    const stop = new AbortController();
    t.teardown(() => {
      stop.abort();
    });
    void instance.exchange.run(stop.signal);
    await clock.tickAsync(20_000);
    t.is(older.callCount, 1);
  },
);

test.serial('nobody is asked without customers', async t => {
  const { clock, peer } = setUp(t, 0);
  await clock.tickAsync(5_000);
  t.is(peer.callCount, 0);
});

test.serial(
  'one instance of the own data centre and one of another are asked, aggregators first',
  t => {
    const candidates = ['a1', 'a2', 'b1', 'b2'].map(name => ({
      name,
      dataCenter: name.slice(0, 1),
    }));
    const choice = { candidates, dataCenter: 'a', random: () => 0.9 };
    const aggregators = new Set(['a1', 'b1']);
    t.deepEqual(chooseFreshnessSources({ ...choice, aggregators }), [
      'a1',
      'b1',
    ]);
    t.deepEqual(chooseFreshnessSources({ ...choice, aggregators: new Set() }), [
      'a2',
      'b2',
    ]);
    const near = candidates.slice(0, 2);
    const alone = {
      ...choice,
      candidates: near,
      aggregators: new Set<string>(),
    };
    t.deepEqual(chooseFreshnessSources(alone), ['a2', 'a1']);
    t.deepEqual(chooseFreshnessSources({ ...alone, candidates: [] }), []);
  },
);
