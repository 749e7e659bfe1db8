/** HTTP client of a plain service; see `docs/design/outside-protocols.md`. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import type { Dispatcher } from 'undici';

import { readBoundedText } from '../shared/bounded-body.js';
import type { BodyMemory } from '../shared/bounded-body.js';
import { Failure } from '../shared/failure.js';

import { readFailure } from './http-responses.js';
import {
  defaultConnectionSettings,
  toTargetFailure,
  HttpConnections,
} from './http-connections.js';
import type { HttpTargetOptions } from './http-engine.js';
import { Service } from './target.js';
import type { ServiceResponse, ServiceCall } from './target.js';

/** Longest answer of a service, which is held until it is whole. */
const maxAnswerBytes = 8 * 1024 * 1024;

/** Options of a target that also has a service name. */
export interface HttpServiceOptions extends HttpTargetOptions {
  readonly service: string;
  /** Shared by the services of a process; by default, none is. */
  readonly answerMemory?: BodyMemory;
}

/** Lowest status that is a failure; lower ones are answers of the service. */
const minFailureStatus = 500;

const createHeaders = (call: ServiceCall): Record<string, string> => {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': call.id,
    'x-customer': call.customer,
  };
  const { idempotencyKey } = call;
  if (idempotencyKey !== undefined) headers['idempotency-key'] = idempotencyKey;
  return headers;
};

/** Calls the operations of one service target. */
export class HttpService extends Service {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCenter: string;
  readonly address: string;
  readonly service: string;
  readonly #connections: HttpConnections;
  readonly #answerMemory: BodyMemory | undefined;

  constructor({ settings, answerMemory, ...member }: HttpServiceOptions) {
    super();
    this.#answerMemory = answerMemory;
    this.name = member.name;
    this.incarnation = member.incarnation;
    this.dataCenter = member.dataCenter;
    this.address = member.address;
    this.service = member.service;
    this.#connections = new HttpConnections(member.address, {
      ...defaultConnectionSettings,
      ...settings,
    });
  }

  override callOperation(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Either<Failure, ServiceResponse>> {
    if (signal.aborted || call.deadline.hasPassed) {
      const failure = new Failure(
        'deadline_exceeded',
        'the deadline passed before the call was sent',
      );
      return Promise.resolve(Left(failure));
    }
    if (call.idempotencyKey === undefined) {
      return this.#sendCall(this.#connections.streamDispatcher, call, signal);
    }
    return this.#connections.runOnCheckedConnection(client =>
      this.#sendCall(client, call, signal),
    );
  }

  override probeHealth(timeoutMs: number): Promise<Either<Failure, void>> {
    return this.#connections.probeHealth(timeoutMs);
  }

  override resetConnections(): void {
    this.#connections.closeAll();
  }

  async #sendCall(
    dispatcher: Dispatcher,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Either<Failure, ServiceResponse>> {
    if (signal.aborted || call.deadline.hasPassed) {
      return Left(
        new Failure(
          'deadline_exceeded',
          'the deadline passed before the call was sent',
        ),
      );
    }
    const deadlineSignal = AbortSignal.timeout(call.deadline.remainingMs);
    try {
      const response = await dispatcher.request({
        method: 'POST',
        path: `/operations/${encodeURIComponent(call.operation)}`,
        headers: createHeaders(call),
        body: call.body,
        signal: AbortSignal.any([signal, deadlineSignal]),
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      if (response.statusCode >= minFailureStatus) {
        return Left(await readFailure(response));
      }
      return Right(await this.#readResponse(response));
    } catch (error) {
      return Left(
        deadlineSignal.aborted
          ? new Failure(
              'deadline_exceeded',
              'the service did not answer before the deadline',
              {
                executed: toTargetFailure(error).executed,
              },
            )
          : toTargetFailure(error),
      );
    }
  }

  async #readResponse(
    response: Dispatcher.ResponseData,
  ): Promise<ServiceResponse> {
    const contentType = response.headers['content-type'];
    return {
      status: response.statusCode,
      contentType:
        typeof contentType === 'string' ? contentType : 'application/json',
      body: await readBoundedText(response.body, {
        maxBytes: maxAnswerBytes,
        memory: this.#answerMemory,
      }),
    };
  }
}
