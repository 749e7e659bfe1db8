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
  appliedSchema,
  operationSchema,
  rowsSchema,
  statusSchema,
} from '../operator-schemas.js';
import { toTable } from '../output.js';
import { parse } from '../parse-response.js';

import type { Command, CommandContext } from './command.js';
import { readTemplates } from './template-files.js';

const pollMs = 250;

type Change = Record<string, Template | null>;

const usage = (message: string) => Left(new Failure('invalid_usage', message));

export const check: Command = ({ input, output }) => {
  if (input.length === 0) return Promise.resolve(usage('check TEMPLATE...'));
  const checked = readTemplates(input).map(templates => {
    const names = Object.keys(templates);
    output.result({ valid: names }, names.map(n => `${n}: valid`).join('\n'));
    return exitCodes.ok;
  });
  return Promise.resolve(checked);
};

const current = async ({ client }: CommandContext) =>
  parse(configurationSchema, await client.get('/configuration'));

const readChange = ({
  input,
  flags,
}: CommandContext): Either<Failure, Change> => {
  if (input.length + flags.remove.length === 0) {
    return usage('name template files, or templates by --remove');
  }
  const removed = Object.fromEntries(flags.remove.map(name => [name, null]));
  return readTemplates(input).map(templates => ({ ...templates, ...removed }));
};

const changed = (
  { templates }: Configuration,
  change: Change,
): Record<string, Template> => {
  const all = { ...templates, ...change };
  const kept = Object.entries(all).filter(entry => entry[1] !== null);
  return Object.fromEntries(kept) as Record<string, Template>;
};

export const diff: Command = context =>
  EitherAsync<Failure, number>(async helpers => {
    const change = await helpers.liftEither(readChange(context));
    const head = await helpers.fromPromise(current(context));
    const found = diffTemplates(head.templates, changed(head, change));
    const rows = found.flatMap(({ template, change: kind, fields }) =>
      fields.length === 0
        ? [{ template, change: kind }]
        : fields.map(field => ({ template, change: kind, ...field })),
    );
    const columns = ['template', 'change', 'path', 'base', 'head'];
    context.output.result(found, toTable(rows, columns));
    return exitCodes.ok;
  }).run();

/** Instances that do not have the revision yet. */
const lacking = async (
  { client }: CommandContext,
  revision: number,
): Promise<Either<Failure, string[]>> => {
  const status = parse(statusSchema, await client.get('/status'));
  return status.map(({ instances, revision: own, instance }) => {
    const behind = instances
      .filter(({ state }) => state !== 'gone')
      .filter(each => (each.revision ?? -1) < revision)
      .map(({ name }) => name);
    return own < revision ? [...new Set([instance, ...behind])] : behind;
  });
};

const waitInForce = async (
  context: CommandContext,
  revision: number,
): Promise<number> => {
  const { output, flags } = context;
  const untilMs = Date.now() + flags.waitMs;
  const ask = async () =>
    (await lacking(context, revision)).orDefault(['(no answer)']);
  let names = await ask();
  while (names.length > 0 && Date.now() < untilMs) {
    output.progress(`revision ${revision} not yet at: ${names.join(', ')}`);
    await sleep(pollMs);
    names = await ask();
  }
  const everywhere = names.length === 0;
  output.result(
    { revision, inForce: everywhere, lacking: names },
    everywhere
      ? `revision ${revision} is in force everywhere`
      : `revision ${revision} is accepted but lacking at: ${names.join(', ')}`,
  );
  return everywhere ? exitCodes.ok : exitCodes.notYetInForce;
};

/** Revision of an operation that an earlier command has committed. */
const committed = async (
  { client }: CommandContext,
  operationId: string,
): Promise<Either<Failure, number | undefined>> => {
  const path = `/operations/${encodeURIComponent(operationId)}`;
  const answer = parse(operationSchema, await client.get(path));
  return answer.chain(({ state, revision }) => {
    if (state === 'committed') return Right(revision);
    if (state === 'absent') return Right(undefined);
    const message = `the outcome of operation ${operationId} is not yet known`;
    return Left(new Failure('platform_unknown', message));
  });
};

export const apply: Command = context =>
  EitherAsync<Failure, number>(async helpers => {
    const { client, flags, output } = context;
    const change = await helpers.liftEither(readChange(context));
    const operationId = flags.operationId ?? randomUUID();
    output.progress(`operation id ${operationId}`);
    if (flags.operationId !== undefined) {
      const earlier = await helpers.fromPromise(
        committed(context, operationId),
      );
      if (earlier !== undefined) return waitInForce(context, earlier);
    }
    const head = await helpers.fromPromise(current(context));
    const body = {
      operationId,
      baseRevision: head.revision,
      templates: change,
    };
    const answer = await client.post('/configuration', body);
    const applied = await helpers.liftEither(parse(appliedSchema, answer));
    output.progress(`revision ${applied.revision} is accepted`);
    return waitInForce(context, applied.revision);
  }).run();

export const get: Command = context =>
  EitherAsync<Failure, number>(async helpers => {
    const head = await helpers.fromPromise(current(context));
    const [name] = context.input;
    if (name === undefined) {
      const names = Object.keys(head.templates).join('\n');
      context.output.result(head, `revision ${head.revision}\n${names}`);
      return exitCodes.ok;
    }
    const template = head.templates[name];
    if (template === undefined) {
      const failure = new Failure('not_found', `no template "${name}"`);
      return helpers.liftEither(Left(failure));
    }
    context.output.result(template, JSON.stringify(template, null, 2));
    return exitCodes.ok;
  }).run();

export const history: Command = async ({ client, flags, output }) => {
  const answer = await client.get(`/history?limit=${flags.limit}`);
  return parse(rowsSchema, answer).map(rows => {
    const columns = ['revision', 'operationId', 'author', 'atMs', 'changed'];
    output.result(rows, toTable(rows, columns));
    return exitCodes.ok;
  });
};

export const keyHash: Command = async ({ output }) => {
  const key = (await text(process.stdin)).trim();
  if (key === '') return usage('give the key on standard input');
  const hash = createHash('sha256').update(key).digest('hex');
  output.result({ hash }, hash);
  return Right(exitCodes.ok);
};
