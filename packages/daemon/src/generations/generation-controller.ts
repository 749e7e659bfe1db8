/** HTTP endpoints of completions, chat completions and resumed streams. */
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

/**
 * Returns a signal that aborts when the caller closes the connection before the
 * response is complete, or when this instance ends its streams (`handover`).
 */
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

/** Completions, chat completions and the resumption of their streams. */
@Controller('v1')
@UseGuards(CallerGuard)
export class GenerationController {
  constructor(
    @InjectToken(generationServiceToken)
    readonly generationService: GenerationService,
    @InjectToken(readinessToken) readonly readiness: Readiness,
  ) {}

  /** Lists the models that the customer may use. */
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

  /**
   * Resumes a stream. Sends the chunks after the index `starting_after`, or all
   * chunks if it is absent.
   */
  @Get('responses/:id')
  async rejoinStream(
    @Req() request: CallerRequest,
    @Param('id') id: string,
    @Query('starting_after') startingAfter: string | undefined,
    @Query('stream') stream: string | undefined,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    if (startingAfter !== undefined && !chunkIndexPattern.test(startingAfter)) {
      throw new Failure(
        'invalid_request',
        'starting_after: must be a chunk index',
      );
    }
    const head: CompletionHead = {
      id,
      kind: 'completion',
      model: '',
      created: getUnixSeconds(),
    };
    const signal = createCallerSignal(reply.raw, this.readiness.handoverSignal);
    const lastReceivedIndex =
      startingAfter === undefined ? -1 : Number(startingAfter);
    const { customer } = request.entitlement;
    const items = this.generationService.rejoinStream(
      id,
      customer,
      lastReceivedIndex,
      signal,
    );
    await this.#sendResponse(head, items, stream !== 'false', reply);
  }

  async #handleCompletion(
    kind: CompletionKind,
    { entitlement }: CallerRequest,
    body: JsonBody | undefined,
    reply: FastifyReply,
  ): Promise<void> {
    const parseResult = parseCompletionRequest(kind, body?.value);
    const requestResult = parseResult.chain(completionRequest =>
      toGenerationRequest(entitlement, completionRequest),
    );
    if (parseResult.isLeft() || requestResult.isLeft()) {
      sendFailure(
        reply,
        (parseResult.isLeft()
          ? parseResult
          : requestResult
        ).extract() as Failure,
      );
      return;
    }
    const { model, stream } = parseResult.unsafeCoerce();
    const generation = requestResult.unsafeCoerce();
    const head = { id: generation.id, kind, model, created: getUnixSeconds() };
    const items = this.generationService.runRequest(
      generation,
      createCallerSignal(reply.raw, this.readiness.handoverSignal),
    );
    await this.#sendResponse(head, items, stream, reply);
  }

  /** Sends the response as server-sent events or as one body. */
  async #sendResponse(
    head: CompletionHead,
    items: AsyncIterable<AnswerItem>,
    isStreamed: boolean,
    reply: FastifyReply,
  ): Promise<void> {
    const startResult = this.readiness.startRequest();
    if (startResult.isLeft()) {
      sendFailure(reply, startResult.extract());
      return;
    }
    try {
      await (isStreamed
        ? sendStreamedResponse(head, items, reply)
        : sendWholeResponse(head, items, reply));
    } finally {
      startResult.unsafeCoerce()();
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

/**
 * Sends the response as server-sent events; closes the connection if sending
 * fails after the headers were sent.
 */
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
