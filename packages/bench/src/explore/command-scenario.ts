/** Exploration scenario: two processes send conflicting commands to one engine. */
import {
  Leases,
  CommandCoordinator,
  getCommandRowKey,
  getCommandLeaseName,
  commandRecordSchema,
  getLeaseRowKey,
  leaseRecordSchema,
  SilentLog,
  sleep,
} from '@medlarlever/core';
import type {
  Failure,
  Lease,
  CommandRecord,
  EngineRole,
} from '@medlarlever/core';
import {
  FakeEngine,
  MemoryFleetList,
  MemoryTable,
} from '@medlarlever/stand-ins';
import { Just } from 'purify-ts';

import { createSeededRandom } from '../shared/seeded-random.js';

import type { ExplorationScenario, SystemUnderTest } from './explorer.js';
import {
  ScheduledEngine,
  ScheduledFleetList,
  ScheduledTable,
  CallScheduler,
} from './call-scheduler.js';
import type { TransactionAlteration } from './call-scheduler.js';

const targetName = 'engine-1';
const roleChangeMs = 400;
const retryDelayMs = 2_000;

/** Longer than the time after which another process takes over an unrenewed lease. */
const pauseMs = 20_000;

/** Limits of the scenario and the behaviour of its engine. */
export interface CommandScenarioOptions {
  /** Whether the engine rejects commands with an older fencing token. */
  readonly checksFencing: boolean;
  /** Maximum number of lost answers and crashes in one schedule. */
  readonly maxFaults: number;
  /** Maximum number of pauses in one schedule. */
  readonly maxPauses: number;
  /** Changes the transactions of every actor, to violate the protocol on purpose. */
  readonly alterTransaction?: TransactionAlteration;
}

interface SharedState {
  readonly scheduler: CallScheduler;
  readonly table: MemoryTable;
  readonly fleetList: MemoryFleetList;
  readonly engine: FakeEngine;
  readonly options: CommandScenarioOptions;
  /** Description of a false result that an actor received, if any. */
  falseResult: string | undefined;
}

interface CommandActor {
  readonly name: string;
  readonly role: EngineRole;
  readonly maxAttempts: number;
  hasFinished: boolean;
}

const readCommandRecord = (table: MemoryTable): CommandRecord | undefined => {
  const row = table.listRows(getCommandRowKey(targetName).partition).at(0);
  return row && commandRecordSchema.parse(row.value);
};

const readLeaseFencingToken = (table: MemoryTable): number => {
  const key = getLeaseRowKey(getCommandLeaseName(targetName));
  const row = table.listRows(key.partition).at(0);
  return row === undefined ? 0 : leaseRecordSchema.parse(row.value).fencing;
};

const formatIncarnation = (name: string) => `${name}#1`;

const createActorComponents = (
  shared: SharedState,
  name: string,
  seed: number,
) => {
  const { scheduler, fleetList, engine, options } = shared;
  const table = new ScheduledTable(
    scheduler,
    name,
    shared.table,
    options.alterTransaction,
  );
  const commonOptions = {
    table,
    self: { name, incarnation: formatIncarnation(name) },
    random: createSeededRandom(seed),
    log: new SilentLog(),
  };
  const leaseManager = new Leases(commonOptions);
  const scheduledEngine = new ScheduledEngine(scheduler, name, engine);
  const coordinator = new CommandCoordinator({
    ...commonOptions,
    fleet: new ScheduledFleetList(scheduler, name, fleetList),
    findEngine: () => Just(scheduledEngine),
    checksFencing: () => options.checksFencing,
  });
  return { leaseManager, coordinator };
};

type ActorComponents = ReturnType<typeof createActorComponents>;

const isCommandOpen = (table: MemoryTable, commandId: string) => {
  const record = readCommandRecord(table);
  return record?.order.id === commandId && record.state === 'open';
};

const recordFalseResult = (
  shared: SharedState,
  commandId: string,
  failure: Failure,
) => {
  if (
    failure.code === 'order_conflict' &&
    isCommandOpen(shared.table, commandId)
  ) {
    shared.falseResult = `${commandId} was refused as a conflict although it had been recorded`;
  }
};

const tryIssueCommand = async (
  shared: SharedState,
  actor: CommandActor,
  { coordinator }: ActorComponents,
  lease: Lease,
): Promise<boolean> => {
  const commandId = `order-${actor.name}`;
  const action = { kind: 'role', role: actor.role } as const;
  const wasOpen = isCommandOpen(shared.table, commandId);
  const issueResult = await coordinator.issueCommand({
    target: targetName,
    action,
    lease,
    commandId,
  });
  if (issueResult.isRight()) return true;
  if (!wasOpen)
    recordFalseResult(shared, commandId, issueResult.extract() as Failure);
  await coordinator.finishCommand({ target: targetName, lease });
  return false;
};

const runActor = async (
  sharedState: SharedState,
  actor: CommandActor,
  components: ActorComponents,
) => {
  for (let attempt = 0; attempt < actor.maxAttempts; attempt += 1) {
    const lease = (
      await components.leaseManager.acquireLease(
        getCommandLeaseName(targetName),
      )
    ).extract();
    if ('code' in lease) {
      await sleep(lease.retryAfterMs ?? retryDelayMs);
      continue;
    }
    const isIssued = await tryIssueCommand(
      sharedState,
      actor,
      components,
      lease,
    );
    await components.leaseManager.releaseLease(lease);
    if (isIssued) break;
    await sleep(retryDelayMs);
  }
  actor.hasFinished = true;
};

/** Creates a check that examines every effect directly after the step that caused it. */
const createInvariantCheck = ({ table, engine, options }: SharedState) => {
  const { commandExecutor } = engine.simulator;
  let lastRecordedId = '';
  let acceptedCount = 0;
  let highestFencingToken = 0;
  let checkedEffectCount = 0;

  const findRecordViolation = (record: CommandRecord): string | undefined => {
    if (record.order.id === lastRecordedId) return undefined;
    lastRecordedId = record.order.id;
    return record.order.fencing === readLeaseFencingToken(table)
      ? undefined
      : 'a command was recorded after the lease was lost';
  };

  const findAcceptanceViolation = (): string | undefined => {
    const command = commandExecutor.acceptedCommands.at(-1);
    if (
      command === undefined ||
      commandExecutor.acceptedCommands.length === acceptedCount
    ) {
      return undefined;
    }
    acceptedCount = commandExecutor.acceptedCommands.length;
    const isStale = command.fencing < highestFencingToken;
    highestFencingToken = Math.max(highestFencingToken, command.fencing);
    if (options.checksFencing) {
      return isStale
        ? 'a command with an older fencing token had an effect'
        : undefined;
    }
    return readCommandRecord(table)?.order.id === command.id
      ? undefined
      : 'a command other than the recorded one had an effect';
  };

  return (): string | undefined => {
    const effectCount = table.callCounts.commit + engine.callCounts.order;
    if (effectCount === checkedEffectCount) return undefined;
    checkedEffectCount = effectCount;
    if (commandExecutor.conflictCount > 0)
      return 'the engine received two conflicting commands';
    const record = readCommandRecord(table);
    return (record && findRecordViolation(record)) ?? findAcceptanceViolation();
  };
};

/** Finds a command that still names a sender although every actor that did not crash has finished. */
const findStuckCommand = (shared: SharedState): string | undefined => {
  const { scheduler, table } = shared;
  const record = readCommandRecord(table);
  const activeSender = record?.senders.find(
    ({ name }) => !scheduler.crashedActors.has(name),
  );
  return (
    activeSender && `a command still waits for its sender ${activeSender.name}`
  );
};

const createSystem = (options: CommandScenarioOptions): SystemUnderTest => {
  const { checksFencing } = options;
  const shared: SharedState = {
    scheduler: new CallScheduler(),
    table: new MemoryTable(),
    fleetList: new MemoryFleetList(),
    engine: new FakeEngine({ name: targetName, checksFencing, roleChangeMs }),
    options,
    falseResult: undefined,
  };
  const { scheduler, table, engine } = shared;
  const actors: CommandActor[] = [
    { name: 'a', role: 'prefill', maxAttempts: 1, hasFinished: false },
    { name: 'b', role: 'decode', maxAttempts: 3, hasFinished: false },
  ];
  actors.forEach((actor, i) => {
    void runActor(
      shared,
      actor,
      createActorComponents(shared, actor.name, i + 1),
    );
  });
  const findInvariantViolation = createInvariantCheck(shared);
  return {
    scheduler,
    isFinished: () =>
      actors.every(
        ({ name, hasFinished }) =>
          hasFinished || scheduler.crashedActors.has(name),
      ),
    serializeState: () =>
      JSON.stringify([
        ['leases', 'lease-renewals', 'orders'].map(name =>
          table.listRows(name),
        ),
        engine.simulator.commandExecutor.acceptedCommands,
        engine.simulator.commandExecutor.isBusy,
      ]),
    findViolation: () => shared.falseResult ?? findInvariantViolation(),
    findQuiescentViolation: () => findStuckCommand(shared),
    onActorCrashed: name => {
      shared.fleetList.putMember({
        name,
        kind: 'entry',
        dataCenter: 'dc-1',
        incarnation: formatIncarnation(name),
        address: '127.0.0.1:1',
        state: 'gone',
      });
    },
  };
};

/** Creates the scenario; a schedule violates it when a conflicting or stale command takes effect. */
export const createCommandScenario = (
  options: CommandScenarioOptions,
): ExplorationScenario => ({
  name: options.checksFencing
    ? 'orders, engine checks fencing'
    : 'orders, engine ignores fencing',
  maxFaults: options.maxFaults,
  maxPauses: options.maxPauses,
  pauseMs,
  createSystem: () => createSystem(options),
});
