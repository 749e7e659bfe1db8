/** Snapshots of instances of earlier versions, which took odd entries for targets. */
import type { PeerMesh } from '@medlarlever/core';
import test from 'ava';
import { Maybe, Right } from 'purify-ts';

import {
  createConfiguration,
  createMemoryLog,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import { TargetRegistry } from '../targets/target-registry.js';

import { PeerSnapshots } from './peer-snapshots.js';

test('odd targets in the snapshot of a peer are not used and hide no others', async t => {
  const log = createMemoryLog();
  const routes = new RouteTableHolder(log);
  const targets = new TargetRegistry({ log, getKvCacheTokens: () => 1 });
  const good = createTargetRecord('good', { address: '10.0.0.1:80' });
  const answer = {
    configuration: createConfiguration({ version: 9 }),
    includesCustomers: true,
    targets: [
      { ...good, id: 'port', address: '10.0.0.1:65536' },
      { ...good, id: 'path', address: '10.0.0.1:80/x' },
      { ...good, id: 'slots', slots: 1e308 },
      null,
      good,
    ],
  };
  const peer = { callMethod: () => Promise.resolve(Right(answer)) };
  const snapshots = new PeerSnapshots({
    getMesh: () => ({ getPeer: () => Maybe.of(peer) }) as unknown as PeerMesh,
    routes,
    targets,
    log,
    mayHaveCustomers: () => false,
  });
  await snapshots.requestSnapshot('old');
  t.is(routes.version, 9);
  t.deepEqual(
    targets.listTargets().map(({ record }) => record.id),
    ['good'],
  );
});
