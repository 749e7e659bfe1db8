/** A plain service over HTTP, as `docs/design/outside-protocols.md` says. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import type { Dispatcher } from 'undici';

import { Failure } from '../shared/failure.js';

import { failureOfAnswer } from './http-responses.js';
import {
  defaultConnectionSettings,
  failureOfError,
  HttpConnections,
} from './http-connections.js';
import type { HttpTargetOptions } from './http-engine.js';
import { Service } from './target.js';
import type { ServiceAnswer, ServiceCall } from './target.js';

export interface HttpServiceOptions extends HttpTargetOptions {
  readonly service: string;
}

/** From this status on the service did not answer the call itself. */
const firstFailureStatus = 500;

const headersOf = (call: ServiceCall): Record<string, string> => {
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

  override call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Either<Failure, ServiceAnswer>> {
    if (signal.aborted || call.deadline.passed) {
      const failure = new Failure('deadline_exceeded', 'the time was over');
      return Promise.resolve(Left(failure));
    }
    if (call.idempotencyKey === undefined) {
      return this.#send(this.#connections.streams, call, signal);
    }
    return this.#connections.withProven(client =>
      this.#send(client, call, signal),
    );
  }

  override probe(timeoutMs: number): Promise<Either<Failure, void>> {
    return this.#connections.probe(timeoutMs);
  }

  override reset(): void {
    this.#connections.reset();
  }

  async #send(
    dispatcher: Dispatcher,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Either<Failure, ServiceAnswer>> {
    if (signal.aborted || call.deadline.passed) {
      return Left(new Failure('deadline_exceeded', 'the time was over'));
    }
    const deadline = AbortSignal.timeout(call.deadline.leftMs);
    try {
      const answer = await dispatcher.request({
        method: 'POST',
        path: `/operations/${encodeURIComponent(call.operation)}`,
        headers: headersOf(call),
        body: call.body,
        signal: AbortSignal.any([signal, deadline]),
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      if (answer.statusCode >= firstFailureStatus) {
        return Left(await failureOfAnswer(answer));
      }
      return Right(await this.#read(answer));
    } catch (error) {
      return Left(
        deadline.aborted
          ? new Failure('deadline_exceeded', 'the service gave no answer', {
              executed: failureOfError(error).executed,
            })
          : failureOfError(error),
      );
    }
  }

  async #read(answer: Dispatcher.ResponseData): Promise<ServiceAnswer> {
    const contentType = answer.headers['content-type'];
    return {
      status: answer.statusCode,
      contentType:
        typeof contentType === 'string' ? contentType : 'application/json',
      body: await answer.body.text(),
    };
  }
}
