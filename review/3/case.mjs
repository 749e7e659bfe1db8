/**
 * An instance gets SIGTERM while clients go on to send long streams over connections that
 * they keep. It accepts some that it can't complete and ends in the middle of them.
 */
import http from 'node:http';

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
/** Connections that clients keep to the instance. */
const connectionCount = 160;
const sendIntervalMs = 40;
/** Clients send for so long, with the SIGTERM after the first part. */
const beforeMs = 3_000;
const afterMs = 4_000;
/** Timeout of the route, and the clients' deadline. */
const timeoutMs = 6_000;
const pieceCount = 50;
const pieceGapMs = 90;
/** The rule excuses only requests that were sent no later than this after the SIGTERM. */
const excusedMs = 3_000;

await runCase(import.meta.url, async record => {
  const store = new Store();
  const register = runner =>
    store.put('servers', runner.id, runner.registration);
  for (const [i, zone] of zones.entries()) {
    const engine = await new Runner({
      ...{ id: `e-${i}`, service: 'lm', zone, slots: 64, stage: 'decode' },
      run: async (self, request, response) => {
        const id = request.headers['x-medlarlever-attempt-id'];
        record.write('engine', self.id, 'runs', id);
        response.writeHead(200, {
          ...self.createHeaders(request),
          'content-type': 'text/event-stream',
        });
        for (let piece = 1; piece <= pieceCount; piece += 1) {
          await sleep(pieceGapMs);
          if (response.destroyed) {
            record.write('engine', self.id, 'is cut off in', id);
            return;
          }
          response.write(`id: ${piece}\ndata: piece ${piece}\n\n`);
        }
        response.end();
      },
    }).start();
    register(engine);
    const plain = await new Runner({
      ...{ id: `p-${i}`, service: 'app', zone, slots: 64 },
      run: async (self, request, response) => {
        await sleep(500);
        self.answer(request, response, 'entry');
      },
    }).start();
    register(plain);
  }
  const routes = [
    createRoute('/ask/', 'streaming', 'lm', {
      ...{ resumable: false, max_attempts: 1, session_affinity: true },
      ...{ timeout_ms: timeoutMs, target_latency_ms: 800 },
      target_gap_ms: 400,
    }),
    createRoute('/guide/', 'idempotent', 'app'),
  ];
  const services = [engineService('lm'), plainService('app')];
  store.put('op', 'config', createConfiguration(7, routes, services));
  const system = new System({ store, zones });
  await system.start();
  await sleep(4_000);

  const [instance] = system.instances;
  const agent = new http.Agent({
    keepAlive: true,
    maxSockets: connectionCount,
    maxFreeSockets: connectionCount,
    scheduling: 'lifo',
  });
  const opened = await Promise.all(
    Array.from({ length: connectionCount }, () => {
      const id = createAttemptId();
      return send(instance, { path: `/guide/${id}`, id, agent });
    }),
  );
  const statuses = new Set(opened.map(({ status }) => status));
  record.write('connections opened by reads with', [...statuses].join(' '));

  const streams = [];
  const sendFor = async ms => {
    const untilMs = performance.now() + ms;
    while (performance.now() < untilMs) {
      const id = createAttemptId();
      streams.push(
        send(instance, {
          ...{ path: '/ask/title', method: 'POST', body: Buffer.from('q') },
          ...{ id, agent },
          headers: {
            'x-medlarlever-deadline-ms': String(timeoutMs),
            'x-medlarlever-model': 'm',
            'x-medlarlever-token-count': '146,80',
            'x-medlarlever-prompt-prefix': `aa:80,${id}:66`,
          },
        }),
      );
      await sleep(sendIntervalMs);
    }
  };
  await sendFor(beforeMs);
  const termS = elapsedS();
  if (isTroubled) {
    instance.child.kill('SIGTERM');
    record.write('SIGTERM to', instance.name);
  }
  await sendFor(afterMs);
  let lostCount = 0;
  const results = await Promise.all(streams);
  for (const result of results) {
    const { id, status, error, isComplete, text, sentS, endedS } = result;
    const tookMs = (endedS - sentS) * 1_000;
    const sentAfterMs = (sentS - termS) * 1_000;
    const pieces = text.split('\n\n').length - 1;
    record.write(
      ...['stream', id, 'sent', Math.round(sentAfterMs), 'ms after SIGTERM:'],
      ...[status ?? error, isComplete ? 'complete' : 'incomplete', pieces],
      ...['pieces after', Math.round(tookMs), 'ms'],
    );
    const isCut = status === 200 && !isComplete && tookMs < timeoutMs;
    if (isCut && sentAfterMs > excusedMs) lostCount += 1;
  }
  record.write('processes that ended:', JSON.stringify(system.exits));
  record.write('streams cut that were sent later than 3 s:', lostCount);
  agent.destroy();
  return lostCount > 0;
});
