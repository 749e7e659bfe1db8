import type { Transaction } from '@medlarlever/core';
import test from 'ava';

import { createConfigurationScenario } from './configuration-scenario.js';
import { exploreScenario } from './explore-scenario.js';
import { createCommandScenario } from './command-scenario.js';
import type { TransactionAlteration } from './call-scheduler.js';

/** Skips the fencing condition: the check of the lease row. */
const dropLeaseCheck: TransactionAlteration = transaction => ({
  ...transaction,
  writes: transaction.writes.filter(({ kind }) => kind !== 'check'),
});

/** Re-sends under another token when no answer came. */
const createTokenReplacer = (): TransactionAlteration => {
  let sent = 0;
  return transaction => {
    sent += 1;
    return { ...transaction, token: `${transaction.token}/${sent}` };
  };
};

/** Moves rows without comparing their version. */
const dropVersionConditions: TransactionAlteration = (
  transaction,
): Transaction => ({
  ...transaction,
  writes: transaction.writes.map(write => ({
    ...write,
    condition: { kind: 'any' },
  })),
});

for (const checksFencing of [true, false]) {
  const title = checksFencing ? 'checks' : 'ignores';
  test.serial(`no schedule breaks an engine that ${title} fencing`, async t => {
    const { violation, states, cutOff } = await exploreScenario(
      createCommandScenario({ checksFencing, maxFaults: 2, maxPauses: 0 }),
    );
    t.is(violation, undefined);
    t.is(cutOff, 0);
    t.true(states > 1_000, `${states} states`);
  });
}

test.serial('no schedule takes the configuration back', async t => {
  const { violation, cutOff } = await exploreScenario(
    createConfigurationScenario({ maxFaults: 1, maxPauses: 1 }),
  );
  t.is(violation, undefined);
  t.is(cutOff, 0);
});

test.serial('a write without the fencing condition is caught', async t => {
  const { violation } = await exploreScenario(
    createCommandScenario({
      checksFencing: false,
      maxFaults: 0,
      maxPauses: 1,
      alterTransaction: dropLeaseCheck,
    }),
  );
  t.is(violation, 'an order was recorded after the authority was lost');
});

test.serial('re-sending under another token is caught', async t => {
  const { violation } = await exploreScenario(
    createCommandScenario({
      checksFencing: false,
      maxFaults: 1,
      maxPauses: 0,
      alterTransaction: createTokenReplacer(),
    }),
  );
  t.regex(violation ?? '', /was refused though it had been recorded/);
});

test.serial('a head moved without its version is caught', async t => {
  const { violation } = await exploreScenario(
    createConfigurationScenario({
      maxFaults: 0,
      maxPauses: 0,
      alterTransaction: dropVersionConditions,
    }),
  );
  t.regex(violation ?? '', /was rewritten|same revision|differ/);
});
