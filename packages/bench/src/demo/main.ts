/** Command that runs the whole system on loopback and kills an engine and a daemon: `npm run demo [-- --json]`. */
import meow from 'meow';

import { startDeployment } from './deployment.js';
import type { DemoDeployment } from './deployment.js';
import type { DemoProcess } from './demo-process.js';
import {
  applyTemplate,
  requestWithoutFaults,
  killDaemonDuringStreams,
  killEngineDuringStreams,
  publishAmendmentTwice,
  stopDeployment,
} from './steps.js';
import type { DemoOutcome } from './steps.js';

const cli = meow(
  `
  Usage: npm run demo [-- --json]

  Starts a platform, six engines, three services and three daemons, sends
  requests, kills an engine and a daemon, and shuts down. Exits 1 when a
  caller did not get the complete answer or an operation ran twice.
`,
  {
    importMeta: import.meta,
    flags: { json: { type: 'boolean', default: false } },
  },
);

const startedProcesses: DemoProcess[] = [];
const outcomes: DemoOutcome[] = [];
const shownLineCount = 5;

const printLine = (text: string) => {
  if (!cli.flags.json) console.log(text);
};

const recordOutcomes = (newOutcomes: readonly DemoOutcome[]) => {
  outcomes.push(...newOutcomes);
  for (const { who, what, got, ok } of newOutcomes) {
    printLine(`${ok ? 'ok  ' : 'FAIL'}  ${who}: ${what} -> ${got}`);
  }
};

const runSteps = async (deployment: DemoDeployment): Promise<void> => {
  recordOutcomes([await applyTemplate(deployment, startedProcesses)]);
  for (const runStep of [
    requestWithoutFaults,
    publishAmendmentTwice,
    killEngineDuringStreams,
    killDaemonDuringStreams,
  ]) {
    recordOutcomes(await runStep(deployment));
  }
  recordOutcomes(await stopDeployment(deployment));
};

const runDemo = async (): Promise<void> => {
  try {
    printLine(
      'starting a platform, six engines, three services, three daemons',
    );
    await runSteps(await startDeployment(startedProcesses));
  } catch (error) {
    const got = error instanceof Error ? error.message : String(error);
    recordOutcomes([{ who: 'demo', what: 'run all steps', got, ok: false }]);
  }
  for (const process of startedProcesses)
    if (process.isRunning) await process.kill();
};

await runDemo();
const hasPassed = outcomes.every(outcome => outcome.ok);
if (cli.flags.json) console.log(JSON.stringify({ ok: hasPassed, outcomes }));
else {
  printLine(
    hasPassed ? 'every caller got the complete answer' : 'the demo failed',
  );
  if (!hasPassed) {
    for (const { name, outputLines } of startedProcesses) {
      const lastLines = outputLines
        .slice(-shownLineCount)
        .map(line => `  ${line}`);
      printLine([`last output of ${name}:`, ...lastLines].join('\n'));
    }
  }
}
process.exit(hasPassed ? 0 : 1);
