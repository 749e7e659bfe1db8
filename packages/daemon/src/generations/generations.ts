/** Takes completion requests through admission to the dispatcher. */
import { createHash, randomUUID } from 'node:crypto';

import { Deadline, Failure, estimateTokens } from '@medlarlever/core';
import type {
  Admission,
  AnswerItem,
  EntitledModel,
  Entitlement,
  GenerationDispatcher,
  GenerationRequest,
} from '@medlarlever/core';
import { Maybe } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { CompletionBody } from './bodies.js';

/** Name of the queue that all models share. */
export const modelService = 'models';

const modelOf = (
  entitlement: Entitlement,
  alias: string,
): Either<Failure, EntitledModel> =>
  Maybe.fromNullable(
    entitlement.models.find(model => model.alias === alias),
  ).toEither(
    new Failure(
      'unknown_model',
      `model "${alias}" is not among: ${entitlement.models.map(model => model.alias).join(', ')}`,
    ),
  );

const fingerprintOf = (
  entitlement: Entitlement,
  model: EntitledModel,
  body: CompletionBody,
): string =>
  createHash('sha256')
    .update(JSON.stringify([entitlement.customer, model.id, body.prompt]))
    .digest('hex');

/** Checks the body against what the customer may ask for. */
export const toGenerationRequest = (
  entitlement: Entitlement,
  body: CompletionBody,
): Either<Failure, GenerationRequest> =>
  modelOf(entitlement, body.model).map(model => ({
    id: randomUUID(),
    entitlement,
    model: model.id,
    prompt: body.prompt,
    promptTokens: estimateTokens(body.prompt),
    maxTokens: Math.min(
      body.maxTokens ?? entitlement.limits.max_output_tokens,
      entitlement.limits.max_output_tokens,
    ),
    deadline: Deadline.after(entitlement.ranking.deadline_ms),
    fingerprint: fingerprintOf(entitlement, model, body),
  }));

export interface GenerationsOptions {
  readonly admission: Admission;
  readonly dispatcher: GenerationDispatcher;
}

export class Generations {
  readonly #admission: Admission;
  readonly #dispatcher: GenerationDispatcher;

  constructor({ admission, dispatcher }: GenerationsOptions) {
    this.#admission = admission;
    this.#dispatcher = dispatcher;
  }

  /** Runs an admitted request and gives its place back at the end. */
  async *run(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    const ticket = await this.#admission.enter(
      {
        entitlement: request.entitlement,
        service: modelService,
        deadline: request.deadline,
        promptTokens: request.promptTokens,
        outputTokens: request.maxTokens,
      },
      signal,
    );
    if (ticket.isLeft()) {
      yield { kind: 'failure', failure: ticket.extract() };
      return;
    }
    const { release } = ticket.unsafeCoerce();
    try {
      yield* this.#dispatcher.dispatch(request, signal);
    } finally {
      release();
    }
  }

  /** Rejoins an earlier stream of the same customer. */
  rejoin(
    id: string,
    customer: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    return this.#dispatcher.rejoin(id, customer, after, signal);
  }
}
