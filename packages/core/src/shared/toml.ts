/** Parses TOML by a schema and reports the line and reason of each issue. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';

/** An issue found in a TOML file. */
export interface ValidationIssue {
  /** Line number, from 1; absent if the line can't be determined. */
  readonly line?: number;
  /** Path of the key, joined by `.`; empty for a syntax error. */
  readonly key: string;
  readonly message: string;
}

/** Formats an issue as one line: `FILE:LINE: KEY: MESSAGE`. */
export const formatIssue = (file: string, issue: ValidationIssue): string => {
  const location = issue.line === undefined ? file : `${file}:${issue.line}`;
  const key = issue.key === '' ? '' : `${issue.key}: `;
  return `${location}: ${key}${issue.message}`;
};

/** Parses a TOML text and validates the result by the schema. */
export const parseToml = <T>(
  text: string,
  schema: z.ZodType<T>,
): Either<readonly ValidationIssue[], T> => {
  const parsed = parseTomlText(text);
  if (parsed.isLeft()) return parsed;
  const validated = schema.safeParse(parsed.extract());
  if (validated.success) return Right(validated.data);
  return Left(
    validated.error.issues.flatMap(issue => toValidationIssues(text, issue)),
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
  return paths.map(keyPath => ({
    line: findKeyLine(text, keyPath),
    key: keyPath.join('.'),
    message: issue.message,
  }));
};

/**
 * Finds the line that sets the key at `path`. If no line sets it, returns the
 * line of its nearest enclosing table or key; `undefined` without one.
 */
export const findKeyLine = (
  text: string,
  path: readonly string[],
): number | undefined => {
  const lines = text.split('\n');
  let tablePath: readonly string[] = [];
  let foundLine: number | undefined;
  let foundLength = 0;
  for (const [index, line] of lines.entries()) {
    const header = /^\s*\[+\s*([^\]]+?)\s*\]+/.exec(line);
    const assignment = /^\s*([^#=[\]]+?)\s*=/.exec(line);
    if (header?.[1] !== undefined) tablePath = splitTomlKey(header[1]);
    const keyPath =
      assignment?.[1] === undefined ? [] : splitTomlKey(assignment[1]);
    if (header === null && assignment === null) continue;
    const matchedLength = getPrefixLength(removeArrayIndices(path), [
      ...tablePath,
      ...keyPath,
    ]);
    if (matchedLength > foundLength) {
      foundLength = matchedLength;
      foundLine = index + 1;
    }
  }
  return foundLine;
};

const splitTomlKey = (key: string): string[] =>
  key.split('.').map(part => part.trim().replace(/^["']|["']$/g, ''));

/** Removes array indices from a path, which TOML headers don't contain. */
const removeArrayIndices = (path: readonly string[]): string[] =>
  path.filter(part => !/^\d+$/.test(part));

/** Length of `prefix` if `path` starts with it, else 0. */
const getPrefixLength = (
  path: readonly string[],
  prefix: readonly string[],
): number =>
  prefix.length <= path.length && prefix.every((part, i) => part === path[i])
    ? prefix.length
    : 0;
