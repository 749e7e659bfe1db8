/** Command line of `npm run standstills`: processes that stand still, judged by their logs. */
import { spawn } from 'node:child_process';

import meow from 'meow';

import { judgeStandstills } from './standstill-judge.js';
import type { StandstillCase } from './standstill-judge.js';
import type { CallerAttempt, StandstillsByName } from './standstill-record.js';
import { runStandstills } from './standstill-run.js';

const cli = meow(
  `
  Usage: npm run standstills -- [--seed N] [--seeds COUNT] [--seconds S]
           [--instances I] [--callers C] [--busy B] [--no-hold] [--log]

  --seed       first seed (1)
  --seeds      number of consecutive seeds (1)
  --seconds    length of the period with faults (25)
  --instances, --callers, --engines  numbers of instances, callers, and engines
               that decode for each of the two services (7, 40 and 3)
  --retries    retries that the budget allows in each window (50)
  --busy       busy processes beside the run (0)
  --no-hold    only targets stand still, no instances
  --log        prints the log lines of each case
  Exits 1 if a rule is broken.
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      seeds: { type: 'number', default: 1 },
      seconds: { type: 'number', default: 25 },
      instances: { type: 'number', default: 7 },
      callers: { type: 'number', default: 40 },
      engines: { type: 'number', default: 3 },
      retries: { type: 'number', default: 50 },
      busy: { type: 'number', default: 0 },
      hold: { type: 'boolean', default: true },
      log: { type: 'boolean', default: false },
    },
  },
);
const { flags } = cli;

/** Log lines of one case that are printed. */
const maxLogLines = 12;

const startBusyProcess = () => {
  const child = spawn(process.execPath, ['-e', 'for (;;);'], {
    stdio: 'ignore',
  });
  process.once('exit', () => child.kill('SIGKILL'));
  return child;
};

const countBy = <T>(
  items: readonly T[],
  getKey: (item: T) => string,
): string => {
  const counts = new Map<string, number>();
  for (const item of items) {
    const key = getKey(item);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, count]) => `${key} ${count}`)
    .join(', ');
};

/** Events of instances that are counted for each run. */
const countedEvents: ReadonlySet<string> = new Set([
  'attempt_failed',
  'request_resent',
  'target_link_down',
  'target_link_up',
]);

const countEvents = (lines: readonly string[]): string =>
  countBy(
    lines
      .map(line => /"name":"([a-z_]+)"/.exec(line)?.[1] ?? '')
      .filter(name => countedEvents.has(name)),
    name => name,
  );

/** A busy machine makes silences longer than they were planned. */
const describeSilences = (standstills: StandstillsByName): string => {
  const lengthsMs = [...standstills.values()]
    .flat()
    .map(({ fromMs, toMs }) => toMs - fromMs);
  const longestMs = Math.round(Math.max(0, ...lengthsMs));
  return `${lengthsMs.length} of targets, the longest ${longestMs} ms`;
};

/** The time that the caller gave has passed. */
const isOverdue = ({ sentAtMs, endedAtMs, deadlineMs }: CallerAttempt) =>
  endedAtMs - sentAtMs >= deadlineMs;

const describeEnd = (attempt: CallerAttempt): string => {
  const { status, isWhole } = attempt;
  if (isWhole && status !== 0) return String(status);
  const end = status === 0 ? 'no answer' : `${status} cut`;
  return isOverdue(attempt) ? `${end} in time` : `${end} early`;
};

const printCase = (
  { rule, attempt, text, isInstanceHeld }: StandstillCase,
  logLines: readonly string[],
): void => {
  const { kind, instance, manner } = attempt;
  const held = isInstanceHeld ? ', held' : '';
  console.log(
    `  ${rule}: ${attempt.attempt} (${kind}, ${manner}) at ${instance}${held}: ${text}`,
  );
  if (!flags.log) return;
  const lines = logLines.filter(line => line.includes(`"${attempt.attempt}"`));
  for (const line of lines.slice(0, maxLogLines)) console.log(`    ${line}`);
};

let failedCount = 0;
process.setMaxListeners(0);
const busyProcesses = Array.from({ length: flags.busy }, startBusyProcess);
for (let seed = flags.seed; seed < flags.seed + flags.seeds; seed += 1) {
  const { record, logLinesByInstance } = await runStandstills({
    seed,
    seconds: flags.seconds,
    instanceCount: flags.instances,
    callerCount: flags.callers,
    decodeEnginesPerService: flags.engines,
    retryAllowance: flags.retries,
    holdsInstances: flags.hold,
  });
  const cases = judgeStandstills(record);
  if (cases.length > 0) failedCount += 1;
  const total = `${record.attempts.length} requests, ${record.runs.length} runs`;
  const rules = countBy(
    cases,
    ({ rule, isInstanceHeld }) => rule + (isInstanceHeld ? ' (held)' : ''),
  );
  console.log(`seed ${seed}: ${total}; ${rules || 'no rule broken'}`);
  console.log(`  ends: ${countBy(record.attempts, describeEnd)}`);
  console.log(`  silences: ${describeSilences(record.targetStandstills)}`);
  const logLines = [...logLinesByInstance.values()].flat();
  console.log(`  events: ${countEvents(logLines)}`);
  for (const each of cases)
    printCase(each, logLinesByInstance.get(each.attempt.instance) ?? []);
}
for (const child of busyProcesses) child.kill('SIGKILL');
console.log(`${flags.seeds - failedCount} passed, ${failedCount} failed`);
process.exit(failedCount === 0 ? 0 : 1);
