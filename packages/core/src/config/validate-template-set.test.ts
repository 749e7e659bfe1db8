/** Tests the checks across templates that would be in force together. */
import test from 'ava';

import { validateTemplateSet } from './validate-template-set.js';
import { templateSchema } from './template.js';
import type { Template } from './template.js';

const createKeyHash = (digit: string) => digit.repeat(64);

const createTemplate = (
  name: string,
  customers: Readonly<Record<string, string>>,
): Template =>
  templateSchema.parse({
    name,
    customers: Object.fromEntries(
      Object.entries(customers).map(([customer, digit]) => [
        customer,
        { key_hashes: [createKeyHash(digit)] },
      ]),
    ),
  });

const getFailureMessage = (...templates: readonly Template[]) =>
  validateTemplateSet(templates).swap().toMaybe().extract()?.message;

test('templates with distinct customers and distinct keys are valid together', t => {
  const first = createTemplate('a', { desk: '1' });
  t.is(
    getFailureMessage(first, createTemplate('b', { other: '2' })),
    undefined,
  );
});

test('a customer listed in two templates is refused, and the message names it', t => {
  const first = createTemplate('a', { desk: '1' });
  t.is(
    getFailureMessage(first, createTemplate('b', { desk: '2' })),
    'customer "desk" belongs to template "a" and to template "b"',
  );
});

test('a key shared by two customers is refused, and the message truncates its hash', t => {
  const first = createTemplate('a', { desk: '1' });
  t.is(
    getFailureMessage(first, createTemplate('b', { other: '1' })),
    'key hash 11111111... belongs to customer "desk" and to customer "other"',
  );
});
