/** Drills of the control plane: faults of the platform, of instances and of maintenance plans. */
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
/** Milliseconds in which a running instance must apply a new revision. */
const propagationTimeoutMs = 5_000;

const createPlatform = () => ({
  table: new MemoryTable(),
  objects: new MemoryObjectStore(),
});

const lostAnswerDrill: Drill = {
  fault: 'the response to a configuration change is lost after the write',
  promise: 'the change is accepted once and reported under its operation id',
  run: ({ seed }) =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const { editor } = createConfigurationInstance({ ...platform, seed });
      platform.table.faults.loseAnswers = 2;
      const applyPromise = editor.apply(createConfigurationChange('op-1', 0));
      await clock.tickAsync(minuteMs);
      const outcome = getResultCode(await applyPromise);
      const revisions = platform.table.listRows('config-revisions').length;
      return {
        passed: outcome === 'ok' && revisions === 1,
        seen: `${outcome}, ${revisions} revision`,
      };
    }),
};

const concurrentChangesDrill: Drill = {
  fault: 'three operators change the configuration at the same time',
  promise: 'one change is accepted, the others get a conflict',
  run: ({ seed }) =>
    withFakeClock(async () => {
      const platform = createPlatform();
      const applyPromises = [1, 2, 3].map(n =>
        createConfigurationInstance({
          ...platform,
          seed: seed + n,
        }).editor.apply(createConfigurationChange(`op-${n}`, 0, n)),
      );
      const outcomes = (await Promise.all(applyPromises))
        .map(getResultCode)
        .sort();
      const seen = outcomes.join(', ');
      return {
        passed: seen === 'ok, revision_conflict, revision_conflict',
        seen,
      };
    }),
};

const startDuringOutageDrill: Drill = {
  fault: 'an instance starts while the platform is down',
  promise:
    'the instance fetches the newest revision from its peers and applies no older one',
  run: ({ seed }) =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const olderInstance = createConfigurationInstance({ ...platform, seed });
      await olderInstance.editor.apply(createConfigurationChange('op-1', 0));
      const newerInstance = createConfigurationInstance({
        ...platform,
        seed: seed + 1,
      });
      await newerInstance.editor.apply(createConfigurationChange('op-2', 1, 7));
      platform.table.faults.down = true;
      platform.objects.faults.down = true;
      const network = new MemoryNetwork();
      const peers = new MemoryPeerGroup(network, 'fresh');
      for (const [name, { poller }] of Object.entries({
        old: olderInstance,
        newer: newerInstance,
      })) {
        network.attachPeer(name, poller.peerMethods());
      }
      const startingInstance = createConfigurationInstance({
        ...platform,
        peers,
        seed: seed + 2,
      });
      const revisionBefore = startingInstance.holder.revision;
      startingInstance.poller.start();
      await clock.tickAsync(propagationTimeoutMs);
      await startingInstance.poller.stop();
      const { revision } = startingInstance.holder;
      return {
        passed: revisionBefore === -1 && revision === 2,
        seen: `revision ${revision} within ${propagationTimeoutMs} ms`,
      };
    }),
};

const dataCenterIsolationDrill: Drill = {
  fault: 'a data centre is cut off from the platform and its peers',
  promise: 'its instances keep the last revision and catch up after the outage',
  run: ({ seed }) =>
    withFakeClock(async clock => {
      const platform = createPlatform();
      const writer = createConfigurationInstance({ ...platform, seed });
      await writer.editor.apply(createConfigurationChange('op-1', 0));
      const instance = createConfigurationInstance({
        ...platform,
        seed: seed + 1,
      });
      instance.poller.start();
      await clock.tickAsync(propagationTimeoutMs);
      platform.table.faults.down = true;
      await clock.tickAsync(30 * minuteMs);
      const revisionDuring = instance.holder.revision;
      platform.table.faults.down = false;
      await writer.editor.apply(createConfigurationChange('op-2', 1, 7));
      await clock.tickAsync(propagationTimeoutMs);
      await instance.poller.stop();
      const revisionAfter = instance.holder.revision;
      return {
        passed: revisionDuring === 1 && revisionAfter === 2,
        seen: `revision ${revisionDuring} during the outage, ${revisionAfter} within ${propagationTimeoutMs} ms after`,
      };
    }),
};

const exploreCommands = async (
  checksFencing: boolean,
  maxFaults: number,
  maxPauses: number,
): Promise<DrillOutcome> => {
  const { violation, states, schedules } = await exploreScenario(
    createCommandScenario({
      checksFencing,
      maxFaults,
      maxPauses,
    }),
  );
  return {
    passed: violation === undefined,
    seen: violation ?? `${states} states, ${schedules} schedules`,
  };
};

const commandDrills = [true, false].flatMap((checksFencing): Drill[] => {
  const engineMode = checksFencing ? 'checks fencing' : 'ignores fencing';
  const promise = 'no conflicting commands, no effect after the lease is lost';
  return [
    {
      fault: `a lease holder crashes or loses a response at every step, engine ${engineMode}`,
      promise,
      run: () => exploreCommands(checksFencing, 1, 0),
    },
    {
      fault: `a lease holder is paused past its lease at every step, engine ${engineMode}`,
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
