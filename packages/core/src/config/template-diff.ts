/** Difference of two configurations, for an operator to look at. */
import { canonicalJson } from './digest.js';
import type { Template } from './template.js';

type Templates = Readonly<Record<string, Template>>;

/** A place inside a template where the two differ. */
export interface FieldDifference {
  /** Keys from the outside in, joined by `.`. */
  readonly path: string;
  readonly base?: unknown;
  readonly head?: unknown;
}

export interface TemplateDifference {
  readonly template: string;
  readonly change: 'added' | 'removed' | 'changed';
  readonly fields: readonly FieldDifference[];
}

const maxFields = 100;

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

const keysOf = (base: object, head: object) =>
  [...new Set([...Object.keys(base), ...Object.keys(head)])].sort();

const fieldsBetween = (
  base: unknown,
  head: unknown,
  path: string,
): FieldDifference[] => {
  if (canonicalJson([base]) === canonicalJson([head])) return [];
  if (!isRecord(base) || !isRecord(head)) return [{ path, base, head }];
  return keysOf(base, head).flatMap(key =>
    fieldsBetween(base[key], head[key], path === '' ? key : `${path}.${key}`),
  );
};

const changeOf = (base: unknown, head: unknown) => {
  if (base === undefined) return 'added';
  return head === undefined ? 'removed' : 'changed';
};

/** Templates and fields that differ, at most a hundred fields each. */
export const differenceBetween = (
  base: Templates,
  head: Templates,
): readonly TemplateDifference[] =>
  keysOf(base, head).flatMap(template => {
    const before = base[template];
    const after = head[template];
    const fields = fieldsBetween(before, after, '');
    if (fields.length === 0) return [];
    const change = changeOf(before, after);
    return [
      {
        template,
        change,
        fields: change === 'changed' ? fields.slice(0, maxFields) : [],
      },
    ];
  });
