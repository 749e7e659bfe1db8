/** Command line of the program `medlarleverd`. */
import { JsonLog } from '@medlarlever/core';
import meow from 'meow';

import { Daemon } from './daemon.js';
import { loadSettings } from './settings/load-settings.js';

const invalidUsageExitCode = 2;

const cli = meow(
  `
  Usage
    $ medlarleverd FILE         run with the settings in FILE (TOML)
    $ medlarleverd check FILE   check the settings and exit

  SIGTERM and SIGINT shut down gracefully; a second signal exits at once.

  Exit codes: 0 stopped or valid, 1 failed, 2 invalid settings or usage
`,
  { importMeta: import.meta },
);

const loadOrExit = (file: string) =>
  loadSettings(file)
    .ifLeft(failure => {
      console.error(`${failure.number} ${failure.code}\n${failure.message}`);
      process.exit(invalidUsageExitCode);
    })
    .unsafeCoerce();

const runDaemon = async (file: string): Promise<void> => {
  const settings = loadOrExit(file);
  const log = new JsonLog(settings.instance.name);
  const daemon = new Daemon(settings, log);
  process.on('unhandledRejection', reason => {
    const stack = reason instanceof Error ? reason.stack : undefined;
    log.writeEvent('defect', { message: String(reason), stack });
  });
  let isStopping = false;
  const stopDaemon = () => {
    if (isStopping) process.exit(1);
    isStopping = true;
    void daemon.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', stopDaemon);
  process.on('SIGINT', stopDaemon);
  await daemon.start();
};

const [firstArgument, secondArgument] = cli.input;
if (firstArgument === 'check' && secondArgument !== undefined) {
  loadOrExit(secondArgument);
  console.log(`${secondArgument}: valid`);
} else if (firstArgument !== undefined && firstArgument !== 'check') {
  await runDaemon(firstArgument);
} else {
  cli.showHelp(invalidUsageExitCode);
}
