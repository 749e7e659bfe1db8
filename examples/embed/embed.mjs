// Embeds two components of the library in a program: a configuration whose
// revision never goes back, and an executor that runs an operation at most
// once per idempotency key.
import {
  IdempotencyRateLimiter,
  ConfigurationEditor,
  ConfigurationHolder,
  ConfigurationPoller,
  ConfigurationStore,
  Deadline,
  IdempotentExecutor,
  EmptyPeerGroup,
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
const peers = new EmptyPeerGroup('dc-1');
const poller = new ConfigurationPoller({ store, holder, peers, log, random });
const editor = new ConfigurationEditor({
  table,
  store,
  log,
  random,
  onCommitted: head => poller.publish(head),
});

const applyResult = await editor.apply({
  operationId: 'first',
  baseRevision: 0,
  templates: { desk: { name: 'desk' } },
});
console.log('applied', applyResult.unsafeCoerce());
console.log('in force', holder.revision);

const executor = new IdempotentExecutor({
  table,
  log,
  random,
  rateLimiter: new IdempotencyRateLimiter({ countInstances: () => 1 }),
  instance: 'entry-1',
  incarnation: 'entry-1#1',
  isGone: () => false,
});

let executions = 0;
const publishAmendment = () => {
  executions += 1;
  const body = JSON.stringify({ amendment: executions });
  return Promise.resolve(
    Right({ status: 200, contentType: 'application/json', body }),
  );
};
const createRequest = () => ({
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
const neverAborted = new AbortController().signal;
const first = (
  await executor.execute(createRequest(), publishAmendment, neverAborted)
).unsafeCoerce();
const repeated = (
  await executor.execute(createRequest(), publishAmendment, neverAborted)
).unsafeCoerce();
console.log('answers', first.body, repeated.body, 'executions', executions);
process.exit(executions === 1 && first.body === repeated.body ? 0 : 1);
