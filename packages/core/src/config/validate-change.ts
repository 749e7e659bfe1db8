/** Validates a submitted configuration change before anything is stored. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import { Failure } from '../shared/failure.js';

import { findTemplateIssues } from './validate-template.js';
import { templateSchema } from './template.js';

const maxIdLength = 128;

/** A change as an operator submits it; `null` removes a template. */
export const configurationChangeSchema = z.object({
  /** Chosen by the operator; the same id is committed at most once. */
  operationId: z.string().min(1).max(maxIdLength),
  /** Revision on which the operator based the change. */
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

/**
 * Checks a change against its schema and each template for contradictions, and
 * that each template's `name` equals its key in `templates`.
 */
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
      `template "${misnamed[0]}" has a different name in its field "name"`,
    );
  }
  const issue = findFirstIssue(parsed.data);
  return issue === undefined ? Right(parsed.data) : createInvalidResult(issue);
};
