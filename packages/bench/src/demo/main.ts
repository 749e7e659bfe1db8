/** `npm run demo [-- --json]`: the whole system on loopback, with two crashes. */
import meow from 'meow';

import { startDeployment } from './deployment.js';
import type { Deployment } from './deployment.js';
import type { DemoProcess } from './demo-process.js';
import {
  applyTemplate,
  askQuietly,
  loseDaemon,
  loseEngine,
  publishTwice,
  stopAll,
} from './steps.js';
import type { Outcome } from './steps.js';

const cli = meow(
  `
  Usage: npm run demo [-- --json]

  Starts a platform, six engines, three services and three daemons, asks,
  publishes, kills an engine and a daemon, and shuts down. Exits 1 when a
  caller did not get the whole answer or an operation ran twice.
`,
  {
    importMeta: import.meta,
    flags: { json: { type: 'boolean', default: false } },
  },
);

const started: DemoProcess[] = [];
const outcomes: Outcome[] = [];
const linesShown = 5;

const say = (text: string) => {
  if (!cli.flags.json) console.log(text);
};

const record = (more: readonly Outcome[]) => {
  outcomes.push(...more);
  for (const { who, what, got, ok } of more) {
    say(`${ok ? 'ok  ' : 'FAIL'}  ${who}: ${what} -> ${got}`);
  }
};

const play = async (deployment: Deployment): Promise<void> => {
  record([await applyTemplate(deployment, started)]);
  for (const scene of [askQuietly, publishTwice, loseEngine, loseDaemon]) {
    record(await scene(deployment));
  }
  record(await stopAll(deployment));
};

const run = async (): Promise<void> => {
  try {
    say('starting a platform, six engines, three services, three daemons');
    await play(await startDeployment(started));
  } catch (error) {
    const got = error instanceof Error ? error.message : String(error);
    record([{ who: 'demo', what: 'run to the end', got, ok: false }]);
  }
  for (const process of started) if (process.running) await process.kill();
};

await run();
const ok = outcomes.every(outcome => outcome.ok);
if (cli.flags.json) console.log(JSON.stringify({ ok, outcomes }));
else {
  say(ok ? 'every caller got the whole answer' : 'the demo failed');
  if (!ok) {
    for (const { name, output } of started) {
      const last = output.slice(-linesShown).map(line => `  ${line}`);
      say([`${name} printed last:`, ...last].join('\n'));
    }
  }
}
process.exit(ok ? 0 : 1);
