/** Runs a call of a plain service, at most once where it must not repeat. */
import type { Either } from 'purify-ts';

import type { Entitlement } from '../config/entitlement.js';
import type { TemplateOperation } from '../config/template.js';
import type { Failure } from '../shared/failure.js';
import type { Deadline } from '../shared/time.js';
import type { ServiceResponse } from '../target/target.js';

/** An admitted call of an operation. */
export interface OperationRequest {
  readonly id: string;
  readonly entitlement: Entitlement;
  readonly operation: TemplateOperation;
  /** JSON text as the caller sent it. */
  readonly body: string;
  readonly idempotencyKey?: string;
  readonly deadline: Deadline;
  /** Digest of customer, operation and body. */
  readonly fingerprint: string;
}

export interface OperationResponse extends ServiceResponse {
  /** True when it is the stored answer of an earlier run. */
  readonly isReplayed: boolean;
}

export abstract class ServiceDispatcher {
  abstract dispatch(
    request: OperationRequest,
    signal: AbortSignal,
  ): Promise<Either<Failure, OperationResponse>>;
}
