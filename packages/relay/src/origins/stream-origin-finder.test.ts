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
}: {
  readonly origins?: StreamOrigins;
  readonly peers?: readonly Peer[];
  readonly onlyVersion?: string;
}) =>
  new StreamOriginFinder({
    origins,
    listPeers: () => peers,
    findOnlyVersion: () => onlyVersion,
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
