/** Checks templates against each other, as they would be in force together. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';

import { contradictions } from './validate-template.js';
import type { Template } from './template.js';

/** A name that may belong to one owner only, and its owner. */
interface Ownership {
  readonly name: string;
  readonly owner: string;
}

const customersOf = (templates: readonly Template[]): Ownership[] =>
  templates.flatMap(template =>
    Object.keys(template.customers).map(customer => ({
      name: `customer "${customer}"`,
      owner: `template "${template.name}"`,
    })),
  );

const keysOf = (templates: readonly Template[]): Ownership[] =>
  templates.flatMap(({ customers }) =>
    Object.entries(customers).flatMap(([customer, { key_hashes }]) =>
      key_hashes.map(hash => ({
        name: `key hash ${hash.slice(0, 8)}...`,
        owner: `customer "${customer}"`,
      })),
    ),
  );

/** One message for each name with a second owner. */
const sharedNames = (ownerships: readonly Ownership[]): string[] => {
  const owners = new Map<string, string>();
  return ownerships.flatMap(({ name, owner }) => {
    const earlier = owners.get(name);
    owners.set(name, owner);
    if (earlier === undefined) return [];
    return [`${name} belongs to ${earlier} and to ${owner}`];
  });
};

/** `invalid_template` with every contradiction, in one message. */
export const checkTemplates = (
  templates: readonly Template[],
): Either<Failure, readonly Template[]> => {
  const problems = [
    ...templates.flatMap(template =>
      contradictions(template).map(
        ({ path, message }) =>
          `${template.name}: ${path.join('.')}: ${message}`,
      ),
    ),
    ...sharedNames(customersOf(templates)),
    ...sharedNames(keysOf(templates)),
  ];
  if (problems.length === 0) return Right(templates);
  return Left(new Failure('invalid_template', problems.join('\n')));
};
