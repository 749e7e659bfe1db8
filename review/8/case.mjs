/** Runners spoil a few of their answers: the line with the seal is lost. */
import { randomBytes } from 'node:crypto';
import { fileURLToPath } from 'node:url';

import { attempt, createId } from '../lib-2/client.mjs';
import {
  engineService,
  limits,
  plainRoute,
  plainService,
  streamRoute,
} from '../lib-2/configuration.mjs';
import { hasTrouble, runCase } from '../lib-2/run-case.mjs';
import { Runner } from '../lib-2/runner.mjs';
import { pause } from '../lib-2/store.mjs';

const host = 'guide.example';
const zones = ['bog-a', 'bog-b', 'bog-c'];

const requestsPerS = 120;
const playS = 14;
const troubleAtS = 4;
const troubleForS = 5;
/** Share of the answers that are spoiled, at one of the three runners of each service. */
const spoiledShare = 0.05;

const configuration = {
  version: 7,
  routes: [
    plainRoute('rule-read', host, '/rules/', 'manual-api'),
    plainRoute('amendment-publish', host, '/publish/', 'manual-api', {
      kind: 'non_idempotent',
      max_attempts: 1,
    }),
    streamRoute('toponym-lookup', host, '/ask/', 'dictamen'),
  ],
  services: [plainService('manual-api'), engineService('dictamen')],
  limits,
};

const kinds = [
  { method: 'GET', path: '/rules/tilde' },
  { method: 'POST', path: '/publish/tilde', body: 'an amendment' },
  { method: 'POST', path: '/ask/toponym', body: 'how is it spelled?' },
];

const play = async ({ store, nodes, note, heartbeatMs, closers }) => {
  store.put('op', 'config', configuration);
  let isTroubled = false;
  const spoiled = new Set();

  const work = async (runner, request, _body, response) => {
    const id = request.headers['x-medlarlever-attempt-id'];
    const isStream = request.url.startsWith('/ask/');
    await pause(isStream ? 60 : 43);
    const isSpoiled =
      isTroubled && runner.options.isFaulty && Math.random() < spoiledShare;
    if (isSpoiled) {
      spoiled.add(id);
      response.removeHeader('X-Medlarlever-Server-Seal');
    }
    note(
      `${runner.id} runs ${id}${isSpoiled ? ', its answer is spoiled' : ''}`,
    );
    if (!isStream) {
      response.writeHead(200, { 'content-type': 'text/plain' });
      response.end('the entry');
      return;
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    for (let i = 1; i <= 4; i += 1) {
      response.write(`id: ${i}\ndata: ${randomBytes(8).toString('hex')}\n\n`);
      await pause(40);
    }
    response.end();
  };
  const createRunner = (service, i, options) =>
    new Runner({
      store,
      heartbeatMs,
      work,
      id: `${service}-${i + 1}`,
      service,
      zone: zones[i],
      isFaulty: i === 0,
      ...options,
    });
  const runners = zones.flatMap((_, i) => [
    createRunner('manual-api', i, { slots: 6 }),
    createRunner('dictamen', i, { slots: 64, stage: 'decode' }),
  ]);
  for (const runner of runners) await runner.start();
  closers.push(() => {
    for (const runner of runners) runner.crash();
  });
  await nodes.start(store, zones);
  note('all machines are ready');

  const startMs = performance.now();
  const elapsedS = () => (performance.now() - startMs) / 1000;
  const trouble = async () => {
    await pause(troubleAtS * 1000);
    isTroubled = true;
    note('two runners begin to spoil answers');
    await pause(troubleForS * 1000);
    isTroubled = false;
    note('no answer is spoiled any more');
  };
  const troubleEnd = hasTrouble ? trouble() : undefined;
  const sends = [];
  while (elapsedS() < playS) {
    const index = sends.length;
    const id = createId();
    const kind = kinds[index % kinds.length];
    const headers = kind.path.startsWith('/ask/')
      ? {
          'X-Medlarlever-Model': 'm',
          'X-Medlarlever-Token-Count': '1460,80',
          'X-Medlarlever-Prompt-Prefix': `${index % 40}a:350,${createId()}:1110`,
        }
      : {};
    sends.push(
      attempt(nodes.nodes[Math.floor(index / 3) % zones.length], {
        ...kind,
        headers,
        host,
        id,
        deadlineMs: 1000,
      }).then(answer => {
        const seal = answer.headers['x-medlarlever-server-seal'];
        note(
          `${kind.path} ${id}: ${answer.status}, seal ${seal ?? 'none'}, ${answer.whole ? 'whole' : 'broken off'}`,
        );
        return { ...answer, path: kind.path, seal };
      }),
    );
    await pause(
      startMs + (sends.length * 1000) / requestsPerS - performance.now(),
    );
  }
  const answers = await Promise.all(sends);
  await troubleEnd;
  const unsealed = answers.filter(
    ({ status, seal, whole }) =>
      whole && status >= 200 && status < 300 && seal === undefined,
  );
  const byPath = {};
  for (const { path } of unsealed) byPath[path] = (byPath[path] ?? 0) + 1;
  const served = answers.filter(({ status }) => status === 200);
  const summary = `${answers.length} requests, ${served.length} served; ${spoiled.size} answers of runners without a seal; ${unsealed.length} successes without a seal at clients, none allowed: ${JSON.stringify(byPath)}`;
  note(summary);
  console.log(summary);
  return unsealed.length > 0 ? summary : undefined;
};

await runCase(fileURLToPath(new URL('.', import.meta.url)), play);
