/** Interface for running operations of plain services. */
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

/** Answer of an operation. */
export interface OperationResponse extends ServiceResponse {
  /** True when the answer was stored by an earlier run. */
  readonly isReplayed: boolean;
}

/** Runs operations; a non-idempotent one runs at most once per key. */
export abstract class ServiceDispatcher {
  abstract dispatch(
    request: OperationRequest,
    signal: AbortSignal,
  ): Promise<Either<Failure, OperationResponse>>;
}
