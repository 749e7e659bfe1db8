/** A plain service over HTTP, as `docs/design/outside-protocols.md` says. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import {
  createServer,
  neverAnswer,
  sendFailure,
} from '../shared/fake-server.js';

import type {
  IncomingCall,
  RunOutcome,
  ServiceModel,
} from './service-simulator.js';

const faultsSchema = z
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

const headerOf = (request: FastifyRequest, name: string) => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

const toCall = (request: FastifyRequest): IncomingCall => ({
  id: headerOf(request, 'x-request-id') ?? request.id,
  customer: headerOf(request, 'x-customer') ?? '',
  operation: (request.params as { operation: string }).operation,
  key: headerOf(request, 'idempotency-key'),
  body: String(request.body),
});

const sendOutcome = (
  request: FastifyRequest,
  reply: FastifyReply,
  outcome: RunOutcome,
) => {
  if (outcome.kind === 'hung') return neverAnswer(request);
  if (outcome.kind === 'lost') {
    void reply.hijack();
    request.raw.socket.destroy();
    return reply;
  }
  const { status, contentType, body } = outcome.answer;
  return reply.status(status).type(contentType).send(body);
};

/** A service's server. */
export const createServiceServer = (model: ServiceModel): FastifyInstance => {
  const { app, connections } = createServer();
  app.removeContentTypeParser('application/json');
  app.addContentTypeParser(
    '*',
    { parseAs: 'string' },
    (_request, body, done) => {
      done(null, body);
    },
  );
  app.post('/operations/:operation', async (request, reply) => {
    const outcome = await model.run(toCall(request));
    return outcome.caseOf<unknown>({
      Left: failure => sendFailure(reply, failure),
      Right: result => sendOutcome(request, reply, result),
    });
  });
  app.post('/faults', request => {
    const { crash, silence, crashOn, crashAfter, ...faults } =
      faultsSchema.parse(JSON.parse(String(request.body)));
    Object.assign(model.faults, faults);
    if (crashOn !== undefined) model.faults.crashOn = crashOn ?? undefined;
    if (crashAfter !== undefined) {
      model.faults.crashAfter = crashAfter ?? undefined;
    }
    if (silence === true) connections.silence(request.raw.socket);
    if (crash === true) model.crash();
    return { ok: true };
  });
  app.get('/executions', () => ({ executions: model.executions }));
  return app;
};
