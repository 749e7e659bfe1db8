/**
 * A service client whose service is simulated in the same process, for tests
 * with a fake clock.
 */
import { Failure, Service, sleep } from '@medlarlever/core';
import type { ServiceResponse, ServiceCall } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ServiceSimulator } from './service-simulator.js';
import type { Execution, ServiceFaults } from './service-simulator.js';

/** Identity of a fake service; every field has a default. */
export interface FakeServiceOptions {
  readonly name?: string;
  readonly service?: string;
  readonly dataCenter?: string;
  readonly incarnation?: number;
}

const createTargetFailure = (
  executed: 'no' | 'unknown',
  message: string,
): Failure => new Failure('target_failed', message, { executed });

/** Resolves when the deadline of the call passes or the signal aborts. */
const waitForDeadline = async (
  { deadline }: ServiceCall,
  signal: AbortSignal,
) => {
  await sleep(deadline.remainingMs, signal);
};

/** Calls the simulated service directly and injects connection faults. */
export class FakeService extends Service {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCenter: string;
  readonly address: string;
  readonly service: string;
  readonly simulator: ServiceSimulator;
  readonly callCounts = { call: 0, probe: 0, reset: 0 };
  #resetController = new AbortController();

  constructor(readonly options: FakeServiceOptions = {}) {
    super();
    this.name = options.name ?? 'service-1';
    this.service = options.service ?? 'booking';
    this.dataCenter = options.dataCenter ?? 'dc-1';
    this.incarnation = `${this.name}#${options.incarnation ?? 1}`;
    this.address = `${this.name}:80`;
    this.simulator = new ServiceSimulator(this.service, () => {
      this.#resetController.abort();
    });
  }

  get faults(): ServiceFaults {
    return this.simulator.faults;
  }

  get executions(): readonly Execution[] {
    return this.simulator.executions;
  }

  /** Crashes the simulated service; open calls fail. */
  crash(): void {
    this.simulator.crash();
  }

  /** Creates the next incarnation of a crashed service, with empty state. */
  restart(): FakeService {
    const incarnation = (this.options.incarnation ?? 1) + 1;
    return new FakeService({ ...this.options, incarnation });
  }

  override async callOperation(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Either<Failure, ServiceResponse>> {
    this.callCounts.call += 1;
    await Promise.resolve();
    if (this.simulator.hasCrashed)
      return Left(this.#createConnectionRefusedFailure());
    if (signal.aborted)
      return Left(
        createTargetFailure('no', 'the call was aborted before it was sent'),
      );
    const { id, customer, operation, body, idempotencyKey: key } = call;
    const execution = this.simulator.executeCall({
      id,
      customer,
      operation,
      body,
      key,
    });
    const abortSignal = AbortSignal.any([signal, this.#resetController.signal]);
    const waitController = new AbortController();
    const deadlineWait = waitForDeadline(
      call,
      AbortSignal.any([abortSignal, waitController.signal]),
    );
    const outcome = await Promise.race([execution, deadlineWait]);
    waitController.abort();
    if (outcome === undefined) return Left(this.#createLostAnswerFailure());
    return outcome.caseOf({
      Left: failure => Promise.resolve(Left(failure)),
      Right: async result => {
        if (result.kind === 'hung') await waitForDeadline(call, abortSignal);
        if (result.kind !== 'answered')
          return Left(this.#createLostAnswerFailure());
        return this.#toResult(result.answer);
      },
    });
  }

  override async probeHealth(
    timeoutMs: number,
  ): Promise<Either<Failure, void>> {
    this.callCounts.probe += 1;
    await Promise.resolve();
    if (this.simulator.hasCrashed)
      return Left(this.#createConnectionRefusedFailure());
    if (!this.faults.hang) return Right(undefined);
    await sleep(timeoutMs);
    return Left(
      createTargetFailure('no', 'the service did not answer the probe'),
    );
  }

  override resetConnections(): void {
    this.callCounts.reset += 1;
    this.#resetController.abort();
    if (!this.simulator.hasCrashed)
      this.#resetController = new AbortController();
  }

  #toResult(answer: ServiceResponse): Either<Failure, ServiceResponse> {
    if (answer.status < 500) return Right(answer);
    return Left(
      createTargetFailure(
        'unknown',
        `the service answered with status ${answer.status}`,
      ),
    );
  }

  #createLostAnswerFailure(): Failure {
    return createTargetFailure(
      'unknown',
      'the connection broke before the answer',
    );
  }

  #createConnectionRefusedFailure(): Failure {
    return createTargetFailure('no', `connection to ${this.address} refused`);
  }
}
