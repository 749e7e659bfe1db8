/** An engine over HTTP, as `docs/design/outside-protocols.md` says. */
import {
  completionRequestSchema,
  loadReportSchema,
  engineCommandSchema,
  parseModelKey,
} from '@medlarlever/core';
import type {
  CompletionEvent,
  CompletionRequest,
  Failure,
  ModelId,
  StreamItem,
} from '@medlarlever/core';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import { createFakeServer, sendFailure } from '../shared/fake-server.js';
import type { ConnectionRegistry } from '../shared/fake-server.js';

import type { EngineSimulator } from './engine-simulator.js';
import type { GenerationJob, JobRequest } from './generation-job.js';

/** Loaded nowhere, so a malformed name is refused. */
const unknownModelId: ModelId = { name: '?', version: '?' };

const engineFaultsSchema = z
  .object({
    crashOn: z.string().nullable(),
    hang: z.boolean(),
    refuse: z.boolean(),
    slowFactor: z.number().positive(),
    lie: loadReportSchema.partial(),
    leaving: z.boolean(),
    crashInOrder: z.boolean(),
    loseOrderAnswers: z.number().int(),
    crash: z.literal(true),
    silence: z.literal(true),
  })
  .partial()
  .strict();

const toJobRequest = (id: string, body: CompletionRequest): JobRequest => {
  const { continuation, kv_transfer_params: transfer } = body;
  const split = continuation?.prompt_characters ?? body.prompt.length;
  const done = continuation?.tokens ?? 0;
  const { remote_address: address, remote_id: remoteId } = transfer ?? {};
  return {
    id,
    model: parseModelKey(body.model).orDefault(unknownModelId),
    prompt: body.prompt.slice(0, split),
    maxTokens: body.max_tokens + done,
    priority: body.priority,
    continuation: { text: body.prompt.slice(split), tokens: done },
    cacheFrom:
      address === undefined || remoteId === undefined
        ? undefined
        : { address, id: remoteId },
    isPrefillOnly: transfer?.prefill_only,
  };
};

const toCompletionEvent = (item: StreamItem): CompletionEvent | undefined => {
  if (item.kind === 'chunk') {
    const { index, text } = item.chunk;
    return { sequence_number: index, choices: [{ text }] };
  }
  if (item.kind !== 'end') return undefined;
  const { reason, promptTokens, outputTokens } = item.end;
  return {
    choices: [{ text: '', finish_reason: reason }],
    usage: { prompt_tokens: promptTokens, completion_tokens: outputTokens },
  };
};

interface RouteContext {
  readonly app: FastifyInstance;
  readonly connections: ConnectionRegistry;
  readonly simulator: EngineSimulator;
}

/** Writes a stream and a comment every heartbeat until its end. */
const writeStream = (
  { connections, simulator: model }: RouteContext,
  job: GenerationJob,
  after: number,
  reply: FastifyReply,
): FastifyReply => {
  void reply.hijack();
  const { raw } = reply;
  const { socket } = raw;
  const write = (text: string) => {
    const silent = socket !== null && connections.isSilent(socket);
    if (!silent && !model.faults.hang) raw.write(text);
  };
  raw.writeHead(200, { 'content-type': 'text/event-stream' });
  write(': heartbeat\n\n');
  const heartbeat = setInterval(() => {
    write(': heartbeat\n\n');
  }, model.settings.heartbeatMs);
  const stop = () => {
    clearInterval(heartbeat);
    detach();
  };
  const onItem = (item: StreamItem) => {
    const event = toCompletionEvent(item);
    if (event !== undefined) write(`data: ${JSON.stringify(event)}\n\n`);
    if (item.kind !== 'end') return;
    write('data: [DONE]\n\n');
    clearInterval(heartbeat);
    if (socket === null || !connections.isSilent(socket)) raw.end();
  };
  const detach = job.addListener(after, onItem);
  raw.once('close', stop);
  return reply;
};

const sendResult = <T>(
  reply: FastifyReply,
  result: Either<Failure, T>,
  send: (value: T) => FastifyReply,
): FastifyReply =>
  result.caseOf({
    Left: failure => sendFailure(reply, failure),
    Right: send,
  });

const addStreamRoutes = (routes: RouteContext): void => {
  const { app, simulator: model } = routes;
  app.post('/v1/completions', (request, reply) => {
    const id = String(request.headers['x-request-id'] ?? request.id);
    const body = completionRequestSchema.parse(request.body);
    const job = model.submitGeneration(toJobRequest(id, body));
    return sendResult(reply, job, found =>
      writeStream(routes, found, -1, reply),
    );
  });
  app.get('/v1/responses/:id', (request, reply) => {
    const { id } = request.params as { id: string };
    const query = request.query as { starting_after?: string };
    const after = Number(query.starting_after ?? -1);
    return sendResult(reply, model.findGeneration(id), job =>
      writeStream(routes, job, after, reply),
    );
  });
  const stops = { cancel: 'cancelled', export: 'moved' } as const;
  for (const [name, reason] of Object.entries(stops)) {
    app.post(`/v1/responses/:id/${name}`, (request, reply) => {
      const { id } = request.params as { id: string };
      const stopped = model.stopGeneration(id, reason);
      return sendResult(reply, stopped, () =>
        reply.send({ id, status: reason }),
      );
    });
  }
  app.get('/kv/:id', (request, reply) => {
    const { id } = request.params as { id: string };
    const cache = model.exportCache(id);
    return cache === undefined ? reply.status(404).send() : reply.send(cache);
  });
};

const addCommandRoutes = ({
  app,
  simulator: model,
  connections,
}: RouteContext): void => {
  app.put('/orders/:id', (request: FastifyRequest, reply) => {
    const { id } = request.params as { id: string };
    const order = engineCommandSchema.parse({
      ...(request.body as object),
      id,
    });
    const status = model.commandExecutor.submitCommand(order);
    if (model.faults.loseOrderAnswers === 0) {
      return sendResult(reply, status, found => reply.send(found));
    }
    model.faults.loseOrderAnswers -= 1;
    connections.destroyAll();
    return reply;
  });
  app.get('/orders/:id', (request, reply) => {
    const { id } = request.params as { id: string };
    const status = model.commandExecutor.getStatus(id);
    return sendResult(reply, status, found => reply.send(found));
  });
};

const addFaultRoutes = ({
  app,
  simulator: model,
  connections,
}: RouteContext): void => {
  app.post('/faults', request => {
    const { crash, silence, crashOn, ...faults } = engineFaultsSchema.parse(
      request.body,
    );
    Object.assign(model.faults, faults);
    if (crashOn !== undefined) model.faults.crashOn = crashOn ?? undefined;
    if (silence === true) connections.silenceOthers(request.raw.socket);
    if (crash === true) model.crash();
    return { ok: true };
  });
  app.get('/executions', () => ({
    executions: model.startedGenerationIds,
    orders: model.commandExecutor.acceptedCommands,
    conflicts: model.commandExecutor.conflictCount,
    cut: model.cancelledStreamCount,
  }));
};

/** An engine's server. A crash destroys every connection at once. */
export const createEngineServer = (model: EngineSimulator): FastifyInstance => {
  const { app, connections } = createFakeServer();
  const routes = { app, connections, simulator: model };
  app.addHook('onRequest', (request, _reply, done) => {
    const unharmed = request.url === '/faults' || !model.faults.hang;
    if (unharmed) done();
  });
  app.get('/load', () => model.getLoadReport());
  app.get('/cache/events', request => {
    const { after } = request.query as { after?: string };
    return { events: model.getCacheEvents(Number(after ?? 0)) };
  });
  addStreamRoutes(routes);
  addCommandRoutes(routes);
  addFaultRoutes(routes);
  return app;
};
