/**
 * Serves a simulated engine over HTTP, as `docs/design/outside-protocols.md`
 * specifies.
 */
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

/**
 * Replaces a malformed model name; no engine has this model loaded, so the
 * request is refused.
 */
const unknownModelId: ModelId = { name: '?', version: '?' };

/** Body of `POST /faults`; omitted faults stay as they are. */
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
  const promptLength = continuation?.prompt_characters ?? body.prompt.length;
  const generatedTokens = continuation?.tokens ?? 0;
  const { remote_address: address, remote_id: remoteId } = transfer ?? {};
  return {
    id,
    model: parseModelKey(body.model).orDefault(unknownModelId),
    prompt: body.prompt.slice(0, promptLength),
    maxTokens: body.max_tokens + generatedTokens,
    priority: body.priority,
    continuation: {
      text: body.prompt.slice(promptLength),
      tokens: generatedTokens,
    },
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

/** Objects that the route handlers share. */
interface RouteContext {
  readonly app: FastifyInstance;
  readonly connections: ConnectionRegistry;
  readonly simulator: EngineSimulator;
}

/**
 * Writes the chunks after index `after` as server-sent events, with a comment
 * in each heartbeat interval until the stream ends.
 */
const writeStream = (
  { connections, simulator }: RouteContext,
  job: GenerationJob,
  after: number,
  reply: FastifyReply,
): FastifyReply => {
  void reply.hijack();
  const { raw } = reply;
  const { socket } = raw;
  const write = (text: string) => {
    const isSilent = socket !== null && connections.isSilent(socket);
    if (!isSilent && !simulator.faults.hang) raw.write(text);
  };
  raw.writeHead(200, { 'content-type': 'text/event-stream' });
  write(': heartbeat\n\n');
  const heartbeat = setInterval(() => {
    write(': heartbeat\n\n');
  }, simulator.settings.heartbeatMs);
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

const addStreamRoutes = (context: RouteContext): void => {
  const { app, simulator } = context;
  app.post('/v1/completions', (request, reply) => {
    const id = String(request.headers['x-request-id'] ?? request.id);
    const body = completionRequestSchema.parse(request.body);
    const jobResult = simulator.submitGeneration(toJobRequest(id, body));
    return sendResult(reply, jobResult, job =>
      writeStream(context, job, -1, reply),
    );
  });
  app.get('/v1/responses/:id', (request, reply) => {
    const { id } = request.params as { id: string };
    const query = request.query as { starting_after?: string };
    const after = Number(query.starting_after ?? -1);
    return sendResult(reply, simulator.findGeneration(id), job =>
      writeStream(context, job, after, reply),
    );
  });
  const stopReasons = { cancel: 'cancelled', export: 'moved' } as const;
  for (const [name, reason] of Object.entries(stopReasons)) {
    app.post(`/v1/responses/:id/${name}`, (request, reply) => {
      const { id } = request.params as { id: string };
      const stopResult = simulator.stopGeneration(id, reason);
      return sendResult(reply, stopResult, () =>
        reply.send({ id, status: reason }),
      );
    });
  }
  app.get('/kv/:id', (request, reply) => {
    const { id } = request.params as { id: string };
    const cache = simulator.exportCache(id);
    return cache === undefined ? reply.status(404).send() : reply.send(cache);
  });
};

const addCommandRoutes = ({
  app,
  simulator,
  connections,
}: RouteContext): void => {
  app.put('/orders/:id', (request: FastifyRequest, reply) => {
    const { id } = request.params as { id: string };
    const command = engineCommandSchema.parse({
      ...(request.body as object),
      id,
    });
    const status = simulator.commandExecutor.submitCommand(command);
    if (simulator.faults.loseOrderAnswers === 0) {
      return sendResult(reply, status, found => reply.send(found));
    }
    simulator.faults.loseOrderAnswers -= 1;
    connections.destroyAll();
    return reply;
  });
  app.get('/orders/:id', (request, reply) => {
    const { id } = request.params as { id: string };
    const status = simulator.commandExecutor.getStatus(id);
    return sendResult(reply, status, found => reply.send(found));
  });
};

const addFaultRoutes = ({
  app,
  simulator,
  connections,
}: RouteContext): void => {
  app.post('/faults', request => {
    const { crash, silence, crashOn, ...faults } = engineFaultsSchema.parse(
      request.body,
    );
    Object.assign(simulator.faults, faults);
    if (crashOn !== undefined) simulator.faults.crashOn = crashOn ?? undefined;
    if (silence === true) connections.silenceOthers(request.raw.socket);
    if (crash === true) simulator.crash();
    return { ok: true };
  });
  app.get('/executions', () => ({
    executions: simulator.startedGenerationIds,
    orders: simulator.commandExecutor.acceptedCommands,
    conflicts: simulator.commandExecutor.conflictCount,
    cut: simulator.cancelledStreamCount,
  }));
};

/**
 * Creates the HTTP server of a simulated engine. A hanging engine answers only
 * `/faults`.
 */
export const createEngineServer = (
  simulator: EngineSimulator,
): FastifyInstance => {
  const { app, connections } = createFakeServer();
  const context = { app, connections, simulator };
  app.addHook('onRequest', (request, _reply, done) => {
    const isAnswered = request.url === '/faults' || !simulator.faults.hang;
    if (isAnswered) done();
  });
  app.get('/load', () => simulator.getLoadReport());
  app.get('/cache/events', request => {
    const { after } = request.query as { after?: string };
    return { events: simulator.getCacheEvents(Number(after ?? 0)) };
  });
  addStreamRoutes(context);
  addCommandRoutes(context);
  addFaultRoutes(context);
  return app;
};
