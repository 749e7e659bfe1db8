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
import { InjectPart } from '../kernel/daemon-kernel.js';
import { generationServicePart, readinessPart } from '../kernel/tokens.js';
import type { JsonBody } from '../server/body-parser.js';
import { sendFailure } from '../server/failure-filter.js';

import type { AnswerHead } from './completion-responses.js';
import { parseCompletion } from './completion-requests.js';
import type { CompletionKind } from './completion-requests.js';
import { toGenerationRequest } from './generation-service.js';
import type { Generations } from './generation-service.js';
import { relayStream, relayWhole } from './response-writer.js';

const indexPattern = /^\d{1,9}$/;

/** Aborts when the caller closes the connection before the answer ended. */
const callerSignal = (
  response: ServerResponse,
  handover: AbortSignal,
): AbortSignal => {
  const controller = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return AbortSignal.any([controller.signal, handover]);
};

const seconds = () => Math.floor(Date.now() / 1_000);

/** Completions, chat completions and the rejoining of their streams. */
@Controller('v1')
@UseGuards(CallerGuard)
export class GenerationController {
  constructor(
    @InjectPart(generationServicePart) readonly generations: Generations,
    @InjectPart(readinessPart) readonly readiness: Readiness,
  ) {}

  @Get('models')
  models(@Req() { entitlement }: CallerRequest) {
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
  async chat(
    @Req() request: CallerRequest,
    @Body() body: JsonBody,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await this.#generate('chat', request, body, reply);
  }

  @Post('completions')
  async complete(
    @Req() request: CallerRequest,
    @Body() body: JsonBody,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await this.#generate('completion', request, body, reply);
  }

  /** Rejoins a stream after the chunk `starting_after`. */
  @Get('responses/:id')
  async rejoin(
    @Req() request: CallerRequest,
    @Param('id') id: string,
    @Query('starting_after') after: string | undefined,
    @Query('stream') stream: string | undefined,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    if (after !== undefined && !indexPattern.test(after)) {
      throw new Failure('invalid_request', 'starting_after: not an index');
    }
    const head: AnswerHead = {
      id,
      kind: 'completion',
      model: '',
      created: seconds(),
    };
    const signal = callerSignal(reply.raw, this.readiness.handover);
    const from = after === undefined ? -1 : Number(after);
    const { customer } = request.entitlement;
    const items = this.generations.rejoin(id, customer, from, signal);
    await this.#answer(head, items, stream !== 'false', reply);
  }

  async #generate(
    kind: CompletionKind,
    { entitlement }: CallerRequest,
    body: JsonBody | undefined,
    reply: FastifyReply,
  ): Promise<void> {
    const parsed = parseCompletion(kind, body?.value);
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
    const head = { id: generation.id, kind, model, created: seconds() };
    const items = this.generations.run(
      generation,
      callerSignal(reply.raw, this.readiness.handover),
    );
    await this.#answer(head, items, stream, reply);
  }

  async #answer(
    head: AnswerHead,
    items: AsyncIterable<AnswerItem>,
    stream: boolean,
    reply: FastifyReply,
  ): Promise<void> {
    const entered = this.readiness.enter();
    if (entered.isLeft()) {
      sendFailure(reply, entered.extract());
      return;
    }
    try {
      await (stream
        ? answerStream(head, items, reply)
        : answerWhole(head, items, reply));
    } finally {
      entered.unsafeCoerce()();
    }
  }
}

const answerWhole = async (
  head: AnswerHead,
  items: AsyncIterable<AnswerItem>,
  reply: FastifyReply,
): Promise<void> => {
  const outcome = await relayWhole(head, items);
  outcome.caseOf({
    Left: failure => {
      sendFailure(reply, failure);
    },
    Right: body => {
      void reply.status(200).send(body);
    },
  });
};

const answerStream = async (
  head: AnswerHead,
  items: AsyncIterable<AnswerItem>,
  reply: FastifyReply,
): Promise<void> => {
  const outcome = await relayStream(head, items, reply.raw);
  outcome.ifLeft(failure => {
    if (reply.raw.headersSent) reply.raw.destroy();
    else sendFailure(reply, failure);
  });
};
