/** Checks templates against each other, as they would be in force together. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';

import { findTemplateIssues } from './validate-template.js';
import type { Template } from './template.js';

/** A name that may belong to one owner only, and its owner. */
interface NameOwner {
  readonly name: string;
  readonly owner: string;
}

const listCustomers = (templates: readonly Template[]): NameOwner[] =>
  templates.flatMap(template =>
    Object.keys(template.customers).map(customer => ({
      name: `customer "${customer}"`,
      owner: `template "${template.name}"`,
    })),
  );

const listKeyHashes = (templates: readonly Template[]): NameOwner[] =>
  templates.flatMap(({ customers }) =>
    Object.entries(customers).flatMap(([customer, { key_hashes }]) =>
      key_hashes.map(hash => ({
        name: `key hash ${hash.slice(0, 8)}...`,
        owner: `customer "${customer}"`,
      })),
    ),
  );

/** One message for each name with a second owner. */
const findSharedNames = (ownerships: readonly NameOwner[]): string[] => {
  const owners = new Map<string, string>();
  return ownerships.flatMap(({ name, owner }) => {
    const earlier = owners.get(name);
    owners.set(name, owner);
    if (earlier === undefined) return [];
    return [`${name} belongs to ${earlier} and to ${owner}`];
  });
};

/** `invalid_template` with every contradiction, in one message. */
export const validateTemplateSet = (
  templates: readonly Template[],
): Either<Failure, readonly Template[]> => {
  const problems = [
    ...templates.flatMap(template =>
      findTemplateIssues(template).map(
        ({ path, message }) =>
          `${template.name}: ${path.join('.')}: ${message}`,
      ),
    ),
    ...findSharedNames(listCustomers(templates)),
    ...findSharedNames(listKeyHashes(templates)),
  ];
  if (problems.length === 0) return Right(templates);
  return Left(new Failure('invalid_template', problems.join('\n')));
};
