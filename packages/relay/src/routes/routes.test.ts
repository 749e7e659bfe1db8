import test from 'ava';

import { aConfiguration, aLog, aRoute } from '../fixtures/relay-fixtures.js';

import { RouteHolder } from './route-table-holder.js';
import { RouteTable, pickService } from './route-table.js';

test('the longest prefix of the host wins, the query does not count', t => {
  const table = new RouteTable(
    aConfiguration({
      routes: [
        aRoute({ name: 'short', prefix: '/a/' }),
        aRoute({ name: 'long', prefix: '/a/b/' }),
        aRoute({ name: 'other', host: 'x.example', prefix: '/a/b/c/' }),
      ],
    }),
  );
  t.is(table.find('desk.example', '/a/b/c/d')?.name, 'long');
  t.is(table.find('desk.example', '/a/x?y=/a/b/')?.name, 'short');
  t.is(table.find('desk.example', '/b/'), undefined);
  t.is(table.find('nobody.example', '/a/'), undefined);
});

test('requests are split by weight', t => {
  const route = aRoute({
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

test('a configuration only moves forward, whoever offers it', t => {
  const log = aLog();
  const holder = new RouteHolder(log);
  const seen: number[] = [];
  holder.onChange(({ version }) => seen.push(version));
  t.true(holder.offer(aConfiguration({ version: 3 }), 'platform'));
  t.false(holder.offer(aConfiguration({ version: 3 }), 'peer'));
  t.false(holder.offer(aConfiguration({ version: 2 }), 'peer'));
  t.true(holder.offer(aConfiguration({ version: 9 }), 'peer'));
  t.is(holder.version, 9);
  t.deepEqual(seen, [3, 9]);
  const refused = log.entries.filter(e => e.name === 'revision_refused');
  t.is(refused.length, 1);
});
