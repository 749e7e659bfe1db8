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

import { createChange, createConfigNode } from '../control/fixtures.js';
import type { ConfigNode } from '../control/fixtures.js';

import type { Scenario, World } from './explorer.js';
import { ScheduledTable, Scheduler } from './call-scheduler.js';
import type { Alteration } from './call-scheduler.js';

const pauseMs = 20_000;
const maxAttempts = 4;
const retryMs = 1_000;
const polls = 3;

export interface ConfigurationScenarioOptions {
  readonly faults: number;
  readonly pauses: number;
  readonly alter?: Alteration;
}

interface Editor {
  readonly name: string;
  ended: boolean;
  /** Revision that the operator was told, or the refusal. */
  result: number | string | undefined;
}

/** Goes on under the same operation id until the answer is definite. */
const edit = async (editor: Editor, node: ConfigNode, priority: number) => {
  const change = createChange(`op-${editor.name}`, 0, priority);
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const applied = await node.editor.apply(change);
    editor.result = applied.caseOf<number | string>({
      Left: failure => failure.code,
      Right: ({ revision }) => revision,
    });
    if (editor.result !== 'platform_unknown') break;
    await sleep(retryMs);
  }
  editor.ended = true;
};

const follow = async (reader: Editor, node: ConfigNode) => {
  for (let n = 0; n < polls; n += 1) {
    await node.poller.pollOnce();
    await sleep(retryMs);
  }
  reader.ended = true;
};

const headOf = (table: MemoryTable): number => {
  const row = table.listRows(headRowKey.partition).at(0);
  return row === undefined
    ? 0
    : configurationHeadSchema.parse(row.value).revision;
};

const recordsOf = (table: MemoryTable) =>
  table
    .listRows(revisionPartition)
    .map(row => revisionRecordSchema.parse(row.value));

const operationKnown = (table: MemoryTable, name: string) => {
  const { partition, sort } = getOperationRowKey(`op-${name}`);
  return table.listRows(partition).some(row => row.sort === sort);
};

const createObserver = (table: MemoryTable, nodes: readonly ConfigNode[]) => {
  let head = 0;
  const held = nodes.map(() => -1);
  const operations = new Map<number, string>();

  const recordBroken = () => {
    for (const { revision, operationId } of recordsOf(table)) {
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
    head = headOf(table);
    if (head < before) return 'the head went back';
    return recordBroken() ?? heldBroken();
  };
};

const refusalBroken = (table: MemoryTable, editors: readonly Editor[]) => {
  const { length } = recordsOf(table);
  if (length !== headOf(table)) return 'the head and the history differ';
  for (const { name, result } of editors) {
    const accepted = operationKnown(table, name);
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

const createWorld = ({ alter }: ConfigurationScenarioOptions): World => {
  const scheduler = new Scheduler();
  const table = new MemoryTable();
  const objects = new MemoryObjectStore();
  const actors: Editor[] = ['a', 'b', 'reader'].map(name => ({
    name,
    ended: false,
    result: undefined,
  }));
  const nodes = actors.map(({ name }, i) =>
    createConfigNode({
      table: new ScheduledTable(scheduler, name, table, alter),
      objects,
      seed: i + 1,
    }),
  );
  actors.forEach((actor, i) => {
    const node = nodes[i];
    if (node === undefined) return;
    void (actor.name === 'reader' ? follow(actor, node) : edit(actor, node, i));
  });
  const observe = createObserver(table, nodes);
  return {
    scheduler,
    finished: () =>
      actors.every(({ name, ended }) => ended || scheduler.crashed.has(name)),
    state: () =>
      JSON.stringify([
        table.listRows(headRowKey.partition),
        table.listRows(revisionPartition),
        nodes.map(({ holder }) => holder.revision),
      ]),
    broken: observe,
    brokenAtRest: () => refusalBroken(table, actors),
  };
};

export const createConfigurationScenario = (
  options: ConfigurationScenarioOptions,
): Scenario => ({
  name: 'configuration head',
  faults: options.faults,
  pauses: options.pauses,
  pauseMs,
  create: () => createWorld(options),
});
