/** Dispatches operations: through the ledger where they must not repeat. */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type {
  ServiceCallRequest,
  ServiceRunner,
} from '../retries/service-runner.js';
import { Failure } from '../shared/failure.js';

import type { Ledger } from './idempotent-executor.js';
import { ServiceDispatcher } from './service-dispatcher.js';
import type {
  OperationAnswer,
  OperationRequest,
} from './service-dispatcher.js';

export interface LedgerDispatcherOptions {
  readonly ledger: Ledger;
  readonly runner: ServiceRunner;
}

const hourMs = 3_600_000;

/** Of a run that goes on when its caller leaves. */
const neverAborted = new AbortController().signal;

export class LedgerDispatcher extends ServiceDispatcher {
  constructor(readonly options: LedgerDispatcherOptions) {
    super();
  }

  override async dispatch(
    request: OperationRequest,
    signal: AbortSignal,
  ): Promise<Either<Failure, OperationAnswer>> {
    const run = serviceRunOf(request);
    if (!request.operation.idempotent) return this.#once(request, run, signal);
    const result = await this.options.runner.runCall(run, signal);
    return result.map(answer => ({ ...answer, repeated: false }));
  }

  #once(
    request: OperationRequest,
    run: ServiceCallRequest,
    signal: AbortSignal,
  ) {
    const { ledger, runner } = this.options;
    const { entitlement, operation, body, deadline } = request;
    if (request.idempotencyKey === undefined) {
      return Promise.resolve(Left(keyRequired()));
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
      () => runner.runCall(run, neverAborted),
      signal,
    );
  }
}

const keyRequired = (): Failure =>
  new Failure('key_required', 'the operation needs an Idempotency-Key');

const serviceRunOf = (request: OperationRequest): ServiceCallRequest => ({
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
