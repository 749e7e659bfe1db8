/** Dispatches operations and runs non-idempotent ones at most once per key. */
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

/** Signal for runs that continue after the caller disconnects. */
const neverAbortedSignal = new AbortController().signal;

/** Runs non-idempotent operations through the `IdempotentExecutor`. */
export class IdempotentDispatcher extends ServiceDispatcher {
  constructor(readonly options: IdempotentDispatcherOptions) {
    super();
  }

  override async dispatch(
    request: OperationRequest,
    signal: AbortSignal,
  ): Promise<Either<Failure, OperationResponse>> {
    const serviceCall = toServiceRun(request);
    if (!request.operation.idempotent)
      return this.#dispatchOnce(request, serviceCall, signal);
    const result = await this.options.runner.runCall(serviceCall, signal);
    return result.map(answer => ({ ...answer, isReplayed: false }));
  }

  #dispatchOnce(
    request: OperationRequest,
    serviceCall: ServiceCallRequest,
    signal: AbortSignal,
  ) {
    const { executor, runner } = this.options;
    const { entitlement, operation, body, deadline } = request;
    if (request.idempotencyKey === undefined) {
      return Promise.resolve(Left(createKeyRequiredFailure()));
    }
    const idempotentOperation = {
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
    return executor.execute(
      idempotentOperation,
      () => runner.runCall(serviceCall, neverAbortedSignal),
      signal,
    );
  }
}

const createKeyRequiredFailure = (): Failure =>
  new Failure(
    'key_required',
    'the operation requires an Idempotency-Key header',
  );

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
