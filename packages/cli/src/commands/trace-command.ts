/** Follows one request through the log files of several instances. */
import { readFile } from 'node:fs/promises';

import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import { z } from 'zod';

import { exitCodes } from '../exit-codes.js';
import { formatTable } from '../output.js';

import type { Command } from './command.js';

/** What happened to a target so long before the request may explain it. */
const contextWindowMs = 5_000;

const logLineSchema = z.looseObject({
  event: z.number(),
  name: z.string(),
  request: z.string().optional(),
  target: z.string().optional(),
  _meta: z.looseObject({ name: z.string(), date: z.string() }),
});

/** One line of a log with its time. */
interface LogLine {
  readonly atMs: number;
  readonly instance: string;
  readonly event: string;
  readonly request: string | undefined;
  readonly target: string | undefined;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Reads a line; text before the JSON, such as a collector's, is skipped. */
const parseLogLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{');
  if (start === -1) return undefined;
  try {
    const parsed = logLineSchema.safeParse(JSON.parse(text.slice(start)));
    if (!parsed.success) return undefined;
    const { event, name, _meta, ...facts } = parsed.data;
    return {
      atMs: Date.parse(_meta.date),
      instance: _meta.name,
      event: `${event} ${name}`,
      request: facts.request,
      target: facts.target,
      fields: facts,
    };
  } catch {
    return undefined;
  }
};

/** Lines of the request, and what happened to its targets around it. */
const selectRequestLines = (
  id: string,
  lines: readonly LogLine[],
): LogLine[] => {
  const own = lines.filter(line => line.request === id);
  const targets = new Set(
    own.flatMap(({ target, fields: facts }) => [target, facts.prefill]),
  );
  const times = own.map(({ atMs }) => atMs);
  const fromMs = Math.min(...times) - contextWindowMs;
  const toMs = Math.max(...times) + contextWindowMs;
  const around = lines.filter(
    ({ request, target, atMs }) =>
      request === undefined &&
      target !== undefined &&
      targets.has(target) &&
      atMs >= fromMs &&
      atMs <= toMs,
  );
  return [...own, ...around].sort((a, b) => a.atMs - b.atMs);
};

const toTableRow = ({ atMs, instance, event, fields: facts }: LogLine) => ({
  time: new Date(atMs).toISOString().slice(11, 23),
  instance,
  event,
  facts: Object.entries(facts)
    .filter(([key]) => key !== 'request')
    .map(([key, value]) => `${key}=${String(value)}`)
    .join(' '),
});

/** `trace REQUEST FILE...` */
export const traceCommand: Command = async ({ input, output }) => {
  const [id, ...files] = input;
  if (id === undefined || files.length === 0) {
    return Left(new Failure('invalid_usage', 'trace REQUEST FILE...'));
  }
  const texts: string[] = [];
  for (const file of files) {
    try {
      texts.push(await readFile(file, 'utf8'));
    } catch (error) {
      return Left(new Failure('unreadable_file', `${file}: ${String(error)}`));
    }
  }
  const lines = texts
    .flatMap(text => text.split('\n'))
    .map(parseLogLine)
    .filter(line => line !== undefined);
  const rows = selectRequestLines(id, lines).map(toTableRow);
  if (rows.length === 0) {
    return Left(new Failure('not_found', `no line names request "${id}"`));
  }
  output.printResult(rows, formatTable(rows));
  return Right(exitCodes.ok);
};
