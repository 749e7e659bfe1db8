import test from 'ava';

import {
  createConfiguration,
  createMemoryLog,
  createRoute,
} from '../fixtures/relay-fixtures.js';

import { RouteTableHolder } from './route-table-holder.js';
import { RouteTable, pickService } from './route-table.js';

test('findRoute picks the longest prefix of the host and ignores the query', t => {
  const table = new RouteTable(
    createConfiguration({
      routes: [
        createRoute({ name: 'short', prefix: '/a/' }),
        createRoute({ name: 'long', prefix: '/a/b/' }),
        createRoute({ name: 'other', host: 'x.example', prefix: '/a/b/c/' }),
      ],
    }),
  );
  t.is(table.findRoute('desk.example', '/a/b/c/d')?.name, 'long');
  t.is(table.findRoute('desk.example', '/a/x?y=/a/b/')?.name, 'short');
  t.is(table.findRoute('desk.example', '/b/'), undefined);
  t.is(table.findRoute('nobody.example', '/a/'), undefined);
});

test('pickService splits requests in proportion to the weights', t => {
  const route = createRoute({
    services: [
      { name: 'most', weight: 90 },
      { name: 'few', weight: 10 },
      { name: 'none', weight: 0 },
    ],
  });
  const counts = new Map<string, number>();
  for (let i = 0; i < 1_000; i += 1) {
    const name = pickService(route, i / 1_000);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  t.deepEqual(Object.fromEntries(counts), { most: 900, few: 100 });
});

test('only newer configurations are applied, whatever their source', t => {
  const log = createMemoryLog();
  const holder = new RouteTableHolder(log);
  const appliedVersions: number[] = [];
  holder.onTableChange(({ version }) => appliedVersions.push(version));
  t.true(holder.applyIfNewer(createConfiguration({ version: 3 }), 'platform'));
  t.false(holder.applyIfNewer(createConfiguration({ version: 3 }), 'peer'));
  t.false(holder.applyIfNewer(createConfiguration({ version: 2 }), 'peer'));
  t.true(holder.applyIfNewer(createConfiguration({ version: 9 }), 'peer'));
  t.is(holder.version, 9);
  t.deepEqual(appliedVersions, [3, 9]);
  const refusals = log.entries.filter(e => e.name === 'revision_refused');
  t.is(refusals.length, 1);
});
