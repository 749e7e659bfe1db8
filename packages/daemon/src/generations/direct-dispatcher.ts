/** Sends a generation to one engine and yields its stream as it comes. */
import { GenerationDispatcher, promptPieces } from '@medlarlever/core';
import type { AnswerItem, GenerationRequest, Router } from '@medlarlever/core';
import { Failure } from '@medlarlever/core';

export class DirectDispatcher extends GenerationDispatcher {
  constructor(readonly router: Router) {
    super();
  }

  override async *dispatch(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    const { id, model, prompt, maxTokens, deadline } = request;
    const { priority } = request.entitlement.ranking;
    const routed = this.router.route(
      {
        model,
        pieces: promptPieces(model, prompt),
        promptTokens: request.promptTokens,
        outputTokens: maxTokens,
        priority,
        deadline,
      },
      'whole',
    );
    if (routed.isLeft()) {
      yield { kind: 'failure', failure: routed.extract() };
      return;
    }
    const { engine } = routed.unsafeCoerce();
    yield { kind: 'started', id };
    yield* engine.generate(
      { id, model, prompt, maxTokens, priority, deadline },
      signal,
    );
  }

  override async *rejoin(id: string): AsyncIterable<AnswerItem> {
    const reason = `stream "${id}" is unknown`;
    yield await Promise.resolve({
      kind: 'failure' as const,
      failure: new Failure('stream_not_found', reason),
    });
  }
}
