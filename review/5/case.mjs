/**
 * One answer of a model runner has a body without end, in small chunks and without an end of
 * an event. The instance that reads it does nothing else for seconds.
 */
import {
  Runner,
  Store,
  System,
  createAttemptId,
  createConfiguration,
  createRoute,
  elapsedS,
  engineService,
  isTroubled,
  plainService,
  runCase,
  send,
  sleep,
} from '../lib/kit.mjs';

const zones = ['a', 'b', 'c'];
const readTimeoutMs = 1_000;
const readIntervalMs = 50;
const streamTimeoutMs = 6_000;
/** A final answer is due this long after the route's timeout. */
const graceMs = 500;
/** The rule is broken by so many requests, if they are over a quarter. */
const minLateCount = 8;
const minLateShare = 0.25;

/** Chunks of one byte each, as an unbuffered writer makes them. */
const endlessChunks = Buffer.from('1\r\nx\r\n'.repeat(2_000));

/** Sends bytes until the caller closes. */
const sendWithoutEnd = async ({ socket }) => {
  let sentBytes = 0;
  while (!socket.destroyed) {
    sentBytes += endlessChunks.length;
    const isWritable = socket.write(endlessChunks);
    if (isWritable) await sleep(1);
    else
      await new Promise(resolve => {
        socket.once('drain', resolve);
        socket.once('close', resolve);
      });
  }
  return sentBytes;
};

await runCase(import.meta.url, async record => {
  const store = new Store();
  let badAnswers = isTroubled ? 1 : 0;
  const register = runner =>
    store.put('servers', runner.id, runner.registration);
  for (const [i, zone] of zones.entries()) {
    const engine = await new Runner({
      ...{ id: `e-${i}`, service: 'lm', zone, slots: 64, stage: 'decode' },
      run: async (self, request, response) => {
        const id = request.headers['x-medlarlever-attempt-id'];
        record.write('engine', self.id, 'runs', id);
        await sleep(50);
        response.writeHead(200, {
          ...self.createHeaders(request),
          'content-type': 'text/event-stream',
        });
        if (badAnswers > 0) {
          badAnswers -= 1;
          response.flushHeaders();
          record.write('engine', self.id, 'begins bytes without end for', id);
          const sentBytes = await sendWithoutEnd(response);
          record.write('engine', self.id, 'was closed after', sentBytes);
          return;
        }
        for (let event = 1; event <= 5; event += 1) {
          response.write(`id: ${event}\ndata: piece ${event}\n\n`);
          await sleep(20);
        }
        response.end();
      },
    }).start();
    register(engine);
    const plain = await new Runner({
      ...{ id: `p-${i}`, service: 'app', zone },
      run: async (self, request, response) => {
        await sleep(40);
        if (!response.destroyed) self.answer(request, response, 'entry');
      },
    }).start();
    register(plain);
  }
  const routes = [
    createRoute('/ask/', 'streaming', 'lm', {
      ...{ resumable: true, max_attempts: 1, session_affinity: true },
      ...{ timeout_ms: streamTimeoutMs, target_latency_ms: 800 },
      target_gap_ms: 400,
    }),
    createRoute('/guide/', 'idempotent', 'app', { timeout_ms: readTimeoutMs }),
  ];
  const services = [engineService('lm'), plainService('app')];
  store.put('op', 'config', createConfiguration(7, routes, services));
  const system = new System({ store, zones });
  await system.start();
  await sleep(4_000);

  const [instance] = system.instances;
  const reads = [];
  let isOver = false;
  const readAtIntervals = async () => {
    while (!isOver) {
      const id = createAttemptId();
      reads.push(
        send(instance, {
          ...{ path: `/guide/${id}`, id, timeoutMs: 20_000 },
          headers: { 'x-medlarlever-deadline-ms': String(readTimeoutMs) },
        }),
      );
      await sleep(readIntervalMs);
    }
  };
  const reading = readAtIntervals();
  await sleep(1_000);
  const id = createAttemptId();
  record.write('client asks', id);
  const stream = await send(instance, {
    ...{ path: '/ask/title', method: 'POST', body: Buffer.from('q'), id },
    timeoutMs: 20_000,
    headers: {
      'x-medlarlever-deadline-ms': String(streamTimeoutMs),
      'x-medlarlever-model': 'm',
      'x-medlarlever-token-count': '1460,80',
      'x-medlarlever-prompt-prefix': 'aa:800,bb:660',
    },
  });
  record.write('client got for', id, stream.status ?? stream.error);
  await sleep(2_000);
  isOver = true;
  await reading;
  let longCount = 0;
  let lateCount = 0;
  for (const { id: readId, status, error, sentS, endedS } of await Promise.all(
    reads,
  )) {
    const tookMs = (endedS - sentS) * 1_000;
    record.write(
      ...['read', readId, 'sent at', sentS.toFixed(3), status ?? error],
      ...['after', Math.round(tookMs), 'ms'],
    );
    if (tookMs > readTimeoutMs) longCount += 1;
    if (tookMs > readTimeoutMs + graceMs) lateCount += 1;
  }
  record.write(
    ...['longer than the timeout:', longCount, 'and without a final answer'],
    ...[`${graceMs} ms later:`, lateCount, 'at', elapsedS().toFixed(1), 's'],
  );
  return lateCount >= minLateCount && lateCount > longCount * minLateShare;
});
