/** Runs generations so that each caller gets its whole answer once. */
import type { PeerMethodHandler } from '../kernel/kernel.js';
import { Failure, toFailure } from '../shared/failure.js';
import type { StreamItem } from '../target/target.js';

import { GenerationRun } from './generation-run.js';
import { AnswerTimer } from './answer-timer.js';
import { CallerStream } from './caller-stream.js';
import { GenerationDispatcher } from './generation-dispatcher.js';
import type { AnswerItem, GenerationRequest } from './generation-dispatcher.js';
import { ResumedStream } from './resumed-stream.js';
import { StreamContext } from './stream-context.js';
import type { StreamDispatcherOptions } from './stream-options.js';

export class StreamDispatcher extends GenerationDispatcher {
  readonly #context: StreamContext;

  constructor(options: StreamDispatcherOptions) {
    super();
    this.#context = new StreamContext(options);
  }

  override dispatchGeneration(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    const timer = this.#createTimer(request);
    const caller = this.#createCallerStream(signal, {
      executed: () => run.executed,
      onInterrupt: failure => {
        if (shouldCancelGeneration(failure, request)) run.cancelGeneration();
      },
      onItem: item => {
        timer.observeItem(item);
      },
    });
    const run = new GenerationRun({
      context: this.#context,
      request,
      signal: caller.signal,
      emitItem: item => caller.pushItem(item),
    });
    caller.followSignal();
    const due = setTimeout(() => {
      caller.interruptStream(createDeadlineExceededFailure());
    }, request.deadline.remainingMs);
    void finishCallerStream(caller, run.run()).finally(() => {
      clearTimeout(due);
    });
    return caller.items;
  }

  override resumeStream(
    id: string,
    customer: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    const caller = this.#createCallerStream(signal, {
      executed: () => 'unknown',
      onInterrupt: () => undefined,
    });
    caller.followSignal();
    this.#context.streamIds.decodeId(id, customer).caseOf({
      Left: failure => {
        caller.finishStream({ kind: 'failure', failure });
      },
      Right: address => {
        const stream = new ResumedStream({
          context: this.#context,
          address,
          afterIndex: after,
          signal: caller.signal,
          emitItem: item => caller.pushItem(item),
        });
        void caller.pushItem({ kind: 'started', id });
        void finishCallerStream(caller, stream.run());
      },
    });
    return caller.items;
  }

  /** Methods for peers to call, by name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return this.#context.streamLocations.getPeerMethods();
  }

  #createCallerStream(
    signal: AbortSignal,
    hooks: Pick<
      ConstructorParameters<typeof CallerStream>[0],
      'executed' | 'onInterrupt' | 'onItem'
    >,
  ): CallerStream {
    const { buffer_bytes: bufferBytes, stall_ms: stallMs } =
      this.#context.settings;
    return new CallerStream({
      signal,
      bufferBytes,
      stallTimeoutMs: stallMs,
      ...hooks,
    });
  }

  #createTimer({ entitlement }: GenerationRequest): AnswerTimer {
    return new AnswerTimer(this.#context.options.metrics, {
      customer: entitlement.customer,
      class: entitlement.ranking.class,
      service: 'models',
    });
  }
}

/** Ends the caller's stream with what the run gives last. */
const finishCallerStream = async (
  caller: CallerStream,
  run: Promise<StreamItem | undefined>,
): Promise<void> => {
  try {
    const last = await run;
    if (last !== undefined) caller.finishStream(last);
  } catch (error) {
    caller.interruptStream(toFailure(error));
  }
};

/** A slow caller and a stopping instance leave the generation to a rejoin. */
const shouldCancelGeneration = (
  failure: Failure,
  request: GenerationRequest,
): boolean => {
  if (failure.code === 'slow_caller') return false;
  if (failure.code === 'shutting_down') return false;
  return failure.code !== 'caller_gone' || request.isBackground !== true;
};

const createDeadlineExceededFailure = (): Failure =>
  new Failure('deadline_exceeded', 'the answer was not complete in time');
