/** One process is killed while it passes on streams that end with their connection. */
import { fileURLToPath } from 'node:url';

import { attempt, createId } from '../lib-2/client.mjs';
import { engineService, limits, streamRoute } from '../lib-2/configuration.mjs';
import { hasTrouble, runCase } from '../lib-2/run-case.mjs';
import { Runner } from '../lib-2/runner.mjs';
import { pause } from '../lib-2/store.mjs';

const host = 'guide.example';
const zones = ['bog-a', 'bog-b', 'bog-c'];

const streamsPerS = 30;
const eventCount = 13;
const gapMs = 100;
const playS = 10;
const killAtS = 5;

const configuration = {
  version: 7,
  routes: [streamRoute('toponym-lookup', host, '/ask/', 'dictamen')],
  services: [engineService('dictamen')],
  limits,
};

const play = async ({ store, nodes, note, heartbeatMs, closers }) => {
  store.put('op', 'config', configuration);
  const ended = new Set();
  /** A stream with neither a length nor chunks, which ends with its connection. */
  const work = async (runner, request, _body, response) => {
    const id = request.headers['x-medlarlever-attempt-id'];
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      connection: 'close',
    });
    let event = Number(request.headers['last-event-id'] ?? 0);
    await pause(30);
    while (event < eventCount && !response.destroyed) {
      event += 1;
      response.write(`id: ${event}\ndata: a few tokens\n\n`);
      await pause(gapMs);
    }
    if (event === eventCount) ended.add(id);
    note(`${runner.id} ends ${id} after event ${event}`);
    response.end();
  };
  const runners = zones.map(
    (zone, i) =>
      new Runner({
        store,
        heartbeatMs,
        work,
        id: `dictamen-${i + 1}`,
        service: 'dictamen',
        zone,
        slots: 64,
        stage: 'decode',
      }),
  );
  for (const runner of runners) await runner.start();
  closers.push(() => {
    for (const runner of runners) runner.crash();
  });
  await nodes.start(store, zones);
  note('all machines are ready');

  const startMs = performance.now();
  const elapsedS = () => (performance.now() - startMs) / 1000;
  const trouble = async () => {
    await pause(killAtS * 1000);
    const [node] = nodes.nodes;
    node.child.kill('SIGKILL');
    note(`the process of ${node.name} is killed`);
    await pause(500);
    nodes.spawn(node);
    note('it is started again');
  };
  const troubleEnd = hasTrouble ? trouble() : undefined;
  const sends = [];
  while (elapsedS() < playS) {
    const index = sends.length;
    const id = createId();
    const node = nodes.nodes[index % zones.length];
    sends.push(
      attempt(node, {
        method: 'POST',
        path: '/ask/toponym',
        body: 'how is it spelled?',
        host,
        id,
        deadlineMs: 5000,
        headers: {
          'X-Medlarlever-Model': 'm',
          'X-Medlarlever-Token-Count': '1460,80',
          'X-Medlarlever-Prompt-Prefix': `${index % 40}a:350,${createId()}:1110`,
        },
      }).then(answer => {
        const events = [...answer.body.matchAll(/^id: (\d+)$/gm)].length;
        const isInsideEvent =
          answer.body !== '' && !answer.body.endsWith('\n\n');
        const { 'content-length': length, 'transfer-encoding': coding } =
          answer.headers;
        const end = answer.whole ? 'as complete' : 'broken off';
        note(
          `${id} at ${node.name}: ${answer.status} ${answer.error ?? ''}, length ${length ?? 'none'}, coding ${coding ?? 'none'}, ${events} events, ends ${end}`,
        );
        return { ...answer, events, isInsideEvent };
      }),
    );
    await pause(
      startMs + (sends.length * 1000) / streamsPerS - performance.now(),
    );
  }
  const answers = await Promise.all(sends);
  await troubleEnd;
  const whole = answers.filter(({ events }) => events === eventCount);
  const cut = answers.filter(
    ({ status, whole: isComplete, events, isInsideEvent }) =>
      status === 200 && isComplete && !isInsideEvent && events < eventCount,
  );
  const broken = answers.filter(
    ({ status, whole: isComplete }) => status === 200 && !isComplete,
  );
  const summary = `${answers.length} streams, ${whole.length} whole, ${broken.length} seen to be broken off; ${cut.length} end as complete before their last event, none allowed`;
  note(summary);
  console.log(summary);
  return cut.length > 0 ? summary : undefined;
};

await runCase(fileURLToPath(new URL('.', import.meta.url)), play);
