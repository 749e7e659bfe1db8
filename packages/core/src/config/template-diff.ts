/** Differences between two configurations, shown to operators. */
import { toCanonicalJson } from './digest.js';
import type { Template } from './template.js';

type TemplatesByName = Readonly<Record<string, Template>>;

/** A field of a template whose value differs between base and head. */
export interface FieldDiff {
  /** Keys from the template down to the field, joined by `.`. */
  readonly path: string;
  readonly base?: unknown;
  readonly head?: unknown;
}

/** Differences in one template; `fields` is empty unless it was `changed`. */
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

/** Lists the templates that differ, each with at most 100 changed fields. */
export const diffTemplates = (
  base: TemplatesByName,
  head: TemplatesByName,
): readonly TemplateDiff[] =>
  listAllKeys(base, head).flatMap(template => {
    const baseTemplate = base[template];
    const headTemplate = head[template];
    const fields = diffFields(baseTemplate, headTemplate, '');
    if (fields.length === 0) return [];
    const change = classifyChange(baseTemplate, headTemplate);
    return [
      {
        template,
        change,
        fields: change === 'changed' ? fields.slice(0, maxListedFields) : [],
      },
    ];
  });
