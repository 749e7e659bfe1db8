/** Dispatches operations: through the ledger where they must not repeat. */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type {
  ServiceCallRequest,
  ServiceRunner,
} from '../retries/service-runner.js';
import { Failure } from '../shared/failure.js';

import type { IdempotentExecutor } from './idempotent-executor.js';
import { ServiceDispatcher } from './service-dispatcher.js';
import type {
  OperationResponse,
  OperationRequest,
} from './service-dispatcher.js';

export interface IdempotentDispatcherOptions {
  readonly executor: IdempotentExecutor;
  readonly runner: ServiceRunner;
}

const hourMs = 3_600_000;

/** Of a run that goes on when its caller leaves. */
const neverAbortedSignal = new AbortController().signal;

export class IdempotentDispatcher extends ServiceDispatcher {
  constructor(readonly options: IdempotentDispatcherOptions) {
    super();
  }

  override async dispatch(
    request: OperationRequest,
    signal: AbortSignal,
  ): Promise<Either<Failure, OperationResponse>> {
    const run = toServiceRun(request);
    if (!request.operation.idempotent)
      return this.#dispatchOnce(request, run, signal);
    const result = await this.options.runner.runCall(run, signal);
    return result.map(answer => ({ ...answer, isReplayed: false }));
  }

  #dispatchOnce(
    request: OperationRequest,
    run: ServiceCallRequest,
    signal: AbortSignal,
  ) {
    const { executor: ledger, runner } = this.options;
    const { entitlement, operation, body, deadline } = request;
    if (request.idempotencyKey === undefined) {
      return Promise.resolve(Left(createKeyRequiredFailure()));
    }
    const entry = {
      name: {
        customer: entitlement.customer,
        service: operation.service,
        operation: operation.operation,
        key: request.idempotencyKey,
      },
      body,
      deadline,
      retentionMs: operation.retention_hours * hourMs,
      claimsPerMinute: entitlement.limits.claims_per_minute,
    };
    return ledger.execute(
      entry,
      () => runner.runCall(run, neverAbortedSignal),
      signal,
    );
  }
}

const createKeyRequiredFailure = (): Failure =>
  new Failure('key_required', 'the operation needs an Idempotency-Key');

const toServiceRun = (request: OperationRequest): ServiceCallRequest => ({
  service: request.operation.service,
  call: {
    id: request.id,
    customer: request.entitlement.customer,
    operation: request.operation.operation,
    body: request.body,
    idempotencyKey: request.idempotencyKey,
    deadline: request.deadline,
  },
  isIdempotent: request.operation.idempotent,
  attemptTimeoutMs: request.operation.timeout_ms,
  fingerprint: request.fingerprint,
});
