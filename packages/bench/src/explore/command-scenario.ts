/** Two processes give one engine different orders. */
import {
  LeaseManager,
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

/** Longer than the time after which a lease is taken over. */
const pauseMs = 20_000;

export interface CommandScenarioOptions {
  readonly checksFencing: boolean;
  readonly maxFaults: number;
  readonly maxPauses: number;
  /** Changes what each actor sends, to break the protocol on purpose. */
  readonly alterTransaction?: TransactionAlteration;
}

interface SharedState {
  readonly scheduler: CallScheduler;
  readonly table: MemoryTable;
  readonly fleetList: MemoryFleetList;
  readonly engine: FakeEngine;
  readonly options: CommandScenarioOptions;
  /** Set when an actor was told something untrue. */
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
  const { scheduler, fleetList: fleet, engine, options } = shared;
  const table = new ScheduledTable(
    scheduler,
    name,
    shared.table,
    options.alterTransaction,
  );
  const common = {
    table,
    self: { name, incarnation: formatIncarnation(name) },
    random: createSeededRandom(seed),
    log: new SilentLog(),
  };
  const keeper = new LeaseManager(common);
  const scheduledEngine = new ScheduledEngine(scheduler, name, engine);
  const book = new CommandCoordinator({
    ...common,
    fleet: new ScheduledFleetList(scheduler, name, fleet),
    findEngine: () => Just(scheduledEngine),
    checksFencing: () => options.checksFencing,
  });
  return { keeper, book };
};

type ActorComponents = ReturnType<typeof createActorComponents>;

const isCommandOpen = (table: MemoryTable, orderId: string) => {
  const order = readCommandRecord(table);
  return order?.order.id === orderId && order.state === 'open';
};

const recordFalseResult = (
  shared: SharedState,
  orderId: string,
  failure: Failure,
) => {
  if (
    failure.code === 'order_conflict' &&
    isCommandOpen(shared.table, orderId)
  ) {
    shared.falseResult = `${orderId} was refused though it had been recorded`;
  }
};

const tryIssueCommand = async (
  shared: SharedState,
  actor: CommandActor,
  { book }: ActorComponents,
  lease: Lease,
): Promise<boolean> => {
  const orderId = `order-${actor.name}`;
  const action = { kind: 'role', role: actor.role } as const;
  const before = isCommandOpen(shared.table, orderId);
  const issued = await book.issueCommand({
    target: targetName,
    action,
    lease,
    commandId: orderId,
  });
  if (issued.isRight()) return true;
  if (!before) recordFalseResult(shared, orderId, issued.extract() as Failure);
  await book.finishCommand({ target: targetName, lease });
  return false;
};

const runActor = async (
  shared: SharedState,
  actor: CommandActor,
  parts: ActorComponents,
) => {
  for (let attempt = 0; attempt < actor.maxAttempts; attempt += 1) {
    const lease = (
      await parts.keeper.acquireLease(getCommandLeaseName(targetName))
    ).extract();
    if ('code' in lease) {
      await sleep(lease.retryAfterMs ?? retryDelayMs);
      continue;
    }
    const done = await tryIssueCommand(shared, actor, parts, lease);
    await parts.keeper.releaseLease(lease);
    if (done) break;
    await sleep(retryDelayMs);
  }
  actor.hasFinished = true;
};

/** Looks at every effect right after the step that made it. */
const createInvariantCheck = ({ table, engine, options }: SharedState) => {
  const { commandExecutor: orders } = engine.simulator;
  let recorded = '';
  let accepted = 0;
  let highest = 0;
  let effects = 0;

  const orderBroken = (order: CommandRecord): string | undefined => {
    if (order.order.id === recorded) return undefined;
    recorded = order.order.id;
    return order.order.fencing === readLeaseFencingToken(table)
      ? undefined
      : 'an order was recorded after the authority was lost';
  };

  const acceptanceBroken = (): string | undefined => {
    const order = orders.acceptedCommands.at(-1);
    if (order === undefined || orders.acceptedCommands.length === accepted) {
      return undefined;
    }
    accepted = orders.acceptedCommands.length;
    const late = order.fencing < highest;
    highest = Math.max(highest, order.fencing);
    if (options.checksFencing) {
      return late ? 'an older fencing number had an effect' : undefined;
    }
    return readCommandRecord(table)?.order.id === order.id
      ? undefined
      : 'an order had an effect that is not the recorded one';
  };

  return (): string | undefined => {
    const now = table.callCounts.commit + engine.callCounts.order;
    if (now === effects) return undefined;
    effects = now;
    if (orders.conflictCount > 0)
      return 'the engine held two conflicting orders';
    const order = readCommandRecord(table);
    return (order && orderBroken(order)) ?? acceptanceBroken();
  };
};

/** Every live actor has ended, so no order may wait for one of them. */
const findStuckCommand = (shared: SharedState): string | undefined => {
  const { scheduler, table } = shared;
  const order = readCommandRecord(table);
  const waiting = order?.senders.find(
    ({ name }) => !scheduler.crashedActors.has(name),
  );
  return waiting && `an order still waits for ${waiting.name}`;
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
  const observe = createInvariantCheck(shared);
  return {
    scheduler,
    isFinished: () =>
      actors.every(
        ({ name, hasFinished: ended }) =>
          ended || scheduler.crashedActors.has(name),
      ),
    serializeState: () =>
      JSON.stringify([
        ['leases', 'lease-renewals', 'orders'].map(name =>
          table.listRows(name),
        ),
        engine.simulator.commandExecutor.acceptedCommands,
        engine.simulator.commandExecutor.isBusy,
      ]),
    findViolation: () => shared.falseResult ?? observe(),
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
