/** Runs generations so that each caller gets its whole answer once. */
import type { PeerHandler } from '../kernel/kernel.js';
import { Failure, toFailure } from '../shared/failure.js';
import type { StreamItem } from '../target/target.js';

import { AnswerRun } from './generation-run.js';
import { AnswerTimer } from './answer-timer.js';
import { CallerStream } from './caller-stream.js';
import { GenerationDispatcher } from './generation-dispatcher.js';
import type { AnswerItem, GenerationRequest } from './generation-dispatcher.js';
import { RejoinedStream } from './resumed-stream.js';
import { StreamContext } from './stream-context.js';
import type { StreamDispatcherOptions } from './stream-options.js';

export class StreamDispatcher extends GenerationDispatcher {
  readonly #context: StreamContext;

  constructor(options: StreamDispatcherOptions) {
    super();
    this.#context = new StreamContext(options);
  }

  override dispatch(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    const timer = this.#timer(request);
    const caller = this.#caller(signal, {
      executed: () => run.executed,
      onInterrupt: failure => {
        if (endsGeneration(failure, request)) run.cancel();
      },
      onItem: item => {
        timer.observe(item);
      },
    });
    const run = new AnswerRun({
      context: this.#context,
      request,
      signal: caller.signal,
      emit: item => caller.push(item),
    });
    caller.open();
    const due = setTimeout(() => {
      caller.interrupt(deadlineExceeded());
    }, request.deadline.leftMs);
    void complete(caller, run.run()).finally(() => {
      clearTimeout(due);
    });
    return caller.items;
  }

  override rejoin(
    id: string,
    customer: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    const caller = this.#caller(signal, {
      executed: () => 'unknown',
      onInterrupt: () => undefined,
    });
    caller.open();
    this.#context.ids.decode(id, customer).caseOf({
      Left: failure => {
        caller.finish({ kind: 'failure', failure });
      },
      Right: address => {
        const stream = new RejoinedStream({
          context: this.#context,
          address,
          after,
          signal: caller.signal,
          emit: item => caller.push(item),
        });
        void caller.push({ kind: 'started', id });
        void complete(caller, stream.run());
      },
    });
    return caller.items;
  }

  /** Methods for peers to call, by name. */
  peerMethods(): ReadonlyMap<string, PeerHandler> {
    return this.#context.moved.peerMethods();
  }

  #caller(
    signal: AbortSignal,
    hooks: Pick<
      ConstructorParameters<typeof CallerStream>[0],
      'executed' | 'onInterrupt' | 'onItem'
    >,
  ): CallerStream {
    const { buffer_bytes: bufferBytes, stall_ms: stallMs } =
      this.#context.settings;
    return new CallerStream({ signal, bufferBytes, stallMs, ...hooks });
  }

  #timer({ entitlement }: GenerationRequest): AnswerTimer {
    return new AnswerTimer(this.#context.options.metrics, {
      customer: entitlement.customer,
      class: entitlement.ranking.class,
      service: 'models',
    });
  }
}

/** Ends the caller's stream with what the run gives last. */
const complete = async (
  caller: CallerStream,
  run: Promise<StreamItem | undefined>,
): Promise<void> => {
  try {
    const last = await run;
    if (last !== undefined) caller.finish(last);
  } catch (error) {
    caller.interrupt(toFailure(error));
  }
};

/** A slow caller and a stopping instance leave the generation to a rejoin. */
const endsGeneration = (
  failure: Failure,
  request: GenerationRequest,
): boolean => {
  if (failure.code === 'slow_caller') return false;
  if (failure.code === 'shutting_down') return false;
  return failure.code !== 'caller_gone' || request.background !== true;
};

const deadlineExceeded = (): Failure =>
  new Failure('deadline_exceeded', 'the answer was not complete in time');
