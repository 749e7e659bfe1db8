/** Tests of configuration changes and of how instances follow them through outages of the table, the object store and peers. */
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

test.serial(
  'of two concurrent changes one is accepted and the other gets the difference',
  t =>
    withFakeClock(async () => {
      const platform = createPlatform();
      const a = createConfigurationInstance({ ...platform, seed: 1 });
      const b = createConfigurationInstance({ ...platform, seed: 2 });
      const results = await Promise.all([
        a.editor.apply(createConfigurationChange('op-a', 0, 1)),
        b.editor.apply(createConfigurationChange('op-b', 0, 2)),
      ]);
      t.deepEqual(results.map(getResultCode).sort(), [
        'ok',
        'revision_conflict',
      ]);
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

test.serial(
  'a change whose table response is lost is retried and made once',
  t =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const { editor } = createConfigurationInstance(platform);
      platform.table.faults.loseAnswers = 2;
      const applyPromise = editor.apply(createConfigurationChange('op-1', 0));
      await clock.tickAsync(minuteMs);
      t.is(getRevision(await applyPromise), 1);
      t.is(platform.table.listRows('config-revisions').length, 1);
    }),
);

test.serial('an operation id has the same result through every instance', t =>
  withFakeClock(async clock => {
    const platform = createPlatform();
    const first = createConfigurationInstance({ ...platform, timeoutMs: 500 });
    platform.table.faults.loseAnswers = 100;
    const applyPromise = first.editor.apply(
      createConfigurationChange('op-1', 0),
    );
    await clock.tickAsync(minuteMs);
    t.is(getResultCode(await applyPromise), 'platform_unknown');
    platform.table.faults.loseAnswers = 0;

    const second = createConfigurationInstance({ ...platform, seed: 2 });
    t.deepEqual((await second.editor.getOperationState('op-1')).extract(), {
      state: 'committed',
      revision: 1,
    });
    const repeatedResult = await second.editor.apply(
      createConfigurationChange('op-1', 0),
    );
    t.is(getRevision(repeatedResult), 1);
    const reusedIdResult = await second.editor.apply(
      createConfigurationChange('op-1', 0, 9),
    );
    t.is(getResultCode(reusedIdResult), 'operation_reused');
    t.is(platform.table.listRows('config-revisions').length, 1);
  }),
);

test.serial(
  'a table write with a delayed effect does not duplicate a repeated change',
  t =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const first = createConfigurationInstance({ ...platform, timeoutMs: 50 });
      platform.table.faults.delayEffects = 1;
      platform.table.faults.delayMs = 5_000;
      const applyPromise = first.editor.apply(
        createConfigurationChange('op-1', 0),
      );
      await clock.tickAsync(1_000);
      t.is(getResultCode(await applyPromise), 'platform_unknown');
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

test.serial(
  'a starting instance fetches the newest revision from its peers',
  t =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const olderInstance = createConfigurationInstance({
        ...platform,
        seed: 1,
      });
      await olderInstance.editor.apply(createConfigurationChange('op-1', 0));
      const newerInstance = createConfigurationInstance({
        ...platform,
        seed: 2,
      });
      await newerInstance.editor.apply(createConfigurationChange('op-2', 1, 7));
      platform.table.faults.down = true;
      platform.objects.faults.down = true;

      const network = new MemoryNetwork();
      network.attachPeer('old', olderInstance.poller.peerMethods());
      const peers = new MemoryPeerGroup(network, 'fresh');
      const startingInstance = createConfigurationInstance({
        ...platform,
        peers,
        seed: 3,
      });
      startingInstance.holder.recordCommittedRevision(2);
      await startingInstance.poller.pollOnce();
      t.true(
        startingInstance.holder.getConfiguration().isNothing(),
        'revision 1 is older than the committed revision 2',
      );

      network.attachPeer('newer', newerInstance.poller.peerMethods());
      startingInstance.poller.start();
      await clock.tickAsync(5_000);
      t.is(startingInstance.holder.revision, 2);
      await startingInstance.poller.stop();
    }),
);

test.serial('an instance rejects an older revision', async t => {
  const platform = createPlatform();
  const { editor, holder, log } = createConfigurationInstance(platform);
  await editor.apply(createConfigurationChange('op-1', 0));
  const firstConfiguration = holder.getConfiguration().unsafeCoerce();
  await editor.apply(createConfigurationChange('op-2', 1, 7));
  t.is(holder.applyIfNewer(firstConfiguration, 'late peer'), 'stale');
  t.is(holder.revision, 2);
  t.true(log.entries.some(({ name }) => name === 'revision_refused'));
});

test.serial(
  'an instance keeps its revision during a table outage and catches up afterwards',
  t =>
    withFakeClock(async clock => {
      const objects = new MemoryObjectStore();
      const table = new MemoryTable();
      const writer = createConfigurationInstance({ table, objects, seed: 1 });
      await writer.editor.apply(createConfigurationChange('op-1', 0));
      const instance = createConfigurationInstance({ table, objects, seed: 2 });
      instance.poller.start();
      await clock.tickAsync(5_000);
      t.is(instance.holder.revision, 1);

      table.faults.down = true;
      await clock.tickAsync(10 * minuteMs);
      t.is(
        instance.holder.revision,
        1,
        'the instance keeps the last known revision',
      );
      table.faults.down = false;
      await writer.editor.apply(createConfigurationChange('op-2', 1, 7));
      await clock.tickAsync(5_000);
      t.is(instance.holder.revision, 2);
      await instance.poller.stop();
    }),
);

test.serial('a peer notification applies a revision within one second', t =>
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

test.serial(
  'a revision accepted just before an outage reaches every instance',
  t =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const network = new MemoryNetwork();
      const getInstanceName = (index: number) => `instance-${index}`;
      const peerGroups = Array.from(
        { length: 24 },
        (_, i) => new MemoryPeerGroup(network, getInstanceName(i)),
      );
      const instances = peerGroups.map((peers, i) =>
        createConfigurationInstance({ ...platform, peers, seed: i }),
      );
      instances.forEach(({ poller }, i) => {
        network.attachPeer(getInstanceName(i), poller.peerMethods());
      });
      for (const { poller } of instances) poller.start();
      await clock.tickAsync(3_000);
      await instances[0]?.editor.apply(createConfigurationChange('op-1', 0));
      platform.table.faults.down = true;
      platform.objects.faults.down = true;
      await clock.tickAsync(5_000);
      t.deepEqual(
        instances.map(({ holder }) => holder.revision),
        instances.map(() => 1),
      );
      await Promise.all(instances.map(({ poller }) => poller.stop()));
    }),
);
