/** Validates all templates of a configuration against each other. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';

import { findTemplateIssues } from './validate-template.js';
import type { Template } from './template.js';

/** A name that must have exactly one owner, with one of its owners. */
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

/** Returns one message for each further owner of a name. */
const findSharedNames = (ownerships: readonly NameOwner[]): string[] => {
  const owners = new Map<string, string>();
  return ownerships.flatMap(({ name, owner }) => {
    const previousOwner = owners.get(name);
    owners.set(name, owner);
    if (previousOwner === undefined) return [];
    return [`${name} belongs to ${previousOwner} and to ${owner}`];
  });
};

/**
 * Fails with `invalid_template` and one message that lists all issues: those
 * within a template, customers of two templates and keys of two customers.
 */
export const validateTemplateSet = (
  templates: readonly Template[],
): Either<Failure, readonly Template[]> => {
  const issues = [
    ...templates.flatMap(template =>
      findTemplateIssues(template).map(
        ({ path, message }) =>
          `${template.name}: ${path.join('.')}: ${message}`,
      ),
    ),
    ...findSharedNames(listCustomers(templates)),
    ...findSharedNames(listKeyHashes(templates)),
  ];
  if (issues.length === 0) return Right(templates);
  return Left(new Failure('invalid_template', issues.join('\n')));
};
