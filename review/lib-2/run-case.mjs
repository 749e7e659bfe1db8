/** Frame of a script case: record, exit code, and the end of all processes. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { Nodes } from './nodes.mjs';
import { Store } from './store.mjs';

export const hasTrouble = process.env.TROUBLE !== '0';

const heartbeatMs = 1200;
const maxSeconds = 110;

/**
 * Runs `play`, which gets the store, the machines and a function that notes a line, and
 * returns why the rule was broken, or undefined. Ends the process with the exit code.
 */
export const runCase = async (folder, play) => {
  const lines = [];
  const startMs = performance.now();
  const note = line => {
    const atS = ((performance.now() - startMs) / 1000).toFixed(3);
    lines.push(`${atS.padStart(8)} ${line}`);
  };
  const store = await new Store(heartbeatMs).listen();
  const nodes = new Nodes();
  const closers = [];
  let code = 2;
  const guard = setTimeout(() => {
    note('the case took too long');
    void end();
  }, maxSeconds * 1000);
  const end = async () => {
    clearTimeout(guard);
    await nodes.stop();
    for (const close of closers) close();
    store.close();
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.exit(code);
  };
  try {
    const breach = await play({ store, nodes, note, heartbeatMs, closers });
    code = breach === undefined ? 0 : 1;
    const verdict = breach === undefined ? 'held' : `broken: ${breach}`;
    note(`verdict: ${verdict}`);
    console.log(verdict);
  } catch (error) {
    note(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  await end();
};
