/** Fixtures of control tests, drills and measurements. */
import { install } from '@sinonjs/fake-timers';
import {
  ConfigurationEditor,
  ConfigurationHolder,
  ConfigurationPoller,
  ConfigurationStore,
  EmptyPeerGroup,
  MemoryLog,
} from '@medlarlever/core';
import type { Failure, ObjectStore, PeerGroup, Table } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import { createSeededRandom } from '../shared/seeded-random.js';

/** Runs with the clock paused; `clock.tickAsync` advances it. */
export const withFakeClock = async <T>(
  run: (clock: ReturnType<typeof install>) => Promise<T>,
): Promise<T> => {
  const clock = install({
    toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'],
  });
  try {
    return await run(clock);
  } finally {
    clock.uninstall();
  }
};

export interface ConfigurationInstanceOptions {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly peers?: PeerGroup;
  readonly seed?: number;
  readonly timeoutMs?: number;
}

/** The configuration parts of one instance. */
export interface ConfigurationInstance {
  readonly log: MemoryLog;
  readonly store: ConfigurationStore;
  readonly holder: ConfigurationHolder;
  readonly poller: ConfigurationPoller;
  readonly editor: ConfigurationEditor;
}

export const createConfigurationInstance = (
  options: ConfigurationInstanceOptions,
): ConfigurationInstance => {
  const { table, objects, timeoutMs: patienceMs } = options;
  const peers = options.peers ?? new EmptyPeerGroup('dc-1');
  const random = createSeededRandom(options.seed ?? 1);
  const log = new MemoryLog();
  const store = new ConfigurationStore({ table, objects, random });
  const holder = new ConfigurationHolder(log);
  const poller = new ConfigurationPoller({ store, holder, peers, log, random });
  const editor = new ConfigurationEditor({
    table,
    store,
    log,
    random,
    retryTimeoutMs: patienceMs,
    onCommitted: head => poller.publish(head),
  });
  return { log, store, holder, poller, editor };
};

/** A small template; `priority` makes one differ from another. */
export const createTemplate = (name: string, priority = 5) => ({
  name,
  ranking: { priority },
  customers: {
    [`${name}-desk`]: { key_hashes: ['0'.repeat(64)] },
  },
});

/** A change that sets one template. */
export const createConfigurationChange = (
  operationId: string,
  baseRevision: number,
  priority = 5,
  name = 'style',
) => ({
  operationId,
  baseRevision,
  templates: { [name]: createTemplate(name, priority) },
});

/** Name of the failure, or `ok`. */
export const getResultCode = (result: Either<Failure, unknown>): string =>
  result.caseOf({ Left: failure => failure.code, Right: () => 'ok' });
