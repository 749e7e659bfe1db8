/**
 * Stand-in of a runner, a process of its own. It speaks as the pages say: it runs `slots`
 * requests at once and queues the others, repeats the attempt id, seals its answers, drops a
 * request whose connection closes, and refuses what is for another runner. What happens is
 * told to the parent, one message each. The options are in the first argument, as JSON:
 *
 * - `id`, `service`, `born`, `slots`, `port`
 * - `workMs`: time of a plain request; `pauseMs`, `events`: the events of a stream
 * - `firstMs`: time to the first event
 * - `framing`: `chunked`, or `none` for answers that end with their connection
 * - `crashPart`: a part of prompts that ends this process once it has begun an answer
 * - `crashCaller`: a caller (header `X-Caller`) whose request ends this process
 * - `errorEvery`: every n-th stream with `errorPart` in its prompt is answered with status 500
 */
import { createServer } from 'node:http';

const options = JSON.parse(process.argv[2]);
const {
  id,
  born,
  slots = 6,
  port,
  workMs = 40,
  firstMs = 60,
  pauseMs = 40,
  events = 6,
  framing = 'chunked',
  version = 'v1',
  crashPart,
  crashCaller,
  errorEvery = 0,
  errorPart,
} = options;

const tell = message => {
  process.send?.({ ...message, atMs: Date.now() });
};

let runningCount = 0;
let runCount = 0;
let errorCount = 0;
const queue = [];

const startNext = () => {
  while (runningCount < slots && queue.length > 0) {
    const job = queue.shift();
    if (job.isGone()) continue;
    runningCount += 1;
    job.run().finally(() => {
      runningCount -= 1;
      startNext();
    });
  }
};

const sleep = ms =>
  new Promise(resolve => {
    setTimeout(resolve, ms);
  });

/** Ends this process without a word; the kernel closes its connections. */
const crash = attempt => {
  tell({ kind: 'crash', attempt });
  process.kill(process.pid, 'SIGKILL');
};

const getParts = headers =>
  (headers['x-medlarlever-prompt-prefix'] ?? '')
    .split(',')
    .map(entry => entry.split(':')[0])
    .filter(part => part !== '');

const sendStream = async (request, response, attempt, seal) => {
  const { headers } = request;
  const first = Number(headers['last-event-id'] ?? 0) + 1;
  const parts = getParts(headers);
  await sleep(firstMs);
  if (response.destroyed) return;
  const head = {
    'content-type': 'text/event-stream',
    'x-medlarlever-attempt-id': attempt,
    'x-medlarlever-server-seal': seal,
  };
  if (framing === 'none') {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, head);
  for (let event = first; event <= events; event += 1) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${version} ${attempt}\n\n`);
    if (crashPart !== undefined && parts.includes(crashPart)) {
      // The event has left the process before it ends.
      await sleep(20);
      crash(attempt);
      await sleep(1_000);
    }
    await sleep(pauseMs);
  }
  response.end();
  tell({ kind: 'end', attempt, status: 200 });
};

const run = async (request, response, attempt) => {
  runCount += 1;
  const seal = `${id}.${runCount}`;
  const { headers } = request;
  const isStream = headers['x-medlarlever-token-count'] !== undefined;
  const parts = getParts(headers);
  if (isStream && errorEvery > 0 && parts.includes(errorPart)) {
    errorCount += 1;
    if (errorCount % errorEvery === 0) {
      tell({ kind: 'error', attempt });
      response.writeHead(500, {
        'content-type': 'text/plain',
        'x-medlarlever-attempt-id': attempt,
        'x-medlarlever-server-seal': seal,
      });
      response.end('internal error');
      return;
    }
  }
  tell({ kind: 'run', attempt });
  if (isStream) {
    await sendStream(request, response, attempt, seal);
    return;
  }
  if (crashCaller !== undefined && headers['x-caller'] === crashCaller) {
    crash(attempt);
    await sleep(1_000);
  }
  await sleep(workMs);
  if (response.destroyed) return;
  response.writeHead(200, {
    'content-type': 'text/plain',
    'x-medlarlever-attempt-id': attempt,
    'x-medlarlever-server-seal': seal,
  });
  response.end(`answer to ${attempt}`);
  tell({ kind: 'end', attempt, status: 200 });
};

const sendJson = (response, status, body, headers = {}) => {
  response.writeHead(status, {
    'content-type': 'application/json',
    ...headers,
  });
  response.end(JSON.stringify(body));
};

const server = createServer(async (request, response) => {
  const { headers, url } = request;
  const expected = headers['x-medlarlever-expect-instance'];
  const chunks = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
  } catch {
    return;
  }
  if (expected !== undefined && expected !== id) {
    sendJson(response, 421, {}, { 'x-medlarlever-instance-id': id });
    return;
  }
  if (url === '/api/report') {
    sendJson(response, 200, {
      stage: 'decode',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
      sequence: 0,
      queued: queue.length,
      running: runningCount,
      kv_used: 0,
      kv_total: 400_000,
      handles: 0,
      born,
    });
    return;
  }
  if (url === '/api/kv-list') {
    sendJson(response, 200, { epoch: 1, next: 1, held: [], born });
    return;
  }
  const attempt = headers['x-medlarlever-attempt-id'];
  if (attempt === undefined) {
    sendJson(response, 400, {}, { 'x-medlarlever-not-executed': '1' });
    return;
  }
  const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  tell({ kind: 'arrival', attempt, url, length });
  queue.push({
    isGone: () => response.destroyed,
    run: () => run(request, response, attempt),
  });
  startNext();
});
server.keepAliveTimeout = 20_000;
server.listen(port, '127.0.0.1', () => {
  tell({ kind: 'listening' });
});
process.on('disconnect', () => {
  process.exit(0);
});
