import type { ServerResponse } from 'node:http';

import { Failure } from '@medlarlever/core';
import type { AnswerItem } from '@medlarlever/core';
import {
  Body,
  Controller,
  Get,
  Param,
  Post,
  Query,
  Req,
  Res,
  UseGuards,
} from '@nestjs/common';
import type { FastifyReply } from 'fastify';

import { CallerGuard } from '../auth/guards.js';
import type { CallerRequest } from '../auth/guards.js';
import type { Readiness } from '../health/readiness.js';
import { InjectToken } from '../kernel/daemon-kernel.js';
import { generationServiceToken, readinessToken } from '../kernel/tokens.js';
import type { JsonBody } from '../server/body-parser.js';
import { sendFailure } from '../server/failure-filter.js';

import type { CompletionHead } from './completion-responses.js';
import { parseCompletionRequest } from './completion-requests.js';
import type { CompletionKind } from './completion-requests.js';
import { toGenerationRequest } from './generation-service.js';
import type { GenerationService } from './generation-service.js';
import { streamResponse, collectResponse } from './response-writer.js';

const chunkIndexPattern = /^\d{1,9}$/;

/** Aborts when the caller closes the connection before the answer ended. */
const createCallerSignal = (
  response: ServerResponse,
  handover: AbortSignal,
): AbortSignal => {
  const controller = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return AbortSignal.any([controller.signal, handover]);
};

const getUnixSeconds = () => Math.floor(Date.now() / 1_000);

/** Completions, chat completions and the rejoining of their streams. */
@Controller('v1')
@UseGuards(CallerGuard)
export class GenerationController {
  constructor(
    @InjectToken(generationServiceToken)
    readonly generations: GenerationService,
    @InjectToken(readinessToken) readonly readiness: Readiness,
  ) {}

  @Get('models')
  listModels(@Req() { entitlement }: CallerRequest) {
    return {
      object: 'list',
      data: entitlement.models.map(({ alias }) => ({
        id: alias,
        object: 'model',
        created: 0,
        owned_by: entitlement.template,
      })),
    };
  }

  @Post('chat/completions')
  async completeChat(
    @Req() request: CallerRequest,
    @Body() body: JsonBody,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await this.#handleCompletion('chat', request, body, reply);
  }

  @Post('completions')
  async completePrompt(
    @Req() request: CallerRequest,
    @Body() body: JsonBody,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await this.#handleCompletion('completion', request, body, reply);
  }

  /** Rejoins a stream after the chunk `starting_after`. */
  @Get('responses/:id')
  async rejoinStream(
    @Req() request: CallerRequest,
    @Param('id') id: string,
    @Query('starting_after') after: string | undefined,
    @Query('stream') stream: string | undefined,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    if (after !== undefined && !chunkIndexPattern.test(after)) {
      throw new Failure('invalid_request', 'starting_after: not an index');
    }
    const head: CompletionHead = {
      id,
      kind: 'completion',
      model: '',
      created: getUnixSeconds(),
    };
    const signal = createCallerSignal(reply.raw, this.readiness.handoverSignal);
    const from = after === undefined ? -1 : Number(after);
    const { customer } = request.entitlement;
    const items = this.generations.rejoinStream(id, customer, from, signal);
    await this.#sendResponse(head, items, stream !== 'false', reply);
  }

  async #handleCompletion(
    kind: CompletionKind,
    { entitlement }: CallerRequest,
    body: JsonBody | undefined,
    reply: FastifyReply,
  ): Promise<void> {
    const parsed = parseCompletionRequest(kind, body?.value);
    const request = parsed.chain(checked =>
      toGenerationRequest(entitlement, checked),
    );
    if (parsed.isLeft() || request.isLeft()) {
      sendFailure(
        reply,
        (parsed.isLeft() ? parsed : request).extract() as Failure,
      );
      return;
    }
    const { model, stream } = parsed.unsafeCoerce();
    const generation = request.unsafeCoerce();
    const head = { id: generation.id, kind, model, created: getUnixSeconds() };
    const items = this.generations.runRequest(
      generation,
      createCallerSignal(reply.raw, this.readiness.handoverSignal),
    );
    await this.#sendResponse(head, items, stream, reply);
  }

  async #sendResponse(
    head: CompletionHead,
    items: AsyncIterable<AnswerItem>,
    stream: boolean,
    reply: FastifyReply,
  ): Promise<void> {
    const entered = this.readiness.startRequest();
    if (entered.isLeft()) {
      sendFailure(reply, entered.extract());
      return;
    }
    try {
      await (stream
        ? sendStreamedResponse(head, items, reply)
        : sendWholeResponse(head, items, reply));
    } finally {
      entered.unsafeCoerce()();
    }
  }
}

const sendWholeResponse = async (
  head: CompletionHead,
  items: AsyncIterable<AnswerItem>,
  reply: FastifyReply,
): Promise<void> => {
  const outcome = await collectResponse(head, items);
  outcome.caseOf({
    Left: failure => {
      sendFailure(reply, failure);
    },
    Right: body => {
      void reply.status(200).send(body);
    },
  });
};

const sendStreamedResponse = async (
  head: CompletionHead,
  items: AsyncIterable<AnswerItem>,
  reply: FastifyReply,
): Promise<void> => {
  const outcome = await streamResponse(head, items, reply.raw);
  outcome.ifLeft(failure => {
    if (reply.raw.headersSent) reply.raw.destroy();
    else sendFailure(reply, failure);
  });
};
