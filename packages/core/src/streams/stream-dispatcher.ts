/** Runs generations and delivers each complete answer exactly once. */
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

/** Connects each caller's stream to the run that produces its items. */
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
    const callerStream = this.#createCallerStream(signal, {
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
      signal: callerStream.signal,
      emitItem: item => callerStream.pushItem(item),
    });
    callerStream.followSignal();
    const deadlineTimer = setTimeout(() => {
      callerStream.interruptStream(createDeadlineExceededFailure());
    }, request.deadline.remainingMs);
    void finishCallerStream(callerStream, run.run()).finally(() => {
      clearTimeout(deadlineTimer);
    });
    return callerStream.items;
  }

  override resumeStream(
    id: string,
    customer: string,
    afterIndex: number,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    const callerStream = this.#createCallerStream(signal, {
      executed: () => 'unknown',
      onInterrupt: () => undefined,
    });
    callerStream.followSignal();
    this.#context.streamIds.decodeId(id, customer).caseOf({
      Left: failure => {
        callerStream.finishStream({ kind: 'failure', failure });
      },
      Right: address => {
        const stream = new ResumedStream({
          context: this.#context,
          address,
          afterIndex,
          signal: callerStream.signal,
          emitItem: item => callerStream.pushItem(item),
        });
        void callerStream.pushItem({ kind: 'started', id });
        void finishCallerStream(callerStream, stream.run());
      },
    });
    return callerStream.items;
  }

  /** Handlers of the methods that peers call, by method name. */
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
    const { buffer_bytes: bufferBytes, stall_ms: stallTimeoutMs } =
      this.#context.settings;
    return new CallerStream({
      signal,
      bufferBytes,
      stallTimeoutMs,
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

/** Ends the caller's stream with the final item or the error of the run. */
const finishCallerStream = async (
  callerStream: CallerStream,
  run: Promise<StreamItem | undefined>,
): Promise<void> => {
  try {
    const finalItem = await run;
    if (finalItem !== undefined) callerStream.finishStream(finalItem);
  } catch (error) {
    callerStream.interruptStream(toFailure(error));
  }
};

/**
 * Returns whether to cancel the generation. It continues after `slow_caller` and
 * `shutting_down`, so that the caller can resume its stream.
 */
const shouldCancelGeneration = (
  failure: Failure,
  request: GenerationRequest,
): boolean => {
  if (failure.code === 'slow_caller') return false;
  if (failure.code === 'shutting_down') return false;
  return failure.code !== 'caller_gone' || request.isBackground !== true;
};

const createDeadlineExceededFailure = (): Failure =>
  new Failure(
    'deadline_exceeded',
    'the answer was not complete before the deadline',
  );
