/** Template files on the operator's machine. */
import { readFileSync } from 'node:fs';

import { validateTemplate, Failure, formatIssue } from '@medlarlever/core';
import type { Template } from '@medlarlever/core';
import { Left } from 'purify-ts';
import { Either } from 'purify-ts';

/** Reads and checks one template. */
export const readTemplate = (file: string): Either<Failure, Template> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Left(new Failure('unreadable_file', `${file}: ${reason}`));
  }
  return validateTemplate(text).mapLeft(problems => {
    const lines = problems.map(problem => formatIssue(file, problem));
    return new Failure('invalid_template', lines.join('\n'));
  });
};

/** Reads and checks several, which must have different names. */
export const readTemplates = (
  files: readonly string[],
): Either<Failure, Record<string, Template>> =>
  Either.sequence(files.map(readTemplate)).chain(templates => {
    const names = templates.map(({ name }) => name);
    const twice = names.find((name, index) => names.indexOf(name) !== index);
    if (twice !== undefined) {
      const message = `template "${twice}" is in two files`;
      return Left(new Failure('invalid_template', message));
    }
    return Either.of(Object.fromEntries(templates.map(t => [t.name, t])));
  });
