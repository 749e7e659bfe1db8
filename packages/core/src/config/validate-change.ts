/** Checks a submitted change before anything is stored. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import { Failure } from '../shared/failure.js';

import { findTemplateIssues } from './validate-template.js';
import { templateSchema } from './template.js';

const maxIdLength = 128;

/** A change as an operator submits it; `null` removes a template. */
export const configurationChangeSchema = z.object({
  /** Chosen by the operator; the same id has one result for good. */
  operationId: z.string().min(1).max(maxIdLength),
  /** Revision that the operator looked at. */
  baseRevision: z.number().int().nonnegative(),
  templates: z
    .record(z.string(), templateSchema.nullable())
    .refine(change => Object.keys(change).length > 0, 'must name a template'),
  author: z.string().max(maxIdLength).default(''),
});
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

const createInvalidResult = (message: string) =>
  Left(new Failure('invalid_template', message));

const findFirstIssue = ({ templates }: ConfigurationChange) =>
  Object.values(templates)
    .filter(template => template !== null)
    .flatMap(template =>
      findTemplateIssues(template).map(
        ({ path, message }) => `${template.name}.${path.join('.')}: ${message}`,
      ),
    )
    .at(0);

/** Checks the shape of a change and that each template has its own name. */
export const validateChange = (
  input: unknown,
): Either<Failure, ConfigurationChange> => {
  const parsed = configurationChangeSchema.safeParse(input);
  if (!parsed.success)
    return createInvalidResult(z.prettifyError(parsed.error));
  const misnamed = Object.entries(parsed.data.templates).find(
    ([name, template]) => template !== null && template.name !== name,
  );
  if (misnamed !== undefined) {
    return createInvalidResult(
      `template "${misnamed[0]}" names itself differently`,
    );
  }
  const found = findFirstIssue(parsed.data);
  return found === undefined ? Right(parsed.data) : createInvalidResult(found);
};
