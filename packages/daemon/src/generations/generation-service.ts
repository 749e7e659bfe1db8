/** Passes completion requests through admission to the dispatcher. */
import { createHash, randomUUID } from 'node:crypto';

import { Deadline, Failure, estimateTokens } from '@medlarlever/core';
import type {
  Admission,
  AdmissionRequest,
  AnswerItem,
  EntitledModel,
  Entitlement,
  GenerationDispatcher,
  GenerationRequest,
  RequestMetrics,
} from '@medlarlever/core';
import { Maybe } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { RequestLog } from '../requests/request-log.js';
import type { DemandTracker } from '../roles/demand-tracker.js';

import type { CompletionRequest } from './completion-requests.js';

/** Service name under which all models share one admission queue. */
export const modelServiceName = 'models';

const findModel = (
  entitlement: Entitlement,
  alias: string,
): Either<Failure, EntitledModel> =>
  Maybe.fromNullable(
    entitlement.models.find(model => model.alias === alias),
  ).toEither(
    new Failure(
      'unknown_model',
      `model "${alias}" is not available to this customer; available models: ${entitlement.models.map(model => model.alias).join(', ')}`,
    ),
  );

const computeFingerprint = (
  entitlement: Entitlement,
  model: EntitledModel,
  body: CompletionRequest,
): string =>
  createHash('sha256')
    .update(JSON.stringify([entitlement.customer, model.id, body.prompt]))
    .digest('hex');

/**
 * Converts a validated body into a generation request within the customer's
 * limits. Fails with `unknown_model` if the customer may not use the model.
 */
export const toGenerationRequest = (
  entitlement: Entitlement,
  body: CompletionRequest,
): Either<Failure, GenerationRequest> =>
  findModel(entitlement, body.model).map(model => ({
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
    fingerprint: computeFingerprint(entitlement, model, body),
  }));

export interface GenerationServiceOptions {
  readonly admission: Admission;
  readonly dispatcher: GenerationDispatcher;
  readonly requestLog: RequestLog;
  readonly metrics: RequestMetrics;
  readonly demandTracker: DemandTracker;
}

const createCallerGoneFailure = () =>
  new Failure('caller_gone', 'the caller went away', { executed: 'unknown' });

const toMetricLabels = ({ entitlement }: GenerationRequest) => ({
  customer: entitlement.customer,
  class: entitlement.ranking.class,
  service: modelServiceName,
});

const toAdmissionRequest = (request: GenerationRequest): AdmissionRequest => ({
  entitlement: request.entitlement,
  service: modelServiceName,
  deadline: request.deadline,
  promptTokens: request.promptTokens,
  outputTokens: request.maxTokens,
});

const toRequestEntry = ({ id, entitlement, model }: GenerationRequest) => ({
  id,
  customer: entitlement.customer,
  service: modelServiceName,
  subject: model.name,
  revision: entitlement.revision,
  startedAtMs: Date.now(),
});

/** Runs generations and records them in the request log and the metrics. */
export class GenerationService {
  readonly #options: GenerationServiceOptions;

  constructor(options: GenerationServiceOptions) {
    this.#options = options;
  }

  /**
   * Runs a request and yields its items. Records its start and its end in the
   * request log; a request without a final item ends there as `caller_gone`.
   */
  async *runRequest(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    const { requestLog, demandTracker } = this.#options;
    demandTracker.recordArrival(request);
    requestLog.recordStart(toRequestEntry(request));
    let failure: Failure | undefined = createCallerGoneFailure();
    try {
      for await (const item of this.#runAdmitted(request, signal)) {
        if (item.kind === 'failure') failure = item.failure;
        if (item.kind === 'end') failure = undefined;
        yield item;
      }
    } finally {
      requestLog.recordEnd(request.id, failure);
    }
  }

  /** Waits for an admission permit, runs the request and releases the permit. */
  async *#runAdmitted(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    const { admission, dispatcher, metrics } = this.#options;
    const permitResult = await admission.acquirePermit(
      toAdmissionRequest(request),
      signal,
    );
    if (permitResult.isLeft()) {
      const failure = permitResult.extract();
      metrics.countRefusal(modelServiceName, failure);
      yield { kind: 'failure', failure };
      return;
    }
    const { release, waitedMs } = permitResult.unsafeCoerce();
    metrics.observeQueueWait(toMetricLabels(request), waitedMs);
    try {
      yield* dispatcher.dispatchGeneration(request, signal);
    } finally {
      release();
    }
  }

  /** Resumes a stream of the customer; yields the chunks after index `after`. */
  rejoinStream(
    id: string,
    customer: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem> {
    return this.#options.dispatcher.resumeStream(id, customer, after, signal);
  }
}
