import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';
import { createMemoryLog } from '../fixtures/relay-fixtures.js';
import { createSeededRandom } from '../fixtures/seeded-random.js';

import { PromptQuarantine } from './prompt-quarantine.js';
import { RefusalArchive } from './refusal-archive.js';
import { RequestQuarantine } from './request-quarantine.js';

/** Starts the parts of one process that remember crashes. */
const startProcess = (t: ExecutionContext, table: MemoryTable) => {
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
  });
  const log = createMemoryLog();
  const requests = new RequestQuarantine();
  const promptQuarantine = new PromptQuarantine({
    log,
    getAnswerAgeMs: () => undefined,
  });
  const archive = new RefusalArchive({
    table,
    requests,
    promptQuarantine,
    random: createSeededRandom(performance.now()),
    log,
  });
  void archive.run(stop.signal);
  return { requests, promptQuarantine, stop };
};

type Process = ReturnType<typeof startProcess>;

const crashTargets = async (
  { requests, promptQuarantine }: Process,
  clock: { tickAsync: (ms: number) => Promise<unknown> },
): Promise<void> => {
  for (const target of ['a', 'b', 'c']) {
    const atMs = performance.now();
    const crash = { target, startedAtMs: 0, atMs };
    requests.recordCrash({ ...crash, fingerprint: 'f', lastUseMs: atMs });
    promptQuarantine.recordCrash({ ...crash, suspects: [['bad']] });
    await clock.tickAsync(1_000);
  }
};

/** Runs a process that refuses what crashes targets, long enough for it to be saved. */
const runFirstProcess = async (t: ExecutionContext) => {
  const clock = installPausedClock(t);
  const table = new MemoryTable();
  const first = startProcess(t, table);
  await crashTargets(first, clock);
  await clock.tickAsync(3_000);
  return { clock, table, first };
};

// Guards against requests that crash targets anew after each restart of all instances.
test.serial(
  'instances that all start anew refuse what has crashed targets',
  async t => {
    const { clock, table, first } = await runFirstProcess(t);
    t.true(first.requests.isRefused('f'));
    first.stop.abort();
    const second = startProcess(t, table);
    await clock.tickAsync(100);
    t.true(second.requests.isRefused('f'));
    t.deepEqual(second.promptQuarantine.findCause(['bad'])?.parts, ['bad']);
    t.false(second.requests.isRefused('g'));
    t.is(second.promptQuarantine.findCause(['good']), undefined);
  },
);

test.serial(
  'a request that was answered after all is not refused after a restart',
  async t => {
    const { clock, table, first } = await runFirstProcess(t);
    first.requests.recordAnswer('f');
    await clock.tickAsync(3_000);
    first.stop.abort();
    const second = startProcess(t, table);
    await clock.tickAsync(100);
    t.false(second.requests.isRefused('f'));
  },
);

test.serial('a refusal that is too old is forgotten, and its row', async t => {
  const { clock, table, first } = await runFirstProcess(t);
  first.stop.abort();
  await clock.tickAsync(601_000);
  const second = startProcess(t, table);
  await clock.tickAsync(3_000);
  t.false(second.requests.isRefused('f'));
  t.is(second.promptQuarantine.findCause(['bad']), undefined);
  const rows = await table.scanPartition('refusals');
  t.deepEqual(rows.extract(), []);
});

test.serial('an odd row is passed over', async t => {
  const { clock, table, first } = await runFirstProcess(t);
  first.stop.abort();
  await table.commitTransaction({
    token: 'odd',
    writes: [
      {
        kind: 'put',
        key: { partition: 'refusals', sort: 'a' },
        condition: { kind: 'any' },
        value: { savedAtMs: 'soon' },
      },
    ],
  });
  const second = startProcess(t, table);
  await clock.tickAsync(100);
  t.true(second.requests.isRefused('f'));
});

test.serial('the table is asked until it answers', async t => {
  const { clock, table, first } = await runFirstProcess(t);
  first.stop.abort();
  table.faults.down = true;
  const second = startProcess(t, table);
  await clock.tickAsync(5_000);
  t.false(second.requests.isRefused('f'));
  table.faults.down = false;
  await clock.tickAsync(5_000);
  t.true(second.requests.isRefused('f'));
});

test.serial('what a restored table lacks is written again', async t => {
  const clock = installPausedClock(t);
  const table = new MemoryTable();
  const first = startProcess(t, table);
  const backup = table.createBackup();
  await crashTargets(first, clock);
  await clock.tickAsync(3_000);
  table.restoreBackup(backup);
  t.is(table.listRows('refusals').length, 0);
  await clock.tickAsync(5_000);
  t.is(table.listRows('refusals').length, 2);
});
