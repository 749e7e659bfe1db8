/** Fixtures of the tests, drills and measurements that need a fake clock or configuration components. */
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

/** Runs a function under a fake clock that only `clock.tickAsync` advances; restores the real clock afterwards. */
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

/** Shared platform services and settings of one test instance. */
export interface ConfigurationInstanceOptions {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly peers?: PeerGroup;
  /** Seed of the random numbers; 1 by default. */
  readonly seed?: number;
  /** Time after which the editor stops retrying a commit, in milliseconds. */
  readonly timeoutMs?: number;
}

/** The configuration components of one instance. */
export interface ConfigurationInstance {
  readonly log: MemoryLog;
  readonly store: ConfigurationStore;
  readonly holder: ConfigurationHolder;
  readonly poller: ConfigurationPoller;
  readonly editor: ConfigurationEditor;
}

/** Creates the components without starting the poller. */
export const createConfigurationInstance = (
  options: ConfigurationInstanceOptions,
): ConfigurationInstance => {
  const { table, objects, timeoutMs } = options;
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
    retryTimeoutMs: timeoutMs,
    onCommitted: head => poller.publish(head),
  });
  return { log, store, holder, poller, editor };
};

/** Creates a small template; two templates of one name differ by their `priority`. */
export const createTemplate = (name: string, priority = 5) => ({
  name,
  ranking: { priority },
  customers: {
    [`${name}-desk`]: { key_hashes: ['0'.repeat(64)] },
  },
});

/** Creates a change that sets one template on top of `baseRevision`. */
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

/** Returns the code of the failure, or `ok` on success. */
export const getResultCode = (result: Either<Failure, unknown>): string =>
  result.caseOf({ Left: failure => failure.code, Right: () => 'ok' });
