/** Tests of the decision about one key. */
import test from 'ava';

import { checkKey, decideUnknownKey } from './key-check.js';

const customer = { name: 'first', keyHashes: ['h1'] };
const findCustomer = (hash: string) => (hash === 'h1' ? customer : undefined);
const input = {
  route: { anonymous: false },
  keyHash: 'h1',
  findCustomer,
  configurationAgeMs: 800,
  maxDelayMs: 1_000,
};

test('a known key is allowed up to 0.8 of the longest delay of a withdrawal', t => {
  t.deepEqual(checkKey(input), { kind: 'allowed', customer });
  t.is(checkKey({ ...input, configurationAgeMs: 801 }).kind, 'stale');
  t.is(checkKey({ ...input, configurationAgeMs: Infinity }).kind, 'stale');
});

test('without a longest delay the age does not matter', t => {
  const unbounded = { ...input, maxDelayMs: undefined };
  for (const configurationAgeMs of [100_000, Infinity])
    t.is(checkKey({ ...unbounded, configurationAgeMs }).kind, 'allowed');
});

test('anonymous routes and configurations without customers need no key', t => {
  const stale = { ...input, configurationAgeMs: Infinity, keyHash: undefined };
  t.is(checkKey({ ...stale, route: { anonymous: true } }).kind, 'anonymous');
  t.is(checkKey({ ...stale, findCustomer: undefined }).kind, 'anonymous');
  t.is(checkKey(stale).kind, 'unknown_key');
});

test('an unknown key is refused for good only by a configuration as recent as the request', t => {
  const unknown = { hasKey: true, arrivedAtMs: 100, waitedMs: 0 };
  t.is(decideUnknownKey({ ...unknown, knownAsOfMs: 99 }), 'wait');
  t.is(decideUnknownKey({ ...unknown, knownAsOfMs: undefined }), 'wait');
  t.is(decideUnknownKey({ ...unknown, knownAsOfMs: 100 }), 'refuse');
  const late = { ...unknown, waitedMs: 400 };
  t.is(decideUnknownKey({ ...late, knownAsOfMs: 99 }), 'give_up');
  t.is(
    decideUnknownKey({ ...unknown, hasKey: false, knownAsOfMs: undefined }),
    'refuse',
  );
});
