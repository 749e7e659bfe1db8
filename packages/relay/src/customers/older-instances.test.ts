/** Tests that instances which know no customers open no way round the keys in an upgrade. */
import { Kernel } from '@medlarlever/core';
import type { PeerMesh } from '@medlarlever/core';
import test from 'ava';
import { Maybe, Right } from 'purify-ts';

import { isKnownAddress } from '../forwarding/known-addresses.js';
import {
  createConfiguration,
  createMemoryLog,
} from '../fixtures/relay-fixtures.js';
import { PeerSnapshots } from '../peers/peer-snapshots.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import { TargetRegistry } from '../targets/target-registry.js';

const customers = [{ name: 'first', keyHashes: ['h1'] }];

const setUp = (answer: object, mayHaveCustomers: boolean) => {
  const log = createMemoryLog();
  const routes = new RouteTableHolder(log);
  const peer = { callMethod: () => Promise.resolve(Right(answer)) };
  const snapshots = new PeerSnapshots({
    getMesh: () => ({ getPeer: () => Maybe.of(peer) }) as unknown as PeerMesh,
    routes,
    targets: new TargetRegistry({ log, getKvCacheTokens: () => 1 }),
    log,
    mayHaveCustomers: () => mayHaveCustomers,
  });
  return { routes, snapshots };
};

const oldAnswer = {
  configuration: createConfiguration({ version: 9 }),
  targets: [],
};

test('the snapshot of an older instance never takes customers away', async t => {
  const { routes, snapshots } = setUp(oldAnswer, false);
  routes.applyIfNewer(
    createConfiguration({ version: 3, customers }),
    'platform',
  );
  await snapshots.requestSnapshot('old');
  t.is(routes.version, 3);
  t.true(routes.currentTable?.requiresKeys);
});

test('an instance that knows nothing takes no customers for certain from an older one', async t => {
  const bounded = setUp(oldAnswer, true);
  await bounded.snapshots.requestSnapshot('old');
  t.is(bounded.routes.currentTable, undefined);
  const unbounded = setUp(oldAnswer, false);
  await unbounded.snapshots.requestSnapshot('old');
  t.is(unbounded.routes.version, 9);
});

test('the snapshot of a new instance carries its customers', async t => {
  const source = setUp({}, true);
  source.routes.applyIfNewer(
    createConfiguration({ version: 4, customers }),
    'x',
  );
  const kernel = new Kernel();
  source.snapshots.registerMethods(kernel);
  const answer = await kernel.peerMethods.get('relay.snapshot')?.({}, 'i');
  const { routes, snapshots } = setUp(answer?.unsafeCoerce() as object, true);
  await snapshots.requestSnapshot('new');
  t.is(routes.currentTable?.findCustomerByKey('h1')?.name, 'first');
});

test('the same version with customers replaces one without, and not the other way', t => {
  const routes = new RouteTableHolder(createMemoryLog());
  const without = createConfiguration({ version: 5 });
  t.true(routes.applyIfNewer(without, 'old'));
  t.true(routes.applyIfNewer({ ...without, customers }, 'platform'));
  t.false(routes.applyIfNewer(without, 'old'));
  t.false(routes.applyIfNewer({ ...without, customers }, 'platform'));
  t.true(routes.currentTable?.requiresKeys);
});

test('only the hosts of instances are known addresses', t => {
  const addresses = ['10.0.0.1:7000', '10.0.0.2:7000'];
  t.true(isKnownAddress('10.0.0.2', addresses));
  t.true(isKnownAddress('::ffff:10.0.0.1', addresses));
  t.false(isKnownAddress('10.0.0.20', addresses));
  t.false(isKnownAddress(undefined, addresses));
});
