import type { AcceptedChange, Failure } from '@medlarlever/core';
import {
  MemoryNetwork,
  MemoryObjectStore,
  MemoryPeerGroup,
  MemoryTable,
} from '@medlarlever/stand-ins';
import test from 'ava';
import type { Either } from 'purify-ts';

import {
  createConfigurationChange,
  createConfigurationInstance,
  getResultCode,
  withFakeClock,
} from './fixtures.js';

const createPlatform = () => ({
  table: new MemoryTable(),
  objects: new MemoryObjectStore(),
});

const getRevision = (result: Either<Failure, AcceptedChange>) =>
  result.map(({ revision }) => revision).extract();

const minuteMs = 60_000;

test.serial('of racing changes one is accepted and the other sees why', t =>
  withFakeClock(async () => {
    const platform = createPlatform();
    const a = createConfigurationInstance({ ...platform, seed: 1 });
    const b = createConfigurationInstance({ ...platform, seed: 2 });
    const results = await Promise.all([
      a.editor.apply(createConfigurationChange('op-a', 0, 1)),
      b.editor.apply(createConfigurationChange('op-b', 0, 2)),
    ]);
    t.deepEqual(results.map(getResultCode).sort(), ['ok', 'revision_conflict']);
    const failures = results.flatMap(result =>
      result.isLeft() ? [result.extract()] : [],
    );
    t.like(failures, [
      {
        details: {
          head: 1,
          difference: [{ template: 'style', change: 'added' }],
        },
      },
    ]);
    t.is(platform.table.listRows('config-revisions').length, 1);
  }),
);

test.serial('a lost answer is settled and the change is made once', t =>
  withFakeClock(async clock => {
    const platform = createPlatform();
    const { editor } = createConfigurationInstance(platform);
    platform.table.faults.loseAnswers = 2;
    const applying = editor.apply(createConfigurationChange('op-1', 0));
    await clock.tickAsync(minuteMs);
    t.is(getRevision(await applying), 1);
    t.is(platform.table.listRows('config-revisions').length, 1);
  }),
);

test.serial('an operation id has one result through any instance', t =>
  withFakeClock(async clock => {
    const platform = createPlatform();
    const first = createConfigurationInstance({ ...platform, timeoutMs: 500 });
    platform.table.faults.loseAnswers = 100;
    const applying = first.editor.apply(createConfigurationChange('op-1', 0));
    await clock.tickAsync(minuteMs);
    t.is(getResultCode(await applying), 'platform_unknown');
    platform.table.faults.loseAnswers = 0;

    const second = createConfigurationInstance({ ...platform, seed: 2 });
    t.deepEqual((await second.editor.getOperationState('op-1')).extract(), {
      state: 'committed',
      revision: 1,
    });
    const again = await second.editor.apply(
      createConfigurationChange('op-1', 0),
    );
    t.is(getRevision(again), 1);
    const reused = await second.editor.apply(
      createConfigurationChange('op-1', 0, 9),
    );
    t.is(getResultCode(reused), 'operation_reused');
    t.is(platform.table.listRows('config-revisions').length, 1);
  }),
);

test.serial('an effect that comes late does not double a repeated change', t =>
  withFakeClock(async clock => {
    const platform = createPlatform();
    const first = createConfigurationInstance({ ...platform, timeoutMs: 50 });
    platform.table.faults.delayEffects = 1;
    platform.table.faults.delayMs = 5_000;
    const applying = first.editor.apply(createConfigurationChange('op-1', 0));
    await clock.tickAsync(1_000);
    t.is(getResultCode(await applying), 'platform_unknown');
    t.deepEqual((await first.editor.getOperationState('op-1')).extract(), {
      state: 'unknown',
    });
    const second = createConfigurationInstance({ ...platform, seed: 2 });
    t.is(
      getRevision(
        await second.editor.apply(createConfigurationChange('op-1', 0)),
      ),
      1,
    );
    await clock.tickAsync(10_000);
    const history = await second.editor.listRevisions();
    t.is(history.map(records => records.length).extract(), 1);
  }),
);

test.serial('a starting instance takes the newest revision of its peers', t =>
  withFakeClock(async clock => {
    const platform = createPlatform();
    const old = createConfigurationInstance({ ...platform, seed: 1 });
    await old.editor.apply(createConfigurationChange('op-1', 0));
    const newer = createConfigurationInstance({ ...platform, seed: 2 });
    await newer.editor.apply(createConfigurationChange('op-2', 1, 7));
    platform.table.faults.down = true;
    platform.objects.faults.down = true;

    const network = new MemoryNetwork();
    network.attachPeer('old', old.poller.peerMethods());
    const peers = new MemoryPeerGroup(network, 'fresh');
    const fresh = createConfigurationInstance({ ...platform, peers, seed: 3 });
    fresh.holder.recordCommittedRevision(2);
    await fresh.poller.pollOnce();
    t.true(
      fresh.holder.getConfiguration().isNothing(),
      'revision 1 is older than seen',
    );

    network.attachPeer('newer', newer.poller.peerMethods());
    fresh.poller.start();
    await clock.tickAsync(5_000);
    t.is(fresh.holder.revision, 2);
    await fresh.poller.stop();
  }),
);

test.serial('no offer from anywhere takes an instance back', async t => {
  const platform = createPlatform();
  const { editor, holder, log } = createConfigurationInstance(platform);
  await editor.apply(createConfigurationChange('op-1', 0));
  const first = holder.getConfiguration().unsafeCoerce();
  await editor.apply(createConfigurationChange('op-2', 1, 7));
  t.is(holder.applyIfNewer(first, 'late peer'), 'stale');
  t.is(holder.revision, 2);
  t.true(log.entries.some(({ name }) => name === 'revision_refused'));
});

test.serial('an instance cut off goes on and catches up by itself', t =>
  withFakeClock(async clock => {
    const objects = new MemoryObjectStore();
    const table = new MemoryTable();
    const writer = createConfigurationInstance({ table, objects, seed: 1 });
    await writer.editor.apply(createConfigurationChange('op-1', 0));
    const node = createConfigurationInstance({ table, objects, seed: 2 });
    node.poller.start();
    await clock.tickAsync(5_000);
    t.is(node.holder.revision, 1);

    table.faults.down = true;
    await clock.tickAsync(10 * minuteMs);
    t.is(node.holder.revision, 1, 'it serves on what it has');
    table.faults.down = false;
    await writer.editor.apply(createConfigurationChange('op-2', 1, 7));
    await clock.tickAsync(5_000);
    t.is(node.holder.revision, 2);
    await node.poller.stop();
  }),
);

test.serial('a hint brings a revision in force within a second', t =>
  withFakeClock(async clock => {
    const platform = createPlatform();
    const network = new MemoryNetwork();
    const peers = new MemoryPeerGroup(network, 'writer');
    const writer = createConfigurationInstance({ ...platform, peers, seed: 1 });
    const reader = createConfigurationInstance({ ...platform, seed: 2 });
    network.attachPeer('reader', reader.poller.peerMethods());
    reader.poller.start();
    await clock.tickAsync(10);
    await writer.editor.apply(createConfigurationChange('op-1', 0));
    await clock.tickAsync(600);
    t.is(reader.holder.revision, 1);
    await reader.poller.stop();
  }),
);

test.serial('a revision accepted just before an outage reaches everyone', t =>
  withFakeClock(async clock => {
    const platform = createPlatform();
    const network = new MemoryNetwork();
    const nameOf = (index: number) => `instance-${index}`;
    const groups = Array.from(
      { length: 24 },
      (_, i) => new MemoryPeerGroup(network, nameOf(i)),
    );
    const nodes = groups.map((peers, i) =>
      createConfigurationInstance({ ...platform, peers, seed: i }),
    );
    nodes.forEach(({ poller }, i) => {
      network.attachPeer(nameOf(i), poller.peerMethods());
    });
    for (const { poller } of nodes) poller.start();
    await clock.tickAsync(3_000);
    await nodes[0]?.editor.apply(createConfigurationChange('op-1', 0));
    platform.table.faults.down = true;
    platform.objects.faults.down = true;
    await clock.tickAsync(5_000);
    t.deepEqual(
      nodes.map(({ holder }) => holder.revision),
      nodes.map(() => 1),
    );
    await Promise.all(nodes.map(({ poller }) => poller.stop()));
  }),
);
