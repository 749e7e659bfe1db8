/** Command `trace`: lists the events of one request from the log files of several instances. */
import { readFile } from 'node:fs/promises';

import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import { z } from 'zod';

import { exitCodes } from '../exit-codes.js';
import { formatTable } from '../output.js';

import type { Command } from './command.js';

/**
 * Milliseconds before the first and after the last event of a request in which
 * events of its targets are listed too, because they may explain the request's
 * result.
 */
const contextWindowMs = 5_000;

const logLineSchema = z.looseObject({
  event: z.number(),
  name: z.string(),
  request: z.string().optional(),
  target: z.string().optional(),
  _meta: z.looseObject({ name: z.string(), date: z.string() }),
});

/** A parsed log line; `atMs` is in Unix milliseconds. */
interface LogLine {
  readonly atMs: number;
  readonly instance: string;
  readonly event: string;
  readonly request: string | undefined;
  readonly target: string | undefined;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a log line, skipping any prefix before the JSON that a log collector may
 * have added. Returns `undefined` if the line is not a log event.
 */
const parseLogLine = (text: string): LogLine | undefined => {
  const jsonStart = text.indexOf('{');
  if (jsonStart === -1) return undefined;
  try {
    const parsed = logLineSchema.safeParse(JSON.parse(text.slice(jsonStart)));
    if (!parsed.success) return undefined;
    const { event, name, _meta, ...fields } = parsed.data;
    return {
      atMs: Date.parse(_meta.date),
      instance: _meta.name,
      event: `${event} ${name}`,
      request: fields.request,
      target: fields.target,
      fields,
    };
  } catch {
    return undefined;
  }
};

/**
 * Selects the lines of the request, and the lines about its targets that belong to
 * no request and lie within the context window, sorted by time.
 */
const selectRequestLines = (
  requestId: string,
  lines: readonly LogLine[],
): LogLine[] => {
  const requestLines = lines.filter(line => line.request === requestId);
  const targets = new Set(
    requestLines.flatMap(({ target, fields }) => [target, fields.prefill]),
  );
  const timesMs = requestLines.map(({ atMs }) => atMs);
  const fromMs = Math.min(...timesMs) - contextWindowMs;
  const toMs = Math.max(...timesMs) + contextWindowMs;
  const targetLines = lines.filter(
    ({ request, target, atMs }) =>
      request === undefined &&
      target !== undefined &&
      targets.has(target) &&
      atMs >= fromMs &&
      atMs <= toMs,
  );
  return [...requestLines, ...targetLines].sort((a, b) => a.atMs - b.atMs);
};

const toTableRow = ({ atMs, instance, event, fields }: LogLine) => ({
  time: new Date(atMs).toISOString().slice(11, 23),
  instance,
  event,
  facts: Object.entries(fields)
    .filter(([key]) => key !== 'request')
    .map(([key, value]) => `${key}=${String(value)}`)
    .join(' '),
});

/** Runs `trace REQUEST FILE...`. */
export const traceCommand: Command = async ({ input, output }) => {
  const [requestId, ...files] = input;
  if (requestId === undefined || files.length === 0) {
    return Left(new Failure('invalid_usage', 'trace REQUEST FILE...'));
  }
  const fileTexts: string[] = [];
  for (const file of files) {
    try {
      fileTexts.push(await readFile(file, 'utf8'));
    } catch (error) {
      return Left(new Failure('unreadable_file', `${file}: ${String(error)}`));
    }
  }
  const lines = fileTexts
    .flatMap(text => text.split('\n'))
    .map(parseLogLine)
    .filter(line => line !== undefined);
  const rows = selectRequestLines(requestId, lines).map(toTableRow);
  if (rows.length === 0) {
    return Left(
      new Failure(
        'not_found',
        `no log line of the given files belongs to request "${requestId}"`,
      ),
    );
  }
  output.printResult(rows, formatTable(rows));
  return Right(exitCodes.ok);
};
