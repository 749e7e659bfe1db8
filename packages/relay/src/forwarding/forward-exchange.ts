/** One forwarded request on a connection to another instance, and its answer. */
import type { Dispatcher } from 'undici';

import type { ResponseSink } from '../relay/target-client.js';

import {
  createUnknownAnswerFailure,
  decodeForwardedFailure,
} from './forwarded-failure.js';
import {
  answerResult,
  failureResult,
  resultHeaderName,
} from './forwarded-request.js';
import type { ForwardOutcome } from './request-forwarder.js';

/** An error body is short; more comes from no instance. */
const maxFailureBytes = 64 * 1024;

/** Longest declined answer that is read, so that the connection can be used again. */
const maxDiscardedBytes = 64 * 1024;

/** Headers of the connection between the instances. */
const connectionHeaderNames: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'date',
  resultHeaderName,
]);

type HeaderRecord = Readonly<Record<string, string | string[] | undefined>>;

const toRawHeaders = (headers: HeaderRecord): string[] =>
  Object.entries(headers)
    .filter(([name]) => !connectionHeaderNames.has(name))
    .flatMap(([name, value = []]) =>
      [value].flat().flatMap(item => [name, item]),
    );

/** Options of a {@link ForwardExchange}. */
export interface ForwardExchangeOptions {
  readonly sink: ResponseSink;
  /** Aborts the request and closes its connection. */
  readonly signal: AbortSignal;
  /** Called once, with the outcome. */
  readonly onEnd: (outcome: ForwardOutcome) => void;
}

/** Passes the answer to the sink as it arrives, or collects the failure. */
export class ForwardExchange implements Dispatcher.DispatchHandler {
  readonly #options: ForwardExchangeOptions;
  readonly #onAbort: () => void;
  #controller: Dispatcher.DispatchController | undefined;
  #phase: 'connecting' | 'sent' | 'answering' = 'connecting';
  #status = 0;
  #isAccepted = false;
  #discardedBytes = 0;
  /** Body of a failure of the other instance; undefined for an answer. */
  #failureText: string | undefined;

  constructor(options: ForwardExchangeOptions) {
    this.#options = options;
    this.#onAbort = () => {
      this.#end({ kind: 'aborted' });
      this.#abort('the request was aborted');
    };
    options.signal.addEventListener('abort', this.#onAbort, { once: true });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#options.signal.aborted) this.#abort('the request was aborted');
    else this.#phase = 'sent';
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderRecord,
  ): void {
    this.#phase = 'answering';
    this.#status = status;
    const result = headers[resultHeaderName];
    if (result === failureResult) {
      this.#failureText = '';
      return;
    }
    if (result !== answerResult) {
      this.#end({
        kind: 'failed',
        failure: createUnknownAnswerFailure(status),
      });
      this.#abort('the answer is not one of an instance');
      return;
    }
    this.#isAccepted = this.#options.sink.onHead({
      status,
      headers: toRawHeaders(headers),
      isCloseDelimited: false,
    });
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#failureText !== undefined) {
      this.#addFailureText(this.#failureText, chunk);
      return;
    }
    if (!this.#isAccepted) {
      this.#discard(chunk);
      return;
    }
    const { sink, signal } = this.#options;
    if (signal.aborted || sink.onData(chunk)) return;
    controller.pause();
    void sink.waitForDrain().then(() => {
      controller.resume();
    });
  }

  onResponseEnd(): void {
    const status = this.#status;
    if (this.#failureText !== undefined)
      this.#end({
        kind: 'failed',
        failure: decodeForwardedFailure(this.#failureText),
      });
    else this.#end({ kind: this.#isAccepted ? 'whole' : 'declined', status });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#end({ kind: 'broken', phase: this.#phase, reason: error.message });
  }

  #discard(chunk: Buffer): void {
    this.#discardedBytes += chunk.length;
    if (this.#discardedBytes <= maxDiscardedBytes) return;
    this.#end({ kind: 'declined', status: this.#status });
    this.#abort('the declined answer is too long');
  }

  #addFailureText(text: string, chunk: Buffer): void {
    this.#failureText = text + chunk.toString();
    if (this.#failureText.length > maxFailureBytes)
      this.#abort('the failure is too long');
  }

  #abort(reason: string): void {
    this.#controller?.abort(new Error(reason));
  }

  #end(outcome: ForwardOutcome): void {
    this.#options.signal.removeEventListener('abort', this.#onAbort);
    this.#options.onEnd(outcome);
  }
}
