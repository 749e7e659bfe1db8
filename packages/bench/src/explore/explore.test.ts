import type { Transaction } from '@medlarlever/core';
import test from 'ava';

import { createConfigurationScenario } from './configuration-scenario.js';
import { explore } from './explore-scenario.js';
import { createOrderScenario } from './command-scenario.js';
import type { Alteration } from './call-scheduler.js';

/** Skips the fencing condition: the check of the lease row. */
const withoutCheck: Alteration = transaction => ({
  ...transaction,
  writes: transaction.writes.filter(({ kind }) => kind !== 'check'),
});

/** Re-sends under another token when no answer came. */
const createNewTokens = (): Alteration => {
  let sent = 0;
  return transaction => {
    sent += 1;
    return { ...transaction, token: `${transaction.token}/${sent}` };
  };
};

/** Moves rows without comparing their version. */
const withoutVersions: Alteration = (transaction): Transaction => ({
  ...transaction,
  writes: transaction.writes.map(write => ({
    ...write,
    condition: { kind: 'any' },
  })),
});

for (const checksFencing of [true, false]) {
  const title = checksFencing ? 'checks' : 'ignores';
  test.serial(`no schedule breaks an engine that ${title} fencing`, async t => {
    const { violation, states, cutOff } = await explore(
      createOrderScenario({ checksFencing, faults: 2, pauses: 0 }),
    );
    t.is(violation, undefined);
    t.is(cutOff, 0);
    t.true(states > 1_000, `${states} states`);
  });
}

test.serial('no schedule takes the configuration back', async t => {
  const { violation, cutOff } = await explore(
    createConfigurationScenario({ faults: 1, pauses: 1 }),
  );
  t.is(violation, undefined);
  t.is(cutOff, 0);
});

test.serial('a write without the fencing condition is caught', async t => {
  const { violation } = await explore(
    createOrderScenario({
      checksFencing: false,
      faults: 0,
      pauses: 1,
      alter: withoutCheck,
    }),
  );
  t.is(violation, 'an order was recorded after the authority was lost');
});

test.serial('re-sending under another token is caught', async t => {
  const { violation } = await explore(
    createOrderScenario({
      checksFencing: false,
      faults: 1,
      pauses: 0,
      alter: createNewTokens(),
    }),
  );
  t.regex(violation ?? '', /was refused though it had been recorded/);
});

test.serial('a head moved without its version is caught', async t => {
  const { violation } = await explore(
    createConfigurationScenario({
      faults: 0,
      pauses: 0,
      alter: withoutVersions,
    }),
  );
  t.regex(violation ?? '', /was rewritten|same revision|differ/);
});
