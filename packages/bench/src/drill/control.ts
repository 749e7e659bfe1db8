/** Faults of the platform, the instances and planned changes. */
import {
  MemoryNetwork,
  MemoryObjectStore,
  MemoryPeerGroup,
  MemoryTable,
} from '@medlarlever/stand-ins';

import {
  createConfigurationChange,
  createConfigurationInstance,
  getResultCode,
  withFakeClock,
} from '../control/fixtures.js';
import { exploreScenario } from '../explore/explore-scenario.js';
import { createCommandScenario } from '../explore/command-scenario.js';

import type { Drill, DrillOutcome } from './drill.js';
import { planDrills } from './plans.js';

const minuteMs = 60_000;
const propagationTimeoutMs = 5_000;

const createPlatform = () => ({
  table: new MemoryTable(),
  objects: new MemoryObjectStore(),
});

const lostAnswerDrill: Drill = {
  fault: 'the answer of an apply is lost after the write',
  promise: 'the change is accepted once and its id says so',
  run: ({ seed }) =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const { editor } = createConfigurationInstance({ ...platform, seed });
      platform.table.faults.loseAnswers = 2;
      const applying = editor.apply(createConfigurationChange('op-1', 0));
      await clock.tickAsync(minuteMs);
      const outcome = getResultCode(await applying);
      const revisions = platform.table.listRows('config-revisions').length;
      return {
        passed: outcome === 'ok' && revisions === 1,
        seen: `${outcome}, ${revisions} revision`,
      };
    }),
};

const concurrentChangesDrill: Drill = {
  fault: 'operators race each other',
  promise: 'one change is accepted, the others get a conflict',
  run: ({ seed }) =>
    withFakeClock(async () => {
      const platform = createPlatform();
      const applies = [1, 2, 3].map(n =>
        createConfigurationInstance({
          ...platform,
          seed: seed + n,
        }).editor.apply(createConfigurationChange(`op-${n}`, 0, n)),
      );
      const outcomes = (await Promise.all(applies)).map(getResultCode).sort();
      const seen = outcomes.join(', ');
      return {
        passed: seen === 'ok, revision_conflict, revision_conflict',
        seen,
      };
    }),
};

const startDuringOutageDrill: Drill = {
  fault: 'an instance starts while the platform is down',
  promise: 'it takes the newest revision of its peers and none before',
  run: ({ seed }) =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const old = createConfigurationInstance({ ...platform, seed });
      await old.editor.apply(createConfigurationChange('op-1', 0));
      const newer = createConfigurationInstance({
        ...platform,
        seed: seed + 1,
      });
      await newer.editor.apply(createConfigurationChange('op-2', 1, 7));
      platform.table.faults.down = true;
      platform.objects.faults.down = true;
      const network = new MemoryNetwork();
      const peers = new MemoryPeerGroup(network, 'fresh');
      for (const [name, { poller }] of Object.entries({ old, newer })) {
        network.attachPeer(name, poller.peerMethods());
      }
      const fresh = createConfigurationInstance({
        ...platform,
        peers,
        seed: seed + 2,
      });
      const before = fresh.holder.revision;
      fresh.poller.start();
      await clock.tickAsync(propagationTimeoutMs);
      await fresh.poller.stop();
      const { revision } = fresh.holder;
      return {
        passed: before === -1 && revision === 2,
        seen: `revision ${revision} within ${propagationTimeoutMs} ms`,
      };
    }),
};

const dataCenterIsolationDrill: Drill = {
  fault: 'a data centre is cut off from platform and peers',
  promise: 'it goes on with its last revision and catches up by itself',
  run: ({ seed }) =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const writer = createConfigurationInstance({ ...platform, seed });
      await writer.editor.apply(createConfigurationChange('op-1', 0));
      const node = createConfigurationInstance({ ...platform, seed: seed + 1 });
      node.poller.start();
      await clock.tickAsync(propagationTimeoutMs);
      platform.table.faults.down = true;
      await clock.tickAsync(30 * minuteMs);
      const during = node.holder.revision;
      platform.table.faults.down = false;
      await writer.editor.apply(createConfigurationChange('op-2', 1, 7));
      await clock.tickAsync(propagationTimeoutMs);
      await node.poller.stop();
      const after = node.holder.revision;
      return {
        passed: during === 1 && after === 2,
        seen: `revision ${during} during the cut, ${after} within ${propagationTimeoutMs} ms after`,
      };
    }),
};

const exploreCommands = async (
  checksFencing: boolean,
  faults: number,
  pauses: number,
): Promise<DrillOutcome> => {
  const { violation, states, schedules } = await exploreScenario(
    createCommandScenario({
      checksFencing,
      maxFaults: faults,
      maxPauses: pauses,
    }),
  );
  return {
    passed: violation === undefined,
    seen: violation ?? `${states} states, ${schedules} schedules`,
  };
};

const commandDrills = [true, false].flatMap((checksFencing): Drill[] => {
  const engine = checksFencing ? 'checks fencing' : 'ignores fencing';
  const promise = 'no conflicting orders, no effect after authority is lost';
  return [
    {
      fault: `a holder crashes or loses an answer at every step, engine ${engine}`,
      promise,
      run: () => exploreCommands(checksFencing, 1, 0),
    },
    {
      fault: `a holder is paused at every step past its lease, engine ${engine}`,
      promise,
      run: () => exploreCommands(checksFencing, 0, 1),
    },
  ];
});

export const controlDrills: readonly Drill[] = [
  lostAnswerDrill,
  concurrentChangesDrill,
  startDuringOutageDrill,
  dataCenterIsolationDrill,
  ...commandDrills,
  ...planDrills,
];
