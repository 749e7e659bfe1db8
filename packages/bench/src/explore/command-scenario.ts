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

import { seededRandom } from '../shared/seeded-random.js';

import type { Scenario, World } from './explorer.js';
import {
  ScheduledEngine,
  ScheduledFleetList,
  ScheduledTable,
  Scheduler,
} from './call-scheduler.js';
import type { Alteration } from './call-scheduler.js';

const target = 'engine-1';
const roleChangeMs = 400;
const retryMs = 2_000;

/** Longer than the time after which a lease is taken over. */
const pauseMs = 20_000;

export interface OrderScenarioOptions {
  readonly checksFencing: boolean;
  readonly faults: number;
  readonly pauses: number;
  /** Changes what each actor sends, to break the protocol on purpose. */
  readonly alter?: Alteration;
}

interface Shared {
  readonly scheduler: Scheduler;
  readonly table: MemoryTable;
  readonly fleet: MemoryFleetList;
  readonly engine: FakeEngine;
  readonly options: OrderScenarioOptions;
  /** Set when an actor was told something untrue. */
  lie: string | undefined;
}

interface Actor {
  readonly name: string;
  readonly role: EngineRole;
  readonly attempts: number;
  ended: boolean;
}

const orderOf = (table: MemoryTable): CommandRecord | undefined => {
  const row = table.listRows(getCommandRowKey(target).partition).at(0);
  return row && commandRecordSchema.parse(row.value);
};

const leaseFencingOf = (table: MemoryTable): number => {
  const key = getLeaseRowKey(getCommandLeaseName(target));
  const row = table.listRows(key.partition).at(0);
  return row === undefined ? 0 : leaseRecordSchema.parse(row.value).fencing;
};

const incarnationOf = (name: string) => `${name}#1`;

const createParts = (shared: Shared, name: string, seed: number) => {
  const { scheduler, fleet, engine, options } = shared;
  const table = new ScheduledTable(
    scheduler,
    name,
    shared.table,
    options.alter,
  );
  const common = {
    table,
    self: { name, incarnation: incarnationOf(name) },
    random: seededRandom(seed),
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

type Parts = ReturnType<typeof createParts>;

const isRecorded = (table: MemoryTable, orderId: string) => {
  const order = orderOf(table);
  return order?.order.id === orderId && order.state === 'open';
};

const noteLie = (shared: Shared, orderId: string, failure: Failure) => {
  if (failure.code === 'order_conflict' && isRecorded(shared.table, orderId)) {
    shared.lie = `${orderId} was refused though it had been recorded`;
  }
};

const tryOnce = async (
  shared: Shared,
  actor: Actor,
  { book }: Parts,
  lease: Lease,
): Promise<boolean> => {
  const orderId = `order-${actor.name}`;
  const action = { kind: 'role', role: actor.role } as const;
  const before = isRecorded(shared.table, orderId);
  const issued = await book.issueCommand({
    target,
    action,
    lease,
    commandId: orderId,
  });
  if (issued.isRight()) return true;
  if (!before) noteLie(shared, orderId, issued.extract() as Failure);
  await book.finishCommand({ target, lease });
  return false;
};

const act = async (shared: Shared, actor: Actor, parts: Parts) => {
  for (let attempt = 0; attempt < actor.attempts; attempt += 1) {
    const lease = (
      await parts.keeper.acquireLease(getCommandLeaseName(target))
    ).extract();
    if ('code' in lease) {
      await sleep(lease.retryAfterMs ?? retryMs);
      continue;
    }
    const done = await tryOnce(shared, actor, parts, lease);
    await parts.keeper.releaseLease(lease);
    if (done) break;
    await sleep(retryMs);
  }
  actor.ended = true;
};

/** Looks at every effect right after the step that made it. */
const createObserver = ({ table, engine, options }: Shared) => {
  const { commandExecutor: orders } = engine.simulator;
  let recorded = '';
  let accepted = 0;
  let highest = 0;
  let effects = 0;

  const orderBroken = (order: CommandRecord): string | undefined => {
    if (order.order.id === recorded) return undefined;
    recorded = order.order.id;
    return order.order.fencing === leaseFencingOf(table)
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
    return orderOf(table)?.order.id === order.id
      ? undefined
      : 'an order had an effect that is not the recorded one';
  };

  return (): string | undefined => {
    const now = table.callCounts.commit + engine.callCounts.order;
    if (now === effects) return undefined;
    effects = now;
    if (orders.conflictCount > 0)
      return 'the engine held two conflicting orders';
    const order = orderOf(table);
    return (order && orderBroken(order)) ?? acceptanceBroken();
  };
};

/** Every live actor has ended, so no order may wait for one of them. */
const leftOpen = (shared: Shared): string | undefined => {
  const { scheduler, table } = shared;
  const order = orderOf(table);
  const waiting = order?.senders.find(
    ({ name }) => !scheduler.crashed.has(name),
  );
  return waiting && `an order still waits for ${waiting.name}`;
};

const createWorld = (options: OrderScenarioOptions): World => {
  const { checksFencing } = options;
  const shared: Shared = {
    scheduler: new Scheduler(),
    table: new MemoryTable(),
    fleet: new MemoryFleetList(),
    engine: new FakeEngine({ name: target, checksFencing, roleChangeMs }),
    options,
    lie: undefined,
  };
  const { scheduler, table, engine } = shared;
  const actors: Actor[] = [
    { name: 'a', role: 'prefill', attempts: 1, ended: false },
    { name: 'b', role: 'decode', attempts: 3, ended: false },
  ];
  actors.forEach((actor, i) => {
    void act(shared, actor, createParts(shared, actor.name, i + 1));
  });
  const observe = createObserver(shared);
  return {
    scheduler,
    finished: () =>
      actors.every(({ name, ended }) => ended || scheduler.crashed.has(name)),
    state: () =>
      JSON.stringify([
        ['leases', 'lease-renewals', 'orders'].map(name =>
          table.listRows(name),
        ),
        engine.simulator.commandExecutor.acceptedCommands,
        engine.simulator.commandExecutor.isBusy,
      ]),
    broken: () => shared.lie ?? observe(),
    brokenAtRest: () => leftOpen(shared),
    crashed: name => {
      shared.fleet.putMember({
        name,
        kind: 'entry',
        dataCenter: 'dc-1',
        incarnation: incarnationOf(name),
        address: '127.0.0.1:1',
        state: 'gone',
      });
    },
  };
};

export const createOrderScenario = (
  options: OrderScenarioOptions,
): Scenario => ({
  name: options.checksFencing
    ? 'orders, engine checks fencing'
    : 'orders, engine ignores fencing',
  faults: options.faults,
  pauses: options.pauses,
  pauseMs,
  create: () => createWorld(options),
});
