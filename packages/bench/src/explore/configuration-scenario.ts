/** Exploration scenario: two operators change the configuration while a third instance polls it. */
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

/** Longer than the time after which a commit without an answer is no longer retried (15 s by default). */
const pauseMs = 20_000;
/** Attempts of an operator to get a definite outcome of its change. */
const maxAttempts = 4;
const retryDelayMs = 1_000;
/** Number of polls of the third instance. */
const pollCount = 3;

/** Limits of the scenario. */
export interface ConfigurationScenarioOptions {
  /** Maximum number of lost answers and crashes in one schedule. */
  readonly maxFaults: number;
  /** Maximum number of pauses in one schedule. */
  readonly maxPauses: number;
  /** Changes the transactions of every actor, to violate the protocol on purpose. */
  readonly alterTransaction?: TransactionAlteration;
}

interface ConfigurationActor {
  readonly name: string;
  hasFinished: boolean;
  /** Revision that the operator received, or the failure code. */
  result: number | string | undefined;
}

/** Retries a change with the same operation id until its outcome is known. */
const applyUntilDefinite = async (
  actor: ConfigurationActor,
  instance: ConfigurationInstance,
  priority: number,
) => {
  const change = createConfigurationChange(`op-${actor.name}`, 0, priority);
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const applyResult = await instance.editor.apply(change);
    actor.result = applyResult.caseOf<number | string>({
      Left: failure => failure.code,
      Right: ({ revision }) => revision,
    });
    if (actor.result !== 'platform_unknown') break;
    await sleep(retryDelayMs);
  }
  actor.hasFinished = true;
};

const pollConfiguration = async (
  actor: ConfigurationActor,
  instance: ConfigurationInstance,
) => {
  for (let n = 0; n < pollCount; n += 1) {
    await instance.poller.pollOnce();
    await sleep(retryDelayMs);
  }
  actor.hasFinished = true;
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
  instances: readonly ConfigurationInstance[],
) => {
  let headRevision = 0;
  const heldRevisions = instances.map(() => -1);
  const operationIdsByRevision = new Map<number, string>();

  const findRewrittenRevision = () => {
    for (const { revision, operationId } of readRevisionRecords(table)) {
      const recordedOperationId =
        operationIdsByRevision.get(revision) ?? operationId;
      operationIdsByRevision.set(revision, operationId);
      if (recordedOperationId !== operationId)
        return `revision ${revision} was rewritten`;
    }
    return undefined;
  };

  const findRevisionRollback = () => {
    const hasRolledBack = instances.some(
      ({ holder }, i) => holder.revision < (heldRevisions[i] ?? 0),
    );
    instances.forEach(({ holder }, i) => (heldRevisions[i] = holder.revision));
    return hasRolledBack
      ? 'an instance returned to an older revision'
      : undefined;
  };

  return (): string | undefined => {
    const previousHeadRevision = headRevision;
    headRevision = readHeadRevision(table);
    if (headRevision < previousHeadRevision)
      return 'the head revision decreased';
    return findRewrittenRevision() ?? findRevisionRollback();
  };
};

const findResultViolation = (
  table: MemoryTable,
  actors: readonly ConfigurationActor[],
) => {
  const { length } = readRevisionRecords(table);
  if (length !== readHeadRevision(table))
    return 'the head revision and the number of revision records differ';
  for (const { name, result } of actors) {
    const isAccepted = isOperationRecorded(table, name);
    if (result === 'revision_conflict' && isAccepted) {
      return `op-${name} was refused although it was accepted`;
    }
    if (typeof result === 'number' && !isAccepted) {
      return `op-${name} was confirmed although it was not accepted`;
    }
  }
  const revisions = actors.map(({ result }) => result).filter(Number.isInteger);
  return new Set(revisions).size === revisions.length
    ? undefined
    : 'two changes received the same revision';
};

const createSystem = ({
  alterTransaction,
}: ConfigurationScenarioOptions): SystemUnderTest => {
  const scheduler = new CallScheduler();
  const table = new MemoryTable();
  const objects = new MemoryObjectStore();
  const actors: ConfigurationActor[] = ['a', 'b', 'reader'].map(name => ({
    name,
    hasFinished: false,
    result: undefined,
  }));
  const instances = actors.map(({ name }, i) =>
    createConfigurationInstance({
      table: new ScheduledTable(scheduler, name, table, alterTransaction),
      objects,
      seed: i + 1,
    }),
  );
  actors.forEach((actor, i) => {
    const instance = instances[i];
    if (instance === undefined) return;
    void (actor.name === 'reader'
      ? pollConfiguration(actor, instance)
      : applyUntilDefinite(actor, instance, i));
  });
  const findViolation = createInvariantCheck(table, instances);
  return {
    scheduler,
    isFinished: () =>
      actors.every(
        ({ name, hasFinished }) =>
          hasFinished || scheduler.crashedActors.has(name),
      ),
    serializeState: () =>
      JSON.stringify([
        table.listRows(headRowKey.partition),
        table.listRows(revisionPartition),
        instances.map(({ holder }) => holder.revision),
      ]),
    findViolation,
    findQuiescentViolation: () => findResultViolation(table, actors),
  };
};

/** Creates the scenario; a schedule violates it when the head, the history and the results disagree. */
export const createConfigurationScenario = (
  options: ConfigurationScenarioOptions,
): ExplorationScenario => ({
  name: 'configuration head',
  maxFaults: options.maxFaults,
  maxPauses: options.maxPauses,
  pauseMs,
  createSystem: () => createSystem(options),
});
