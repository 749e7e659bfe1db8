/** Finds contradictions within a template, which its schema can't express. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { findKeyLine, parseToml } from '../shared/toml.js';
import type { ValidationIssue } from '../shared/toml.js';

import { templateSchema } from './template.js';
import type { Template, TemplateCustomer } from './template.js';

/** A field of a template that contradicts another field. */
export interface TemplateIssue {
  readonly path: readonly string[];
  readonly message: string;
}

const parameterPattern = /\$\{([^}]*)\}/g;

const formatDeclaredNames = (names: readonly string[]): string =>
  names.length === 0
    ? 'no parameter is declared'
    : `declared: ${names.join(', ')}`;

const findUnknownParameters = (template: Template): TemplateIssue[] => {
  const declared = Object.keys(template.parameters);
  const findInText = (text: string | undefined, path: readonly string[]) =>
    [...(text ?? '').matchAll(parameterPattern)]
      .map(match => match[1] ?? '')
      .filter(name => !declared.includes(name))
      .map(name => ({
        path,
        message: `\${${name}} is not a parameter; ${formatDeclaredNames(declared)}`,
      }));
  return template.models.flatMap((model, index) =>
    (['name', 'version', 'adapter'] as const).flatMap(field =>
      findInText(model[field], ['models', String(index), field]),
    ),
  );
};

const findMistypedDefaults = (template: Template): TemplateIssue[] =>
  Object.entries(template.parameters)
    .filter(([, { default: value }]) => value !== undefined)
    .filter(([, { type, default: value }]) => typeof value !== type)
    .map(([name, { type }]) => ({
      path: ['parameters', name, 'default'],
      message: `must be a ${type}`,
    }));

const findCustomerIssues = (
  template: Template,
  name: string,
  customer: TemplateCustomer,
): TemplateIssue[] => {
  const path = ['customers', name, 'parameters'];
  const missing = Object.entries(template.parameters)
    .filter(([, parameter]) => parameter.default === undefined)
    .filter(([key]) => customer.parameters[key] === undefined)
    .map(([key, { type }]) => ({
      path,
      message: `lacks parameter "${key}" (${type}), which has no default`,
    }));
  const invalid = Object.entries(customer.parameters).flatMap(
    ([key, value]) => {
      const parameter = template.parameters[key];
      if (parameter?.type === typeof value) return [];
      const message =
        parameter === undefined
          ? `is not a parameter; ${formatDeclaredNames(Object.keys(template.parameters))}`
          : `must be a ${parameter.type}`;
      return [{ path: [...path, key], message }];
    },
  );
  return [...missing, ...invalid];
};

/** Returns an issue for each field whose key an earlier field already has. */
const findRepeatedKeys = (
  keyedFields: readonly { readonly key: string; readonly path: string[] }[],
  describe: (key: string) => string,
): TemplateIssue[] => {
  const seenKeys = new Set<string>();
  return keyedFields.flatMap(({ key, path }) => {
    if (seenKeys.has(key)) return [{ path, message: describe(key) }];
    seenKeys.add(key);
    return [];
  });
};

const findDuplicates = (template: Template): TemplateIssue[] => {
  const aliases = template.models.map(({ alias }, index) => ({
    key: alias,
    path: ['models', String(index), 'alias'],
  }));
  const operations = template.operations.map((operation, index) => ({
    key: `${operation.service}/${operation.operation}`,
    path: ['operations', String(index), 'operation'],
  }));
  const hashes = Object.entries(template.customers).flatMap(
    ([name, { key_hashes }]) =>
      key_hashes.map(key => ({ key, path: ['customers', name, 'key_hashes'] })),
  );
  return [
    ...findRepeatedKeys(aliases, key => `alias "${key}" is used twice`),
    ...findRepeatedKeys(
      operations,
      key => `operation "${key}" is listed twice`,
    ),
    ...findRepeatedKeys(
      hashes,
      key => `key hash ${key.slice(0, 8)}... is used twice`,
    ),
  ];
};

const findLateFirstToken = ({ ranking }: Template): TemplateIssue[] =>
  ranking.first_token_ms <= ranking.deadline_ms
    ? []
    : [
        {
          path: ['ranking', 'first_token_ms'],
          message: `must not exceed deadline_ms (${ranking.deadline_ms})`,
        },
      ];

/** Lists all contradictions between the fields of a template. */
export const findTemplateIssues = (template: Template): TemplateIssue[] => [
  ...findUnknownParameters(template),
  ...findMistypedDefaults(template),
  ...Object.entries(template.customers).flatMap(([name, customer]) =>
    findCustomerIssues(template, name, customer),
  ),
  ...findDuplicates(template),
  ...findLateFirstToken(template),
];

/** Parses and validates a template's TOML text; each issue has its line. */
export const validateTemplate = (
  text: string,
): Either<readonly ValidationIssue[], Template> =>
  parseToml(text, templateSchema).chain(template => {
    const issues = findTemplateIssues(template);
    if (issues.length === 0) return Right(template);
    return Left(
      issues.map(({ path, message }) => ({
        line: findKeyLine(text, path),
        key: path.join('.'),
        message,
      })),
    );
  });
