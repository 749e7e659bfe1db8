/** Reads TOML against a schema and says where and why it is not valid. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';

/** One thing wrong with a file. */
export interface ValidationIssue {
  /** 1 for the first line; absent when the key is missing. */
  readonly line?: number;
  /** Dotted path of the key. */
  readonly key: string;
  readonly message: string;
}

/** One line of text for a problem. */
export const formatIssue = (file: string, problem: ValidationIssue): string => {
  const place = problem.line === undefined ? file : `${file}:${problem.line}`;
  const key = problem.key === '' ? '' : `${problem.key}: `;
  return `${place}: ${key}${problem.message}`;
};

/** Parses the text and checks it by the schema. */
export const parseToml = <T>(
  text: string,
  schema: z.ZodType<T>,
): Either<readonly ValidationIssue[], T> => {
  const parsed = parseTomlText(text);
  if (parsed.isLeft()) return parsed;
  const checked = schema.safeParse(parsed.extract());
  if (checked.success) return Right(checked.data);
  return Left(
    checked.error.issues.flatMap(issue => toValidationIssues(text, issue)),
  );
};

const parseTomlText = (
  text: string,
): Either<readonly ValidationIssue[], unknown> => {
  try {
    return Right(parse(text));
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const message = error.message.split('\n')[0] ?? 'invalid TOML';
    return Left([{ line: error.line, key: '', message }]);
  }
};

const toValidationIssues = (
  text: string,
  issue: z.core.$ZodIssue,
): ValidationIssue[] => {
  const path = issue.path.map(String);
  const paths =
    issue.code === 'unrecognized_keys'
      ? issue.keys.map(key => [...path, key])
      : [path];
  return paths.map(keys => ({
    line: findKeyLine(text, keys),
    key: keys.join('.'),
    message: issue.message,
  }));
};

/** Line of the key, found by its table header and then its name. */
export const findKeyLine = (
  text: string,
  path: readonly string[],
): number | undefined => {
  const lines = text.split('\n');
  let table: readonly string[] = [];
  let found: number | undefined;
  let depth = 0;
  for (const [index, line] of lines.entries()) {
    const header = /^\s*\[+\s*([^\]]+?)\s*\]+/.exec(line);
    const assigned = /^\s*([^#=[\]]+?)\s*=/.exec(line);
    if (header?.[1] !== undefined) table = splitTomlKey(header[1]);
    const key = assigned?.[1] === undefined ? [] : splitTomlKey(assigned[1]);
    if (header === null && assigned === null) continue;
    const matched = getPrefixLength(removeArrayIndices(path), [
      ...table,
      ...key,
    ]);
    if (matched > depth) {
      depth = matched;
      found = index + 1;
    }
  }
  return found;
};

const splitTomlKey = (key: string): string[] =>
  key.split('.').map(part => part.trim().replace(/^["']|["']$/g, ''));

/** Drops the indices of arrays, which TOML headers do not show. */
const removeArrayIndices = (path: readonly string[]): string[] =>
  path.filter(part => !/^\d+$/.test(part));

/** Length of `written` when it leads `path`, else 0. */
const getPrefixLength = (
  path: readonly string[],
  written: readonly string[],
): number =>
  written.length <= path.length && written.every((part, i) => part === path[i])
    ? written.length
    : 0;
