/** Finds what a schema cannot: parts of a template that contradict others. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { findKeyLine, parseToml } from '../shared/toml.js';
import type { ValidationIssue } from '../shared/toml.js';

import { templateSchema } from './template.js';
import type { Template, TemplateCustomer } from './template.js';

/** A part of a template that contradicts another part. */
export interface TemplateIssue {
  readonly path: readonly string[];
  readonly message: string;
}

const parameterPattern = /\$\{([^}]*)\}/g;

const formatDeclaredNames = (names: readonly string[]): string =>
  names.length === 0 ? 'none is declared' : `declared: ${names.join(', ')}`;

const findUnknownParameters = (template: Template): TemplateIssue[] => {
  const declared = Object.keys(template.parameters);
  const check = (text: string | undefined, path: readonly string[]) =>
    [...(text ?? '').matchAll(parameterPattern)]
      .map(match => match[1] ?? '')
      .filter(name => !declared.includes(name))
      .map(name => ({
        path,
        message: `\${${name}} is not a parameter; ${formatDeclaredNames(declared)}`,
      }));
  return template.models.flatMap((model, index) =>
    (['name', 'version', 'adapter'] as const).flatMap(field =>
      check(model[field], ['models', String(index), field]),
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
      message: `lacks "${key}" (${type}), which has no default`,
    }));
  const wrong = Object.entries(customer.parameters).flatMap(([key, value]) => {
    const parameter = template.parameters[key];
    if (parameter?.type === typeof value) return [];
    const message =
      parameter === undefined
        ? `is not a parameter; ${formatDeclaredNames(Object.keys(template.parameters))}`
        : `must be a ${parameter.type}`;
    return [{ path: [...path, key], message }];
  });
  return [...missing, ...wrong];
};

/** Reports every place whose key an earlier place had. */
const findRepeatedKeys = (
  places: readonly { readonly key: string; readonly path: string[] }[],
  describe: (key: string) => string,
): TemplateIssue[] => {
  const seen = new Set<string>();
  return places.flatMap(({ key, path }) => {
    if (seen.has(key)) return [{ path, message: describe(key) }];
    seen.add(key);
    return [];
  });
};

const findDuplicates = (template: Template): TemplateIssue[] => {
  const aliases = template.models.map(({ alias }, index) => ({
    key: alias,
    path: ['models', String(index), 'alias'],
  }));
  const operations = template.operations.map((each, index) => ({
    key: `${each.service}/${each.operation}`,
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

/** Everything in a template that contradicts another part of it. */
export const findTemplateIssues = (template: Template): TemplateIssue[] => [
  ...findUnknownParameters(template),
  ...findMistypedDefaults(template),
  ...Object.entries(template.customers).flatMap(([name, customer]) =>
    findCustomerIssues(template, name, customer),
  ),
  ...findDuplicates(template),
  ...findLateFirstToken(template),
];

/** Checks the TOML text of a template and gives the line of each problem. */
export const validateTemplate = (
  text: string,
): Either<readonly ValidationIssue[], Template> =>
  parseToml(text, templateSchema).chain(template => {
    const found = findTemplateIssues(template);
    if (found.length === 0) return Right(template);
    return Left(
      found.map(({ path, message }) => ({
        line: findKeyLine(text, path),
        key: path.join('.'),
        message,
      })),
    );
  });
