/** A plain service over HTTP, as `docs/design/outside-protocols.md` says. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import type { Dispatcher } from 'undici';

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

export interface HttpServiceOptions extends HttpTargetOptions {
  readonly service: string;
}

/** From this status on the service did not answer the call itself. */
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

export class HttpService extends Service {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCenter: string;
  readonly address: string;
  readonly service: string;
  readonly #connections: HttpConnections;

  constructor({ settings, ...member }: HttpServiceOptions) {
    super();
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
      const failure = new Failure('deadline_exceeded', 'the time was over');
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
      return Left(new Failure('deadline_exceeded', 'the time was over'));
    }
    const deadline = AbortSignal.timeout(call.deadline.remainingMs);
    try {
      const answer = await dispatcher.request({
        method: 'POST',
        path: `/operations/${encodeURIComponent(call.operation)}`,
        headers: createHeaders(call),
        body: call.body,
        signal: AbortSignal.any([signal, deadline]),
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      if (answer.statusCode >= minFailureStatus) {
        return Left(await readFailure(answer));
      }
      return Right(await this.#readResponse(answer));
    } catch (error) {
      return Left(
        deadline.aborted
          ? new Failure('deadline_exceeded', 'the service gave no answer', {
              executed: toTargetFailure(error).executed,
            })
          : toTargetFailure(error),
      );
    }
  }

  async #readResponse(
    answer: Dispatcher.ResponseData,
  ): Promise<ServiceResponse> {
    const contentType = answer.headers['content-type'];
    return {
      status: answer.statusCode,
      contentType:
        typeof contentType === 'string' ? contentType : 'application/json',
      body: await answer.body.text(),
    };
  }
}
