/** A simulated plain service that counts how often each call ran. */
import { Failure, sleep } from '@medlarlever/core';
import type { ServiceResponse } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { createServiceAnswerBody } from '../shared/deterministic-outputs.js';

/** One execution of a call. */
export interface Execution {
  readonly id: string;
  readonly customer: string;
  readonly operation: string;
  readonly key: string | undefined;
  readonly atMs: number;
}

/** What reaches a service. */
export interface IncomingCall {
  readonly id: string;
  readonly customer: string;
  readonly operation: string;
  readonly key: string | undefined;
  readonly body: string;
}

/** Faults of a service; all off by default. */
export interface ServiceFaults {
  /** A body with this text crashes the service before it runs. */
  crashOn: string | undefined;
  /** A body with this text crashes the service after it ran. */
  crashAfter: string | undefined;
  /** Calls run but are never answered. */
  hang: boolean;
  /** Calls are refused unrun. */
  refuse: boolean;
  /** Calls run and end with status 500. */
  fail: boolean;
  slowMs: number;
  /** Calls to come that run but whose answer is lost. */
  loseAnswers: number;
  /** The service announces that it leaves. */
  leaving: boolean;
}

const createServiceFaults = (): ServiceFaults => ({
  crashOn: undefined,
  crashAfter: undefined,
  hang: false,
  refuse: false,
  fail: false,
  slowMs: 0,
  loseAnswers: 0,
  leaving: false,
});

/** How a run came out: an answer, nothing for good, or a broken connection. */
export type ExecutionOutcome =
  | { readonly kind: 'answered'; readonly answer: ServiceResponse }
  | { readonly kind: 'lost' }
  | { readonly kind: 'hung' };

export class ServiceSimulator {
  readonly faults = createServiceFaults();
  readonly executions: Execution[] = [];
  hasCrashed = false;

  constructor(
    readonly service: string,
    private readonly onCrash: () => void = () => undefined,
  ) {}

  /** Executions of a customer's key. */
  countExecutions(customer: string, key: string): number {
    return this.executions.filter(
      run => run.customer === customer && run.key === key,
    ).length;
  }

  /** Runs a call; `Left` only when it did not run. */
  async executeCall(
    call: IncomingCall,
  ): Promise<Either<Failure, ExecutionOutcome>> {
    const { faults } = this;
    if (faults.refuse) {
      return Left(new Failure('target_rejected', 'the service refuses calls'));
    }
    if (this.#containsMarker(faults.crashOn, call)) return this.crash();
    if (faults.slowMs > 0) await sleep(faults.slowMs);
    if (this.hasCrashed) return Right({ kind: 'lost' });
    this.#recordExecution(call);
    if (this.#containsMarker(faults.crashAfter, call)) return this.crash();
    if (faults.hang) return Right({ kind: 'hung' });
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      return Right({ kind: 'lost' });
    }
    return Right({ kind: 'answered', answer: this.#createAnswer(call) });
  }

  /** Kills the process; what runs there gets no answer. */
  crash(): Either<Failure, ExecutionOutcome> {
    this.hasCrashed = true;
    this.onCrash();
    return Right({ kind: 'lost' });
  }

  #containsMarker(marker: string | undefined, { body }: IncomingCall): boolean {
    return marker !== undefined && body.includes(marker);
  }

  #recordExecution({ id, customer, operation, key }: IncomingCall): void {
    this.executions.push({ id, customer, operation, key, atMs: Date.now() });
  }

  #createAnswer({
    operation,
    body,
    customer,
    key,
  }: IncomingCall): ServiceResponse {
    const run = key === undefined ? 1 : this.countExecutions(customer, key);
    return {
      status: this.faults.fail ? 500 : 200,
      contentType: 'application/json',
      body: createServiceAnswerBody(operation, body, run),
    };
  }
}
