/** Commands that check, compare and apply templates and show the configuration. */
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

/** Interval at which `apply` polls the instances' revisions. */
const pollIntervalMs = 250;

/** Changed templates by name; `null` removes a template. */
type TemplateChanges = Record<string, Template | null>;

const createUsageFailure = (message: string) =>
  Left(new Failure('invalid_usage', message));

/** Runs `check TEMPLATE...`: validates template files without calling a server. */
export const checkCommand: Command = ({ input, output }) => {
  if (input.length === 0)
    return Promise.resolve(createUsageFailure('check TEMPLATE...'));
  const checkResult = readTemplates(input).map(templates => {
    const names = Object.keys(templates);
    output.printResult(
      { valid: names },
      names.map(name => `${name}: valid`).join('\n'),
    );
    return exitCodes.ok;
  });
  return Promise.resolve(checkResult);
};

const fetchConfiguration = async ({ client }: CommandContext) =>
  parseResponse(configurationSchema, await client.get('/configuration'));

const readTemplateChanges = ({
  input,
  flags,
}: CommandContext): Either<Failure, TemplateChanges> => {
  if (input.length + flags.remove.length === 0) {
    return createUsageFailure(
      'expected template files as arguments, or --remove NAME',
    );
  }
  const removed = Object.fromEntries(flags.remove.map(name => [name, null]));
  return readTemplates(input).map(templates => ({ ...templates, ...removed }));
};

/** Applies the changes to the templates of the configuration. */
const mergeTemplates = (
  { templates }: Configuration,
  changes: TemplateChanges,
): Record<string, Template> => {
  const merged = { ...templates, ...changes };
  const remainingEntries = Object.entries(merged).filter(
    entry => entry[1] !== null,
  );
  return Object.fromEntries(remainingEntries) as Record<string, Template>;
};

/** Runs `diff TEMPLATE...`: prints the changes that `apply` would make. */
export const diffCommand: Command = context =>
  EitherAsync<Failure, number>(async helpers => {
    const changes = await helpers.liftEither(readTemplateChanges(context));
    const configuration = await helpers.fromPromise(
      fetchConfiguration(context),
    );
    const differences = diffTemplates(
      configuration.templates,
      mergeTemplates(configuration, changes),
    );
    const rows = differences.flatMap(({ template, change: kind, fields }) =>
      fields.length === 0
        ? [{ template, change: kind }]
        : fields.map(field => ({ template, change: kind, ...field })),
    );
    const columns = ['template', 'change', 'path', 'base', 'head'];
    context.output.printResult(differences, formatTable(rows, columns));
    return exitCodes.ok;
  }).run();

/** Lists the instances whose revision is lower than the given one. */
const listLaggingInstances = async (
  { client }: CommandContext,
  revision: number,
): Promise<Either<Failure, string[]>> => {
  const status = parseResponse(statusSchema, await client.get('/status'));
  return status.map(({ instances, revision: localRevision, instance }) => {
    const laggingPeers = instances
      .filter(({ state }) => state !== 'gone')
      .filter(peer => (peer.revision ?? -1) < revision)
      .map(({ name }) => name);
    return localRevision < revision
      ? [...new Set([instance, ...laggingPeers])]
      : laggingPeers;
  });
};

/**
 * Polls until all instances have the revision or `--wait-ms` has elapsed. Prints
 * the result and returns the exit code.
 */
const waitUntilInForce = async (
  context: CommandContext,
  revision: number,
): Promise<number> => {
  const { output, flags } = context;
  const deadlineMs = Date.now() + flags.waitMs;
  const fetchLaggingInstances = async () =>
    (await listLaggingInstances(context, revision)).orDefault([
      '(no response)',
    ]);
  let laggingInstances = await fetchLaggingInstances();
  while (laggingInstances.length > 0 && Date.now() < deadlineMs) {
    output.printProgress(
      `revision ${revision} is not yet in force on: ${laggingInstances.join(', ')}`,
    );
    await sleep(pollIntervalMs);
    laggingInstances = await fetchLaggingInstances();
  }
  const isInForceEverywhere = laggingInstances.length === 0;
  output.printResult(
    { revision, inForce: isInForceEverywhere, lacking: laggingInstances },
    isInForceEverywhere
      ? `revision ${revision} is in force everywhere`
      : `revision ${revision} is accepted but not yet in force on: ${laggingInstances.join(', ')}`,
  );
  return isInForceEverywhere ? exitCodes.ok : exitCodes.notYetInForce;
};

/**
 * Returns the revision that the operation committed, or `undefined` if the
 * operation is not recorded. Fails with `platform_unknown` while the result is
 * undecided.
 */
const findCommittedRevision = async (
  { client }: CommandContext,
  operationId: string,
): Promise<Either<Failure, number | undefined>> => {
  const path = `/operations/${encodeURIComponent(operationId)}`;
  const response = parseResponse(operationStatusSchema, await client.get(path));
  return response.chain(({ state, revision }) => {
    if (state === 'committed') return Right(revision);
    if (state === 'absent') return Right(undefined);
    const message = `the result of operation ${operationId} is not yet known; retry later`;
    return Left(new Failure('platform_unknown', message));
  });
};

/**
 * Runs `apply TEMPLATE...`. With `--operation-id`, an operation that has already
 * been committed is not submitted again.
 */
export const applyCommand: Command = context =>
  EitherAsync<Failure, number>(async helpers => {
    const { client, flags, output } = context;
    const changes = await helpers.liftEither(readTemplateChanges(context));
    const operationId = flags.operationId ?? randomUUID();
    output.printProgress(`operation id ${operationId}`);
    if (flags.operationId !== undefined) {
      const committedRevision = await helpers.fromPromise(
        findCommittedRevision(context, operationId),
      );
      if (committedRevision !== undefined)
        return waitUntilInForce(context, committedRevision);
    }
    const configuration = await helpers.fromPromise(
      fetchConfiguration(context),
    );
    const body = {
      operationId,
      baseRevision: configuration.revision,
      templates: changes,
    };
    const response = await client.post('/configuration', body);
    const applied = await helpers.liftEither(
      parseResponse(applyResponseSchema, response),
    );
    output.printProgress(`revision ${applied.revision} is accepted`);
    return waitUntilInForce(context, applied.revision);
  }).run();

/** Runs `get [NAME]`: prints the configuration or one template. */
export const getCommand: Command = context =>
  EitherAsync<Failure, number>(async helpers => {
    const configuration = await helpers.fromPromise(
      fetchConfiguration(context),
    );
    const [name] = context.input;
    if (name === undefined) {
      const names = Object.keys(configuration.templates).join('\n');
      context.output.printResult(
        configuration,
        `revision ${configuration.revision}\n${names}`,
      );
      return exitCodes.ok;
    }
    const template = configuration.templates[name];
    if (template === undefined) {
      const failure = new Failure(
        'not_found',
        `the configuration has no template "${name}"`,
      );
      return helpers.liftEither(Left(failure));
    }
    context.output.printResult(template, JSON.stringify(template, null, 2));
    return exitCodes.ok;
  }).run();

/** Runs `history`: prints accepted configuration changes, newest first. */
export const historyCommand: Command = async ({ client, flags, output }) => {
  const response = await client.get(`/history?limit=${flags.limit}`);
  return parseResponse(rowsSchema, response).map(rows => {
    const columns = ['revision', 'operationId', 'author', 'atMs', 'changed'];
    output.printResult(rows, formatTable(rows, columns));
    return exitCodes.ok;
  });
};

/** Runs `key-hash`: prints the SHA-256 hash, in hexadecimal, of the key on standard input. */
export const keyHashCommand: Command = async ({ output }) => {
  const key = (await text(process.stdin)).trim();
  if (key === '')
    return createUsageFailure(
      'standard input is empty; pass the key on standard input',
    );
  const hash = createHash('sha256').update(key).digest('hex');
  output.printResult({ hash }, hash);
  return Right(exitCodes.ok);
};
