/** Two operators change the configuration while an instance follows it. */
import {
  headRowKey,
  configurationHeadSchema,
  getOperationRowKey,
  revisionPartition,
  revisionRecordSchema,
  sleep,
} from '@medlarlever/core';
import { MemoryObjectStore, MemoryTable } from '@medlarlever/stand-ins';

import {
  createConfigurationChange,
  createConfigurationInstance,
} from '../control/fixtures.js';
import type { ConfigurationInstance } from '../control/fixtures.js';

import type { ExplorationScenario, SystemUnderTest } from './explorer.js';
import { ScheduledTable, CallScheduler } from './call-scheduler.js';
import type { TransactionAlteration } from './call-scheduler.js';

const pauseMs = 20_000;
const maxAttempts = 4;
const retryDelayMs = 1_000;
const pollCount = 3;

export interface ConfigurationScenarioOptions {
  readonly maxFaults: number;
  readonly maxPauses: number;
  readonly alterTransaction?: TransactionAlteration;
}

interface ConfigurationActor {
  readonly name: string;
  hasFinished: boolean;
  /** Revision that the operator was told, or the refusal. */
  result: number | string | undefined;
}

/** Goes on under the same operation id until the answer is definite. */
const applyUntilDefinite = async (
  editor: ConfigurationActor,
  node: ConfigurationInstance,
  priority: number,
) => {
  const change = createConfigurationChange(`op-${editor.name}`, 0, priority);
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const applied = await node.editor.apply(change);
    editor.result = applied.caseOf<number | string>({
      Left: failure => failure.code,
      Right: ({ revision }) => revision,
    });
    if (editor.result !== 'platform_unknown') break;
    await sleep(retryDelayMs);
  }
  editor.hasFinished = true;
};

const pollConfiguration = async (
  reader: ConfigurationActor,
  node: ConfigurationInstance,
) => {
  for (let n = 0; n < pollCount; n += 1) {
    await node.poller.pollOnce();
    await sleep(retryDelayMs);
  }
  reader.hasFinished = true;
};

const readHeadRevision = (table: MemoryTable): number => {
  const row = table.listRows(headRowKey.partition).at(0);
  return row === undefined
    ? 0
    : configurationHeadSchema.parse(row.value).revision;
};

const readRevisionRecords = (table: MemoryTable) =>
  table
    .listRows(revisionPartition)
    .map(row => revisionRecordSchema.parse(row.value));

const isOperationRecorded = (table: MemoryTable, name: string) => {
  const { partition, sort } = getOperationRowKey(`op-${name}`);
  return table.listRows(partition).some(row => row.sort === sort);
};

const createInvariantCheck = (
  table: MemoryTable,
  nodes: readonly ConfigurationInstance[],
) => {
  let head = 0;
  const held = nodes.map(() => -1);
  const operations = new Map<number, string>();

  const recordBroken = () => {
    for (const { revision, operationId } of readRevisionRecords(table)) {
      const earlier = operations.get(revision) ?? operationId;
      operations.set(revision, operationId);
      if (earlier !== operationId) return `revision ${revision} was rewritten`;
    }
    return undefined;
  };

  const heldBroken = () => {
    const fell = nodes.some(
      ({ holder }, i) => holder.revision < (held[i] ?? 0),
    );
    nodes.forEach(({ holder }, i) => (held[i] = holder.revision));
    return fell ? 'an instance went back to an older revision' : undefined;
  };

  return (): string | undefined => {
    const before = head;
    head = readHeadRevision(table);
    if (head < before) return 'the head went back';
    return recordBroken() ?? heldBroken();
  };
};

const findResultViolation = (
  table: MemoryTable,
  editors: readonly ConfigurationActor[],
) => {
  const { length } = readRevisionRecords(table);
  if (length !== readHeadRevision(table))
    return 'the head and the history differ';
  for (const { name, result } of editors) {
    const accepted = isOperationRecorded(table, name);
    if (result === 'revision_conflict' && accepted) {
      return `op-${name} was refused though it was accepted`;
    }
    if (typeof result === 'number' && !accepted) {
      return `op-${name} was confirmed though it was not accepted`;
    }
  }
  const revisions = editors
    .map(({ result }) => result)
    .filter(Number.isInteger);
  return new Set(revisions).size === revisions.length
    ? undefined
    : 'two changes were told the same revision';
};

const createSystem = ({
  alterTransaction: alter,
}: ConfigurationScenarioOptions): SystemUnderTest => {
  const scheduler = new CallScheduler();
  const table = new MemoryTable();
  const objects = new MemoryObjectStore();
  const actors: ConfigurationActor[] = ['a', 'b', 'reader'].map(name => ({
    name,
    hasFinished: false,
    result: undefined,
  }));
  const nodes = actors.map(({ name }, i) =>
    createConfigurationInstance({
      table: new ScheduledTable(scheduler, name, table, alter),
      objects,
      seed: i + 1,
    }),
  );
  actors.forEach((actor, i) => {
    const node = nodes[i];
    if (node === undefined) return;
    void (actor.name === 'reader'
      ? pollConfiguration(actor, node)
      : applyUntilDefinite(actor, node, i));
  });
  const observe = createInvariantCheck(table, nodes);
  return {
    scheduler,
    isFinished: () =>
      actors.every(
        ({ name, hasFinished: ended }) =>
          ended || scheduler.crashedActors.has(name),
      ),
    serializeState: () =>
      JSON.stringify([
        table.listRows(headRowKey.partition),
        table.listRows(revisionPartition),
        nodes.map(({ holder }) => holder.revision),
      ]),
    findViolation: observe,
    findQuiescentViolation: () => findResultViolation(table, actors),
  };
};

export const createConfigurationScenario = (
  options: ConfigurationScenarioOptions,
): ExplorationScenario => ({
  name: 'configuration head',
  maxFaults: options.maxFaults,
  maxPauses: options.maxPauses,
  pauseMs,
  createSystem: () => createSystem(options),
});
