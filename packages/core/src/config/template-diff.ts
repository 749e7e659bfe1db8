/** Difference of two configurations, for an operator to look at. */
import { toCanonicalJson } from './digest.js';
import type { Template } from './template.js';

type TemplatesByName = Readonly<Record<string, Template>>;

/** A place inside a template where the two differ. */
export interface FieldDiff {
  /** Keys from the outside in, joined by `.`. */
  readonly path: string;
  readonly base?: unknown;
  readonly head?: unknown;
}

export interface TemplateDiff {
  readonly template: string;
  readonly change: 'added' | 'removed' | 'changed';
  readonly fields: readonly FieldDiff[];
}

const maxListedFields = 100;

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

const listAllKeys = (base: object, head: object) =>
  [...new Set([...Object.keys(base), ...Object.keys(head)])].sort();

const diffFields = (
  base: unknown,
  head: unknown,
  path: string,
): FieldDiff[] => {
  if (toCanonicalJson([base]) === toCanonicalJson([head])) return [];
  if (!isObject(base) || !isObject(head)) return [{ path, base, head }];
  return listAllKeys(base, head).flatMap(key =>
    diffFields(base[key], head[key], path === '' ? key : `${path}.${key}`),
  );
};

const classifyChange = (base: unknown, head: unknown) => {
  if (base === undefined) return 'added';
  return head === undefined ? 'removed' : 'changed';
};

/** Templates and fields that differ, at most a hundred fields each. */
export const diffTemplates = (
  base: TemplatesByName,
  head: TemplatesByName,
): readonly TemplateDiff[] =>
  listAllKeys(base, head).flatMap(template => {
    const before = base[template];
    const after = head[template];
    const fields = diffFields(before, after, '');
    if (fields.length === 0) return [];
    const change = classifyChange(before, after);
    return [
      {
        template,
        change,
        fields: change === 'changed' ? fields.slice(0, maxListedFields) : [],
      },
    ];
  });
