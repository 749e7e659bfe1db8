/**
 * Command line of `medlarlever-stand-in`: runs one simulated platform, engine
 * or service as a process.
 */
import { randomUUID } from 'node:crypto';

import { parseModelKey, engineRoleSchema } from '@medlarlever/core';
import type { FastifyInstance } from 'fastify';
import meow from 'meow';

import { EngineSimulator } from './engine/engine-simulator.js';
import {
  importCacheOverHttp,
  createHttpWeightLoader,
} from './engine/http-dependencies.js';
import { createEngineServer } from './engine/engine-server.js';
import {
  createPlatform,
  createPlatformServer,
} from './platform/platform-server.js';
import { ServiceSimulator } from './service/service-simulator.js';
import { createServiceServer } from './service/service-server.js';
import { listen } from './shared/fake-server.js';

const cli = meow(
  `
  Usage: medlarlever-stand-in platform|engine|service [flags]

  Prints one line of JSON with its address when it accepts connections.

  --host IP, --port N        address to listen on; port 0 picks a free port
  --name NAME                name of the engine or service instance
  platform:
  --fleet-lag-ms N           delay after which the fleet list shows a change
  --weight-bytes N, --weight-rate N   bytes of a model, bytes per second
  engine:
  --role mixed|prefill|decode
  --model NAME@VERSION[+ADAPTER]      repeatable
  --slots N, --prefill-rate N, --decode-ms N, --cache-pieces N
  --load-lag-ms N, --cache-lag-ms N, --cache-gap-every N, --role-change-ms N
  --no-checks-fencing        accepts commands with any fencing token
  --weights URL              loads weights from this platform
  service:
  --service NAME             name of the service
`,
  {
    importMeta: import.meta,
    flags: {
      host: { type: 'string', default: '127.0.0.1' },
      port: { type: 'number', default: 0 },
      name: { type: 'string', default: 'stand-in' },
      fleetLagMs: { type: 'number', default: 1_000 },
      weightBytes: { type: 'number', default: 4 * 1024 * 1024 },
      weightRate: { type: 'number', default: 16 * 1024 * 1024 },
      role: { type: 'string', default: 'mixed' },
      model: { type: 'string', isMultiple: true, default: ['style-base@1'] },
      slots: { type: 'number' },
      prefillRate: { type: 'number' },
      decodeMs: { type: 'number' },
      cachePieces: { type: 'number' },
      loadLagMs: { type: 'number' },
      cacheLagMs: { type: 'number' },
      cacheGapEvery: { type: 'number' },
      roleChangeMs: { type: 'number' },
      checksFencing: { type: 'boolean', default: true },
      weights: { type: 'string' },
      service: { type: 'string', default: 'booking' },
    },
  },
);
const { flags } = cli;

/**
 * Kills this process at once, so that a simulated crash closes no connection
 * properly.
 */
const killProcess = () => {
  process.kill(process.pid, 'SIGKILL');
};

const createEngineApp = (): FastifyInstance => {
  const { weights } = flags;
  const simulator = new EngineSimulator(
    {
      ...flags,
      role: engineRoleSchema.parse(flags.role),
      models: flags.model.flatMap(key => parseModelKey(key).toList()),
      prefillTokensPerSecond: flags.prefillRate,
    },
    {
      importCache: importCacheOverHttp,
      loadWeights:
        weights === undefined ? undefined : createHttpWeightLoader(weights),
      onCrash: killProcess,
    },
  );
  return createEngineServer(simulator);
};

const appFactories: Record<string, () => FastifyInstance> = {
  engine: createEngineApp,
  platform: () =>
    createPlatformServer(
      createPlatform({
        fleetLagMs: flags.fleetLagMs,
        weightBytes: flags.weightBytes,
        weightBytesPerSecond: flags.weightRate,
      }),
    ),
  service: () =>
    createServiceServer(new ServiceSimulator(flags.service, killProcess)),
};

const kind = cli.input[0] ?? '';
const createApp = appFactories[kind];
if (createApp === undefined) {
  cli.showHelp(2);
} else {
  const app = createApp();
  const address = await listen(app, flags.host, flags.port);
  const { name, service } = flags;
  const incarnation = `${name}-${randomUUID()}`;
  console.log(JSON.stringify({ kind, name, address, incarnation, service }));
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      void app.close().then(() => process.exit(0));
    });
  }
}
