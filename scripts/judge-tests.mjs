// Checks a TAP report: fails on each failing test that KNOWN-RED.txt does not
// list and prints the listed ones. Usage: judge-tests.mjs TAP KNOWN-RED
import { readFileSync } from 'node:fs';

/** Runs of ava that `npm test` consists of. */
const expectedRunCount = 2;

const [tapFile, knownFile] = process.argv.slice(2);
const tapLines = readFileSync(tapFile, 'utf8').split('\n');
const knownTitles = new Set(
  readFileSync(knownFile, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim()),
);

const getTitle = line => line.replace(/^(not )?ok \d+ - /, '').trim();
const isKnown = title =>
  [...knownTitles].some(name => title === name || title.endsWith(` › ${name}`));

const passedTitles = tapLines
  .filter(line => /^ok \d+/.test(line))
  .map(getTitle);
const failures = tapLines
  .filter(line => /^not ok \d+/.test(line))
  .map(getTitle);
const knownFailures = failures.filter(isKnown);
const unexpectedFailures = failures.filter(title => !isKnown(title));
// The report holds one run after the other, each with its plan at its end.
const runCount = tapLines.filter(line => /^TAP version/.test(line)).length;
const planCount = tapLines.filter(line => /^1\.\.\d+/.test(line)).length;
const isFinished = runCount === expectedRunCount && planCount === runCount;

for (const title of knownFailures) console.log(`known red: ${title}`);
for (const title of unexpectedFailures) console.log(`failed: ${title}`);
if (unexpectedFailures.length > 0) console.log(tapLines.join('\n'));
if (!isFinished || passedTitles.length === 0)
  console.log('the test run is incomplete');

const failedCount =
  unexpectedFailures.length + (isFinished && passedTitles.length > 0 ? 0 : 1);
console.log(`${passedTitles.length} passed, ${failedCount} failed`);
process.exitCode = failedCount === 0 ? 0 : 1;
