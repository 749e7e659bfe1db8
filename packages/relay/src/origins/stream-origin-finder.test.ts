import { Failure, Kernel, Peer } from '@medlarlever/core';
import test from 'ava';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { StreamOriginFinder } from './stream-origin-finder.js';
import { StreamOrigins } from './stream-origins.js';

const origin = { service: 'engines', softwareVersion: 'v2' };

/** Peer that answers from its own origins, late, or not at all. */
class FakePeer extends Peer {
  readonly name = 'peer';
  readonly dataCenter = 'a';
  readonly incarnation = 'x';
  readonly #kernel = new Kernel();

  constructor(
    origins: StreamOrigins,
    private readonly isReachable = true,
  ) {
    super();
    createFinder({ origins }).registerMethods(this.#kernel);
  }

  override async callMethod(
    method: string,
    params: unknown,
  ): Promise<Either<Failure, unknown>> {
    if (!this.isReachable) return Left(new Failure('internal', 'no answer'));
    const result = await this.#kernel.peerMethods.get(method)?.(params, 'me');
    return result ?? Left(new Failure('internal', 'no such method'));
  }

  override sendNotification(): void {
    return;
  }
}

const createFinder = ({
  origins = new StreamOrigins(),
  peers = [],
  onlyVersion,
  refreshTargets = () => Promise.resolve(true),
}: {
  readonly origins?: StreamOrigins;
  readonly peers?: readonly Peer[];
  readonly onlyVersion?: string | (() => string | undefined);
  readonly refreshTargets?: () => Promise<boolean>;
}) =>
  new StreamOriginFinder({
    origins,
    listPeers: () => peers,
    findOnlyVersion: () =>
      typeof onlyVersion === 'function' ? onlyVersion() : onlyVersion,
    refreshTargets,
  });

const createKnowing = (): StreamOrigins => {
  const origins = new StreamOrigins();
  origins.record('a1', origin);
  return origins;
};

test('the origin of a stream that began here is known', async t => {
  const finder = createFinder({ origins: createKnowing(), onlyVersion: 'v1' });
  t.deepEqual(await finder.find('a1', ['engines']), { origin, source: 'told' });
});

test('a peer that knows the origin is asked, whatever the others say', async t => {
  const peers = [
    new FakePeer(new StreamOrigins(), false),
    new FakePeer(new StreamOrigins()),
    new FakePeer(createKnowing()),
  ];
  const finder = createFinder({ peers });
  t.deepEqual(await finder.find('a1', ['engines']), {
    origin,
    source: 'asked',
  });
});

test('an origin that no peer knows stays unknown', async t => {
  const unknown = { origin: undefined, source: 'unknown' } as const;
  const peers = [new FakePeer(createKnowing())];
  t.deepEqual(await createFinder({ peers }).find('b1', ['engines']), unknown);
  t.deepEqual(await createFinder({}).find('b1', ['engines']), unknown);
  t.deepEqual(
    await createFinder({ peers }).find(undefined, ['engines']),
    unknown,
  );
});

test('where there was one version, every stream began there', async t => {
  const finder = createFinder({ onlyVersion: 'v1' });
  const found = await finder.find('b1', ['engines']);
  t.deepEqual(found.origin, { service: 'engines', softwareVersion: 'v1' });
  t.is((await finder.find(undefined, ['engines'])).source, 'only_version');
  t.is((await finder.find('b1', ['engines', 'other'])).source, 'unknown');
});

// The list of targets may be seconds old after a suspension or on a silent connection,
// while the stream began at a version that came since.
test('a version that has come since the list was read is not overlooked', async t => {
  let versions = ['v1'];
  const finder = createFinder({
    onlyVersion: () => (versions.length === 1 ? versions[0] : undefined),
    refreshTargets: () => {
      versions = ['v1', 'v2'];
      return Promise.resolve(true);
    },
  });
  t.is((await finder.find('b1', ['engines'])).source, 'unknown');
});

test('without a fresh list of targets, the peers are asked', async t => {
  const finder = createFinder({
    peers: [new FakePeer(createKnowing())],
    onlyVersion: 'v1',
    refreshTargets: () => Promise.resolve(false),
  });
  t.deepEqual(await finder.find('a1', ['engines']), {
    origin,
    source: 'asked',
  });
});

test('an unexpected error while the list is read leaves the stream unknown', async t => {
  const finder = createFinder({
    onlyVersion: 'v1',
    refreshTargets: () => Promise.reject(new Error('defect')),
  });
  t.is((await finder.find('b1', ['engines'])).source, 'unknown');
});

test('a list of targets that does not come in time is not waited for', async t => {
  const finder = createFinder({
    onlyVersion: 'v1',
    refreshTargets: () => new Promise(() => undefined),
  });
  t.is((await finder.find('b1', ['engines'])).source, 'unknown');
});

test('origins are reported once, and a version without a name stays so', t => {
  const one = createKnowing();
  one.record('a2', { service: 'engines' });
  const two = new StreamOrigins();
  two.apply(one.takeUnreported());
  t.false(one.hasUnreported);
  t.deepEqual(two.find('a1'), origin);
  t.is(two.find('a2')?.softwareVersion, undefined);
  t.false(two.hasUnreported);
});

test('a stream with an absurdly long id is not remembered', t => {
  const origins = new StreamOrigins();
  origins.record('a'.repeat(129), origin);
  t.false(origins.hasUnreported);
  t.is(origins.find('a'.repeat(129)), undefined);
});
