/** Commands on templates and the configuration. */
import { createHash, randomUUID } from 'node:crypto';
import { text } from 'node:stream/consumers';

import {
  configurationSchema,
  diffTemplates,
  Failure,
  sleep,
} from '@medlarlever/core';
import type { Configuration, Template } from '@medlarlever/core';
import { EitherAsync, Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { exitCodes } from '../exit-codes.js';
import {
  applyResponseSchema,
  operationStatusSchema,
  rowsSchema,
  statusSchema,
} from '../operator-schemas.js';
import { formatTable } from '../output.js';
import { parseResponse } from '../parse-response.js';

import type { Command, CommandContext } from './command.js';
import { readTemplates } from './template-files.js';

const pollIntervalMs = 250;

type TemplateChanges = Record<string, Template | null>;

const createUsageFailure = (message: string) =>
  Left(new Failure('invalid_usage', message));

export const checkCommand: Command = ({ input, output }) => {
  if (input.length === 0)
    return Promise.resolve(createUsageFailure('check TEMPLATE...'));
  const checked = readTemplates(input).map(templates => {
    const names = Object.keys(templates);
    output.printResult(
      { valid: names },
      names.map(n => `${n}: valid`).join('\n'),
    );
    return exitCodes.ok;
  });
  return Promise.resolve(checked);
};

const fetchConfiguration = async ({ client }: CommandContext) =>
  parseResponse(configurationSchema, await client.get('/configuration'));

const readTemplateChanges = ({
  input,
  flags,
}: CommandContext): Either<Failure, TemplateChanges> => {
  if (input.length + flags.remove.length === 0) {
    return createUsageFailure('name template files, or templates by --remove');
  }
  const removed = Object.fromEntries(flags.remove.map(name => [name, null]));
  return readTemplates(input).map(templates => ({ ...templates, ...removed }));
};

const mergeTemplates = (
  { templates }: Configuration,
  change: TemplateChanges,
): Record<string, Template> => {
  const all = { ...templates, ...change };
  const kept = Object.entries(all).filter(entry => entry[1] !== null);
  return Object.fromEntries(kept) as Record<string, Template>;
};

export const diffCommand: Command = context =>
  EitherAsync<Failure, number>(async helpers => {
    const change = await helpers.liftEither(readTemplateChanges(context));
    const head = await helpers.fromPromise(fetchConfiguration(context));
    const found = diffTemplates(head.templates, mergeTemplates(head, change));
    const rows = found.flatMap(({ template, change: kind, fields }) =>
      fields.length === 0
        ? [{ template, change: kind }]
        : fields.map(field => ({ template, change: kind, ...field })),
    );
    const columns = ['template', 'change', 'path', 'base', 'head'];
    context.output.printResult(found, formatTable(rows, columns));
    return exitCodes.ok;
  }).run();

/** Instances that do not have the revision yet. */
const listLaggingInstances = async (
  { client }: CommandContext,
  revision: number,
): Promise<Either<Failure, string[]>> => {
  const status = parseResponse(statusSchema, await client.get('/status'));
  return status.map(({ instances, revision: own, instance }) => {
    const behind = instances
      .filter(({ state }) => state !== 'gone')
      .filter(each => (each.revision ?? -1) < revision)
      .map(({ name }) => name);
    return own < revision ? [...new Set([instance, ...behind])] : behind;
  });
};

const waitUntilInForce = async (
  context: CommandContext,
  revision: number,
): Promise<number> => {
  const { output, flags } = context;
  const untilMs = Date.now() + flags.waitMs;
  const ask = async () =>
    (await listLaggingInstances(context, revision)).orDefault(['(no answer)']);
  let names = await ask();
  while (names.length > 0 && Date.now() < untilMs) {
    output.printProgress(
      `revision ${revision} not yet at: ${names.join(', ')}`,
    );
    await sleep(pollIntervalMs);
    names = await ask();
  }
  const everywhere = names.length === 0;
  output.printResult(
    { revision, inForce: everywhere, lacking: names },
    everywhere
      ? `revision ${revision} is in force everywhere`
      : `revision ${revision} is accepted but lacking at: ${names.join(', ')}`,
  );
  return everywhere ? exitCodes.ok : exitCodes.notYetInForce;
};

/** Revision of an operation that an earlier command has committed. */
const findCommittedRevision = async (
  { client }: CommandContext,
  operationId: string,
): Promise<Either<Failure, number | undefined>> => {
  const path = `/operations/${encodeURIComponent(operationId)}`;
  const answer = parseResponse(operationStatusSchema, await client.get(path));
  return answer.chain(({ state, revision }) => {
    if (state === 'committed') return Right(revision);
    if (state === 'absent') return Right(undefined);
    const message = `the outcome of operation ${operationId} is not yet known`;
    return Left(new Failure('platform_unknown', message));
  });
};

export const applyCommand: Command = context =>
  EitherAsync<Failure, number>(async helpers => {
    const { client, flags, output } = context;
    const change = await helpers.liftEither(readTemplateChanges(context));
    const operationId = flags.operationId ?? randomUUID();
    output.printProgress(`operation id ${operationId}`);
    if (flags.operationId !== undefined) {
      const earlier = await helpers.fromPromise(
        findCommittedRevision(context, operationId),
      );
      if (earlier !== undefined) return waitUntilInForce(context, earlier);
    }
    const head = await helpers.fromPromise(fetchConfiguration(context));
    const body = {
      operationId,
      baseRevision: head.revision,
      templates: change,
    };
    const answer = await client.post('/configuration', body);
    const applied = await helpers.liftEither(
      parseResponse(applyResponseSchema, answer),
    );
    output.printProgress(`revision ${applied.revision} is accepted`);
    return waitUntilInForce(context, applied.revision);
  }).run();

export const getCommand: Command = context =>
  EitherAsync<Failure, number>(async helpers => {
    const head = await helpers.fromPromise(fetchConfiguration(context));
    const [name] = context.input;
    if (name === undefined) {
      const names = Object.keys(head.templates).join('\n');
      context.output.printResult(head, `revision ${head.revision}\n${names}`);
      return exitCodes.ok;
    }
    const template = head.templates[name];
    if (template === undefined) {
      const failure = new Failure('not_found', `no template "${name}"`);
      return helpers.liftEither(Left(failure));
    }
    context.output.printResult(template, JSON.stringify(template, null, 2));
    return exitCodes.ok;
  }).run();

export const historyCommand: Command = async ({ client, flags, output }) => {
  const answer = await client.get(`/history?limit=${flags.limit}`);
  return parseResponse(rowsSchema, answer).map(rows => {
    const columns = ['revision', 'operationId', 'author', 'atMs', 'changed'];
    output.printResult(rows, formatTable(rows, columns));
    return exitCodes.ok;
  });
};

export const keyHashCommand: Command = async ({ output }) => {
  const key = (await text(process.stdin)).trim();
  if (key === '') return createUsageFailure('give the key on standard input');
  const hash = createHash('sha256').update(key).digest('hex');
  output.printResult({ hash }, hash);
  return Right(exitCodes.ok);
};
