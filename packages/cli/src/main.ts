/** Entry point of the program `medlarlever`: parses arguments and runs one command. */
import { Failure, toFailure } from '@medlarlever/core';
import meow from 'meow';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Command } from './commands/command.js';
import * as configuration from './commands/configuration-commands.js';
import * as targets from './commands/target-commands.js';
import { traceCommand } from './commands/trace-command.js';
import { getExitCode, exitCodes } from './exit-codes.js';
import { OperatorClient } from './operator-client.js';
import { Output } from './output.js';

const commands: Readonly<Record<string, Command>> = {
  check: configuration.checkCommand,
  diff: configuration.diffCommand,
  apply: configuration.applyCommand,
  get: configuration.getCommand,
  history: configuration.historyCommand,
  status: targets.statusCommand,
  drain: targets.createPlanCommand('drain'),
  replace: targets.createPlanCommand('replace'),
  withdraw: targets.createPlanCommand('withdraw'),
  role: targets.createPlanCommand('role'),
  load: targets.createPlanCommand('load'),
  unload: targets.createPlanCommand('unload'),
  cancel: targets.cancelCommand,
  plans: targets.plansCommand,
  orders: targets.ordersCommand,
  'release-order': targets.releaseOrderCommand,
  requests: targets.requestsCommand,
  trace: traceCommand,
  'key-hash': configuration.keyHashCommand,
};

const cli = meow(
  `
  Usage: medlarlever COMMAND [arguments] [flags]

  Templates
    check TEMPLATE...            check template files, without a server
    diff TEMPLATE...             show the changes that apply would make
    apply TEMPLATE...            apply, then wait until all instances use it
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
    trace REQUEST FILE...        events of one request, from log files

  Flags
    --server URL        URL of an instance's operators' API; repeatable
                        (or MEDLARLEVER_SERVERS, separated by commas)
    --key KEY           operator's key (better: MEDLARLEVER_KEY)
    --json              JSON on standard output
    --operation-id ID   id of an interrupted apply to complete
    --remove NAME       with apply and diff: remove a template; repeatable
    --wait-ms N         milliseconds that apply waits (default 15000)
    --limit N           maximum number of history entries (default 20)

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

/** Server URLs from `--server` or, without that flag, from `MEDLARLEVER_SERVERS`. */
const getServers = (): string[] => {
  const fromFlags = flags.server ?? [];
  if (fromFlags.length > 0) return fromFlags;
  const fromEnvironment = process.env.MEDLARLEVER_SERVERS ?? '';
  return fromEnvironment.split(',').filter(server => server !== '');
};

const runCommand = async (
  command: Command,
  commandArguments: readonly string[],
): Promise<Either<Failure, number>> => {
  const key = flags.key ?? process.env.MEDLARLEVER_KEY ?? '';
  const client = new OperatorClient({ servers: getServers(), key });
  const remove = flags.remove ?? [];
  try {
    return await command({
      input: commandArguments,
      client,
      output,
      flags: { ...flags, remove },
    });
  } catch (error) {
    return Left(toFailure(error));
  }
};

const [commandName = '', ...input] = cli.input;
const command = commands[commandName];
if (command === undefined) {
  if (commandName !== '') {
    const message = `unknown command "${commandName}"; see --help`;
    output.printFailure(new Failure('invalid_usage', message));
    process.exit(exitCodes.usage);
  }
  cli.showHelp(exitCodes.usage);
} else {
  const result = await runCommand(command, input);
  process.exitCode = result.caseOf({
    Left: failure => {
      output.printFailure(failure);
      return getExitCode(failure);
    },
    Right: code => code,
  });
}
