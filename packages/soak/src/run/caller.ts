/**
 * A simulated caller. It sends one request after the other over one connection
 * and connects to a randomly picked instance after each incomplete response.
 */
import { randomUUID } from 'node:crypto';

import { sendAttempt } from '@medlarlever/platform/stand-ins';
import { Client } from 'undici';

import type { InstanceProcess } from '../processes/instance-process.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import type { Attempt, RequestKind } from './run-record.js';
import {
  routeHost,
  movingRoutePrefix,
  routePrefixes,
  requestTimeoutMs,
} from './configuration.js';

const requestKinds: readonly RequestKind[] = [
  'idempotent',
  'non_idempotent',
  'stream',
];

/**
 * Share of the requests that use the route whose service changes during the run
 * (`movingRoutePrefix`).
 */
const movingRouteProbability = 0.25;
/** Share of the requests whose caller disconnects early. */
const disconnectProbability = 0.05;

/** Longest pause between two requests of a caller, in milliseconds. */
const maxThinkTimeMs = 120;
/** Largest number of events that a stream request asks for. */
const maxEvents = 12;

/**
 * Milliseconds that callers wait beyond the request timeout for the response.
 */
const responseGraceMs = 1_500;

/** Prompts start with one of this many prefixes that all callers share. */
const sharedPrefixCount = 6;
const sharedPrefixTokens = 1_200;
const uniqueSuffixTokens = 150;

/**
 * Instances to call, source of random choices, and the list that receives the
 * attempts.
 */
export interface CallerOptions {
  readonly instances: readonly InstanceProcess[];
  readonly random: SeededRandom;
  readonly attempts: Attempt[];
}

/** Sends random requests of all kinds. */
export class Caller {
  #instance: InstanceProcess;
  #client: Client;

  constructor(private readonly options: CallerOptions) {
    this.#instance = options.random.pickItem(options.instances);
    this.#client = this.#createClient();
  }

  /** Sends requests until the signal aborts; the last request is completed. */
  async sendRequests(signal: AbortSignal): Promise<void> {
    const { random } = this.options;
    while (!signal.aborted) {
      const thinkMs = random.nextBetween(0, maxThinkTimeMs);
      await new Promise(resolve => setTimeout(resolve, thinkMs));
      const attempt = await this.#sendRequest();
      if (attempt.end?.whole !== true) this.#switchInstance();
    }
    await this.#client.destroy();
  }

  async #sendRequest(): Promise<Attempt> {
    const { random, attempts } = this.options;
    const attempt = this.#createAttempt();
    attempts.push(attempt);
    const disconnectController = new AbortController();
    const shouldDisconnect = random.nextBoolean(disconnectProbability);
    const timeoutMs = shouldDisconnect
      ? random.nextBetween(0, requestTimeoutMs / 2)
      : requestTimeoutMs + responseGraceMs;
    const disconnectTimer = setTimeout(() => {
      attempt.leftAtMs = performance.now();
      disconnectController.abort(new Error('the caller disconnected'));
    }, timeoutMs);
    const attemptRequest = {
      attempt: attempt.id,
      host: routeHost,
      method: attempt.kind === 'idempotent' ? 'GET' : 'POST',
      path: attempt.path,
      body: attempt.body,
      parts:
        attempt.kind === 'stream' ? this.#createPromptBlocks(attempt.id) : [],
      deadlineMs: requestTimeoutMs,
    } as const;
    attempt.end = await sendAttempt(
      this.#client,
      attemptRequest,
      disconnectController.signal,
    );
    clearTimeout(disconnectTimer);
    attempt.endedAtMs = performance.now();
    return attempt;
  }

  #createAttempt(): Attempt {
    const { random } = this.options;
    const usesMovingRoute = random.nextBoolean(movingRouteProbability);
    const kind = usesMovingRoute ? 'idempotent' : random.pickItem(requestKinds);
    const id = randomUUID().replaceAll('-', '').slice(0, 16);
    const eventCount = Math.ceil(random.nextBetween(1, maxEvents));
    const lastSegment = kind === 'stream' ? String(eventCount) : id;
    return {
      id,
      kind,
      method: kind === 'idempotent' ? 'GET' : 'POST',
      path: `${usesMovingRoute ? movingRoutePrefix : routePrefixes[kind]}${lastSegment}`,
      body: kind === 'idempotent' ? '' : `body of ${id}`,
      instance: this.#instance.name,
      life: this.#instance.startCount,
      sentAtMs: performance.now(),
      leftAtMs: undefined,
      endedAtMs: undefined,
      end: undefined,
    };
  }

  #createPromptBlocks(id: string) {
    const prefixNumber = Math.floor(
      this.options.random.nextBetween(1, sharedPrefixCount + 1),
    );
    return [
      { id: `5a${prefixNumber}`, tokens: sharedPrefixTokens },
      { id, tokens: uniqueSuffixTokens },
    ];
  }

  #switchInstance(): void {
    void this.#client.destroy();
    this.#instance = this.options.random.pickItem(this.options.instances);
    this.#client = this.#createClient();
  }

  #createClient(): Client {
    return new Client(`http://${this.#instance.address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}
