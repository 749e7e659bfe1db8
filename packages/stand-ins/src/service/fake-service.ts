/** A plain service in this process, for tests under a paused clock. */
import { Failure, Service, sleep } from '@medlarlever/core';
import type { ServiceResponse, ServiceCall } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ServiceModel } from './service-simulator.js';
import type { Execution, ServiceFaults } from './service-simulator.js';

export interface FakeServiceOptions {
  readonly name?: string;
  readonly service?: string;
  readonly dataCenter?: string;
  readonly incarnation?: number;
}

const failureOf = (executed: 'no' | 'unknown', message: string): Failure =>
  new Failure('target_failed', message, { executed });

/** Resolves when the deadline passes or the caller gives up. */
const waitOut = async ({ deadline }: ServiceCall, signal: AbortSignal) => {
  await sleep(deadline.remainingMs, signal);
};

export class FakeService extends Service {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCenter: string;
  readonly address: string;
  readonly service: string;
  readonly model: ServiceModel;
  readonly calls = { call: 0, probe: 0, reset: 0 };
  #silenced = new AbortController();

  constructor(readonly options: FakeServiceOptions = {}) {
    super();
    this.name = options.name ?? 'service-1';
    this.service = options.service ?? 'booking';
    this.dataCenter = options.dataCenter ?? 'dc-1';
    this.incarnation = `${this.name}#${options.incarnation ?? 1}`;
    this.address = `${this.name}:80`;
    this.model = new ServiceModel(this.service, () => {
      this.#silenced.abort();
    });
  }

  get faults(): ServiceFaults {
    return this.model.faults;
  }

  get executions(): readonly Execution[] {
    return this.model.executions;
  }

  crash(): void {
    this.model.crash();
  }

  /** The next incarnation of a crashed service. */
  restart(): FakeService {
    const incarnation = (this.options.incarnation ?? 1) + 1;
    return new FakeService({ ...this.options, incarnation });
  }

  override async callOperation(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Either<Failure, ServiceResponse>> {
    this.calls.call += 1;
    await Promise.resolve();
    if (this.model.crashed) return Left(this.#refused());
    if (signal.aborted) return Left(failureOf('no', 'aborted before sending'));
    const { id, customer, operation, body, idempotencyKey: key } = call;
    const run = this.model.run({ id, customer, operation, body, key });
    const given = AbortSignal.any([signal, this.#silenced.signal]);
    const waiting = new AbortController();
    const waited = waitOut(call, AbortSignal.any([given, waiting.signal]));
    const outcome = await Promise.race([run, waited]);
    waiting.abort();
    if (outcome === undefined) return Left(this.#noAnswer());
    return outcome.caseOf({
      Left: failure => Promise.resolve(Left(failure)),
      Right: async result => {
        if (result.kind === 'hung') await waitOut(call, given);
        if (result.kind !== 'answered') return Left(this.#noAnswer());
        return this.#answered(result.answer);
      },
    });
  }

  override async probeHealth(
    timeoutMs: number,
  ): Promise<Either<Failure, void>> {
    this.calls.probe += 1;
    await Promise.resolve();
    if (this.model.crashed) return Left(this.#refused());
    if (!this.faults.hang) return Right(undefined);
    await sleep(timeoutMs);
    return Left(failureOf('no', 'the service did not answer the probe'));
  }

  override resetConnections(): void {
    this.calls.reset += 1;
    this.#silenced.abort();
    if (!this.model.crashed) this.#silenced = new AbortController();
  }

  #answered(answer: ServiceResponse): Either<Failure, ServiceResponse> {
    if (answer.status < 500) return Right(answer);
    return Left(failureOf('unknown', `the service answered ${answer.status}`));
  }

  #noAnswer(): Failure {
    return failureOf('unknown', 'the connection broke before the answer');
  }

  #refused(): Failure {
    return failureOf('no', `connection to ${this.address} refused`);
  }
}
