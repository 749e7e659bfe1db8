/** A simulated service that records every execution of a call. */
import { Failure, sleep } from '@medlarlever/core';
import type { ServiceResponse } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { createServiceAnswerBody } from '../shared/deterministic-outputs.js';

/** One execution of a call; `atMs` is in milliseconds since the Unix epoch. */
export interface Execution {
  readonly id: string;
  readonly customer: string;
  readonly operation: string;
  readonly key: string | undefined;
  readonly atMs: number;
}

/** A call that the service receives; `key` is the idempotency key. */
export interface IncomingCall {
  readonly id: string;
  readonly customer: string;
  readonly operation: string;
  readonly key: string | undefined;
  readonly body: string;
}

/** Faults of a service; all off by default. */
export interface ServiceFaults {
  /**
   * A call whose body contains this text crashes the service before it is
   * executed.
   */
  crashOn: string | undefined;
  /**
   * A call whose body contains this text crashes the service after it is
   * executed.
   */
  crashAfter: string | undefined;
  /** Calls are executed but never answered. */
  hang: boolean;
  /** Calls are refused without being executed. */
  refuse: boolean;
  /** Calls are executed and answered with status 500. */
  fail: boolean;
  /** Milliseconds before each execution. */
  slowMs: number;
  /** Number of further calls that are executed but whose answer is lost. */
  loseAnswers: number;
  /** The service announces its departure. */
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

/**
 * Outcome of an execution: an answer, a broken connection (`lost`), or no
 * answer ever (`hung`).
 */
export type ExecutionOutcome =
  | { readonly kind: 'answered'; readonly answer: ServiceResponse }
  | { readonly kind: 'lost' }
  | { readonly kind: 'hung' };

/** The simulated service, without any transport. */
export class ServiceSimulator {
  readonly faults = createServiceFaults();
  readonly executions: Execution[] = [];
  hasCrashed = false;

  constructor(
    readonly service: string,
    private readonly onCrash: () => void = () => undefined,
  ) {}

  /**
   * Returns how often calls with this idempotency key of the customer were
   * executed.
   */
  countExecutions(customer: string, key: string): number {
    return this.executions.filter(
      execution => execution.customer === customer && execution.key === key,
    ).length;
  }

  /** Executes a call; returns `Left` only when the call was not executed. */
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

  /** Crashes the service; unfinished calls get no answer. */
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
    const executionNumber =
      key === undefined ? 1 : this.countExecutions(customer, key);
    return {
      status: this.faults.fail ? 500 : 200,
      contentType: 'application/json',
      body: createServiceAnswerBody(operation, body, executionNumber),
    };
  }
}
