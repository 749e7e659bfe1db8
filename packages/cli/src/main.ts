/** The program `medlarlever`. */
import { Failure, toFailure } from '@medlarlever/core';
import meow from 'meow';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Command } from './commands/command.js';
import * as configuration from './commands/configuration-commands.js';
import * as targets from './commands/target-commands.js';
import { trace } from './commands/trace-command.js';
import { exitCodeOf, exitCodes } from './exit-codes.js';
import { OperatorClient } from './operator-client.js';
import { Output } from './output.js';

const commands: Readonly<Record<string, Command>> = {
  check: configuration.check,
  diff: configuration.diff,
  apply: configuration.apply,
  get: configuration.get,
  history: configuration.history,
  status: targets.status,
  drain: targets.planOf('drain'),
  replace: targets.planOf('replace'),
  withdraw: targets.planOf('withdraw'),
  role: targets.planOf('role'),
  load: targets.planOf('load'),
  unload: targets.planOf('unload'),
  cancel: targets.cancel,
  plans: targets.plans,
  orders: targets.orders,
  'release-order': targets.releaseOrder,
  requests: targets.requests,
  trace,
  'key-hash': configuration.keyHash,
};

const cli = meow(
  `
  Usage: medlarlever COMMAND [arguments] [flags]

  Templates
    check TEMPLATE...            check template files, without a server
    diff TEMPLATE...             what applying them would change
    apply TEMPLATE...            apply, and wait until in force everywhere
    get [NAME]                   the configuration, or one template
    history                      accepted changes, newest first
    key-hash                     hash of the key on standard input
  Targets
    status                       instances, targets, queues; --roles
    drain|replace|withdraw TARGET    plan a change; --preview
    role TARGET --role ROLE          plan a role change
    load|unload TARGET --model NAME@VERSION
    plans [ID], cancel ID        watch and cancel plans
    orders                       unfinished orders of engines
    release-order TARGET --order-id ID --reason TEXT
    requests                     recent requests; --customer NAME
  Logs
    trace REQUEST FILE...        one request's story from log files

  Flags
    --server URL        operators' address of an instance; repeatable
                        (or MEDLARLEVER_SERVERS, separated by commas)
    --key KEY           operator's key (better: MEDLARLEVER_KEY)
    --json              JSON on standard output
    --operation-id ID   complete an interrupted apply
    --remove NAME       with apply and diff: remove a template; repeatable
    --wait-ms N         how long apply waits (default 15000)
    --limit N           entries of the history (default 20)

  Exit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 no server reachable,
  5 accepted but not yet in force everywhere
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      server: { type: 'string', isMultiple: true },
      key: { type: 'string' },
      json: { type: 'boolean', default: false },
      operationId: { type: 'string' },
      remove: { type: 'string', isMultiple: true },
      roles: { type: 'boolean', default: false },
      preview: { type: 'boolean', default: false },
      role: { type: 'string' },
      model: { type: 'string' },
      reason: { type: 'string' },
      orderId: { type: 'string' },
      customer: { type: 'string' },
      limit: { type: 'number', default: 20 },
      waitMs: { type: 'number', default: 15_000 },
    },
  },
);

const { flags } = cli;
const output = new Output(flags.json);

const serversOf = (): string[] => {
  const named = flags.server ?? [];
  if (named.length > 0) return named;
  const fromEnvironment = process.env.MEDLARLEVER_SERVERS ?? '';
  return fromEnvironment.split(',').filter(server => server !== '');
};

const run = async (
  command: Command,
  input: readonly string[],
): Promise<Either<Failure, number>> => {
  const key = flags.key ?? process.env.MEDLARLEVER_KEY ?? '';
  const client = new OperatorClient({ servers: serversOf(), key });
  const remove = flags.remove ?? [];
  try {
    return await command({
      input,
      client,
      output,
      flags: { ...flags, remove },
    });
  } catch (error) {
    return Left(toFailure(error));
  }
};

const [name = '', ...input] = cli.input;
const command = commands[name];
if (command === undefined) {
  if (name !== '') {
    const message = `unknown command "${name}"; see --help`;
    output.failure(new Failure('invalid_usage', message));
    process.exit(exitCodes.usage);
  }
  cli.showHelp(exitCodes.usage);
} else {
  const outcome = await run(command, input);
  process.exitCode = outcome.caseOf({
    Left: failure => {
      output.failure(failure);
      return exitCodeOf(failure);
    },
    Right: code => code,
  });
}
