/**
 * Serves a simulated service over HTTP, as `docs/design/outside-protocols.md`
 * specifies.
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import {
  createFakeServer,
  holdUntilDisconnect,
  sendFailure,
} from '../shared/fake-server.js';

import type {
  IncomingCall,
  ExecutionOutcome,
  ServiceSimulator,
} from './service-simulator.js';

/** Body of `POST /faults`; omitted faults stay as they are. */
const serviceFaultsSchema = z
  .object({
    crashOn: z.string().nullable(),
    crashAfter: z.string().nullable(),
    hang: z.boolean(),
    refuse: z.boolean(),
    fail: z.boolean(),
    slowMs: z.number().nonnegative(),
    loseAnswers: z.number().int().nonnegative(),
    leaving: z.boolean(),
    crash: z.literal(true),
    silence: z.literal(true),
  })
  .partial()
  .strict();

const getHeader = (request: FastifyRequest, name: string) => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

const toIncomingCall = (request: FastifyRequest): IncomingCall => ({
  id: getHeader(request, 'x-request-id') ?? request.id,
  customer: getHeader(request, 'x-customer') ?? '',
  operation: (request.params as { operation: string }).operation,
  key: getHeader(request, 'idempotency-key'),
  body: String(request.body),
});

const sendOutcome = (
  request: FastifyRequest,
  reply: FastifyReply,
  outcome: ExecutionOutcome,
) => {
  if (outcome.kind === 'hung') return holdUntilDisconnect(request);
  if (outcome.kind === 'lost') {
    void reply.hijack();
    request.raw.socket.destroy();
    return reply;
  }
  const { status, contentType, body } = outcome.answer;
  return reply.status(status).type(contentType).send(body);
};

/**
 * Creates the HTTP server of a simulated service. `POST /faults` sets its
 * faults.
 */
export const createServiceServer = (
  simulator: ServiceSimulator,
): FastifyInstance => {
  const { app, connections } = createFakeServer();
  app.removeContentTypeParser('application/json');
  app.addContentTypeParser(
    '*',
    { parseAs: 'string' },
    (_request, body, done) => {
      done(null, body);
    },
  );
  app.post('/operations/:operation', async (request, reply) => {
    const outcome = await simulator.executeCall(toIncomingCall(request));
    return outcome.caseOf<unknown>({
      Left: failure => sendFailure(reply, failure),
      Right: result => sendOutcome(request, reply, result),
    });
  });
  app.post('/faults', request => {
    const { crash, silence, crashOn, crashAfter, ...faults } =
      serviceFaultsSchema.parse(JSON.parse(String(request.body)));
    Object.assign(simulator.faults, faults);
    if (crashOn !== undefined) simulator.faults.crashOn = crashOn ?? undefined;
    if (crashAfter !== undefined) {
      simulator.faults.crashAfter = crashAfter ?? undefined;
    }
    if (silence === true) connections.silenceOthers(request.raw.socket);
    if (crash === true) simulator.crash();
    return { ok: true };
  });
  app.get('/executions', () => ({ executions: simulator.executions }));
  return app;
};
