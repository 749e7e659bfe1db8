/** Reads template files from the local file system. */
import { readFileSync } from 'node:fs';

import { validateTemplate, Failure, formatIssue } from '@medlarlever/core';
import type { Template } from '@medlarlever/core';
import { Left } from 'purify-ts';
import { Either } from 'purify-ts';

/**
 * Reads and validates one template. Fails with `unreadable_file`, or with
 * `invalid_template` and one line per validation issue.
 */
export const readTemplate = (file: string): Either<Failure, Template> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Left(new Failure('unreadable_file', `${file}: ${reason}`));
  }
  return validateTemplate(text).mapLeft(issues => {
    const lines = issues.map(issue => formatIssue(file, issue));
    return new Failure('invalid_template', lines.join('\n'));
  });
};

/**
 * Reads and validates several templates and returns them by name. Two templates
 * with the same name are an `invalid_template` failure.
 */
export const readTemplates = (
  files: readonly string[],
): Either<Failure, Record<string, Template>> =>
  Either.sequence(files.map(readTemplate)).chain(templates => {
    const names = templates.map(({ name }) => name);
    const duplicateName = names.find(
      (name, index) => names.indexOf(name) !== index,
    );
    if (duplicateName !== undefined) {
      const message = `template "${duplicateName}" is defined in more than one of the given files`;
      return Left(new Failure('invalid_template', message));
    }
    return Either.of(Object.fromEntries(templates.map(t => [t.name, t])));
  });
