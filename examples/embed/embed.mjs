// Embeds two parts of the library in a program of its own: a configuration
// that only moves forward, and a ledger that runs an operation at most once.
import {
  ClaimBudget,
  ConfigurationEditor,
  ConfigurationHolder,
  ConfigurationPoller,
  ConfigurationStore,
  Deadline,
  Ledger,
  LonePeerGroup,
  SilentLog,
} from '@medlarlever/core';
import { MemoryObjectStore, MemoryTable } from '@medlarlever/stand-ins';
import { Right } from 'purify-ts';

// A real program passes HttpTable and HttpObjectStore here.
const table = new MemoryTable();
const objects = new MemoryObjectStore();
const log = new SilentLog();
const random = Math.random;

const store = new ConfigurationStore({ table, objects, random });
const holder = new ConfigurationHolder(log);
const peers = new LonePeerGroup('dc-1');
const poller = new ConfigurationPoller({ store, holder, peers, log, random });
const editor = new ConfigurationEditor({
  table,
  store,
  log,
  random,
  onCommitted: head => poller.publish(head),
});

const applied = await editor.apply({
  operationId: 'first',
  baseRevision: 0,
  templates: { desk: { name: 'desk' } },
});
console.log('applied', applied.unsafeCoerce());
console.log('in force', holder.revision);

const ledger = new Ledger({
  table,
  log,
  random,
  budget: new ClaimBudget({ instances: () => 1 }),
  instance: 'entry-1',
  incarnation: 'entry-1#1',
  isGone: () => false,
});

let executions = 0;
const publish = () => {
  executions += 1;
  const body = JSON.stringify({ amendment: executions });
  return Promise.resolve(
    Right({ status: 200, contentType: 'application/json', body }),
  );
};
const entry = () => ({
  name: {
    customer: 'desk',
    service: 'style-guide',
    operation: 'publish',
    key: 'amendment-7',
  },
  body: '{}',
  deadline: Deadline.after(5_000),
  retentionMs: 3_600_000,
  claimsPerMinute: 60,
});
const never = new AbortController().signal;
const first = (await ledger.execute(entry(), publish, never)).unsafeCoerce();
const again = (await ledger.execute(entry(), publish, never)).unsafeCoerce();
console.log('answers', first.body, again.body, 'executions', executions);
process.exit(executions === 1 && first.body === again.body ? 0 : 1);
