/**
 * Serves the simulated table, object store, weight store and fleet list at one
 * address.
 */
import { Readable } from 'node:stream';

import { Failure, fleetMemberSchema, toTargetGroups } from '@medlarlever/core';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { z } from 'zod';

import {
  createFakeServer,
  holdUntilDisconnect,
} from '../shared/fake-server.js';

import { MemoryFleetList } from './memory-fleet-list.js';
import { MemoryObjectStore } from './memory-object-store.js';
import { MemoryTable } from './memory-table.js';
import { addTableRoutes } from './table-routes.js';
import { WeightStore } from './weight-store.js';

/** Delay of the fleet list, and size and total read rate of the weights. */
export interface PlatformOptions {
  readonly fleetLagMs: number;
  readonly weightBytes: number;
  readonly weightBytesPerSecond: number;
}

/** The parts of the simulated platform. */
export interface Platform {
  readonly table: MemoryTable;
  readonly objects: MemoryObjectStore;
  readonly fleet: MemoryFleetList;
  readonly weights: WeightStore;
}

const storeFaultFields = {
  down: z.boolean(),
  slowMs: z.number().nonnegative(),
  loseAnswers: z.number().int().nonnegative(),
};

/** Body of `POST /faults`; omitted faults stay as they are. */
const platformFaultsSchema = z
  .object({
    table: z
      .object({
        ...storeFaultFields,
        delayEffects: z.number().int().nonnegative(),
        delayMs: z.number().nonnegative(),
      })
      .partial()
      .strict(),
    objects: z.object(storeFaultFields).partial().strict(),
    fleet: z
      .object({
        down: z.boolean(),
        slowMs: z.number().nonnegative(),
        lagMs: z.number().nonnegative(),
      })
      .partial()
      .strict(),
  })
  .partial()
  .strict();

/** Creates an empty platform without faults. */
export const createPlatform = (options: PlatformOptions): Platform => {
  const fleet = new MemoryFleetList();
  fleet.faults.lagMs = options.fleetLagMs;
  return {
    table: new MemoryTable(),
    objects: new MemoryObjectStore(),
    fleet,
    weights: new WeightStore(options.weightBytes, options.weightBytesPerSecond),
  };
};

const addFleetRoutes = (app: FastifyInstance, { fleet }: Platform): void => {
  app.get('/fleet', async (_request, reply) => {
    const listResult = await fleet.listMembers();
    const members = listResult.extract();
    if (members instanceof Failure) return reply.status(503).send();
    return reply.send(toTargetGroups(members));
  });
  app.post('/fleet', request => {
    fleet.replaceMembers(z.array(fleetMemberSchema).parse(request.body));
    return { ok: true };
  });
};

const addObjectRoutes = (app: FastifyInstance, { objects }: Platform): void => {
  app.get('/:bucket/*', async (request, reply) => {
    const readResult = await objects.getObject(
      (request.params as { '*': string })['*'],
    );
    const object = readResult.extract();
    if (object instanceof Failure) return reply.status(503).send();
    return object.caseOf<FastifyReply>({
      Nothing: () => reply.status(404).send(),
      Just: bytes =>
        reply.type('application/octet-stream').send(Buffer.from(bytes)),
    });
  });
  app.put('/:bucket/*', async (request, reply) => {
    const name = (request.params as { '*': string })['*'];
    const outcome = await objects.putObject(name, request.body as Buffer);
    const failure = outcome.extract();
    if (failure === undefined) return reply.send();
    if (failure.code === 'platform_unknown')
      return holdUntilDisconnect(request);
    return reply.status(503).send();
  });
};

/**
 * Creates the HTTP server of the platform. `POST /faults` sets faults; `GET /calls`
 * returns the counted calls.
 */
export const createPlatformServer = (platform: Platform): FastifyInstance => {
  const { app } = createFakeServer();
  const { table, objects, fleet, weights } = platform;
  app.addContentTypeParser(
    'application/x-amz-json-1.0',
    { parseAs: 'string' },
    app.getDefaultJsonParser('error', 'error'),
  );
  app.addContentTypeParser(
    'application/octet-stream',
    { parseAs: 'buffer' },
    (_request, body, done) => {
      done(null, body);
    },
  );
  addTableRoutes(app, table);
  addFleetRoutes(app, platform);
  app.get('/weights/:name', (request, reply) => {
    const { name } = request.params as { name: string };
    const stream = Readable.from(weights.readWeights(name), {
      objectMode: false,
    });
    return reply.type('application/octet-stream').send(stream);
  });
  app.post('/faults', request => {
    const faults = platformFaultsSchema.parse(request.body);
    Object.assign(table.faults, faults.table);
    Object.assign(objects.faults, faults.objects);
    Object.assign(fleet.faults, faults.fleet);
    return { ok: true };
  });
  app.get('/calls', () => ({
    table: table.callCounts,
    weights: weights.startedReads,
  }));
  addObjectRoutes(app, platform);
  return app;
};
