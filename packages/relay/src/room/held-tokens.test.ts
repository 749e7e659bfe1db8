import test from 'ava';

import { createPrompt } from '../fixtures/relay-fixtures.js';

import { HeldTokens, createTokenDemand } from './held-tokens.js';

test('a shared segment counts once while any request holds it', t => {
  const held = new HeldTokens();
  const first = createTokenDemand(createPrompt('a'), 100);
  const second = createTokenDemand(createPrompt('b'), 100);
  t.is(held.countAddedTokens(first), 5_100);
  const freeFirst = held.hold(first);
  t.is(held.countAddedTokens(second), 1_100);
  const freeSecond = held.hold(second);
  t.is(held.tokens, 6_200);
  t.is(held.requestCount, 2);
  freeFirst();
  freeFirst();
  t.is(held.tokens, 5_100);
  freeSecond();
  t.is(held.tokens, 0);
});

test('segments behind one that is not held are not shared', t => {
  const held = new HeldTokens();
  held.hold({ sharedSegments: [{ id: 'y', tokens: 200 }], ownTokens: 1 });
  const added = held.countAddedTokens({
    sharedSegments: [
      { id: 'x', tokens: 100 },
      { id: 'y', tokens: 200 },
    ],
    ownTokens: 5,
  });
  t.is(added, 305);
});
