// Judges a TAP report: fails on any failing test that KNOWN-RED.txt does not
// list and prints those that it does. Usage: judge-tests.mjs TAP KNOWN-RED
import { readFileSync } from 'node:fs';

const [tapFile, knownFile] = process.argv.slice(2);
const tap = readFileSync(tapFile, 'utf8').split('\n');
const known = new Set(
  readFileSync(knownFile, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim()),
);

const titleOf = line => line.replace(/^(not )?ok \d+ - /, '').trim();
const isKnown = title =>
  [...known].some(name => title === name || title.endsWith(` › ${name}`));

const passed = tap.filter(line => /^ok \d+/.test(line)).map(titleOf);
const failures = tap.filter(line => /^not ok \d+/.test(line)).map(titleOf);
const red = failures.filter(isKnown);
const unexpected = failures.filter(title => !isKnown(title));
const finished = tap.some(line => /^1\.\.\d+/.test(line));

for (const title of red) console.log(`known red: ${title}`);
for (const title of unexpected) console.log(`failed: ${title}`);
if (unexpected.length > 0) console.log(tap.join('\n'));
if (!finished || passed.length === 0) console.log('the test run is incomplete');

const failed = unexpected.length + (finished && passed.length > 0 ? 0 : 1);
console.log(`${passed.length} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
