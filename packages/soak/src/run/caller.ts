/**
 * A caller that sends one request after the other over a connection that it
 * keeps until it breaks; then it goes to another instance.
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

/** Part of requests on the route that moves, and of callers that leave. */
const movingRouteProbability = 0.25;
const disconnectProbability = 0.05;

const maxThinkTimeMs = 120;
const maxEvents = 12;

/** Answers are waited for a little longer than asked. */
const responseGraceMs = 1_500;

const sharedPrefixCount = 6;
const sharedPrefixTokens = 1_200;
const uniqueSuffixTokens = 150;

export interface CallerOptions {
  readonly instances: readonly InstanceProcess[];
  readonly random: SeededRandom;
  readonly attempts: Attempt[];
}

export class Caller {
  #instance: InstanceProcess;
  #client: Client;

  constructor(private readonly options: CallerOptions) {
    this.#instance = options.random.pickItem(options.instances);
    this.#client = this.#createClient();
  }

  /** Sends until the signal aborts, then ends what is under way. */
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
    const left = new AbortController();
    const leaves = random.nextBoolean(disconnectProbability);
    const waitMs = leaves
      ? random.nextBetween(0, requestTimeoutMs / 2)
      : requestTimeoutMs + responseGraceMs;
    const timer = setTimeout(() => {
      attempt.leftAtMs = performance.now();
      left.abort(new Error('the caller left'));
    }, waitMs);
    const request = {
      attempt: attempt.id,
      host: routeHost,
      method: attempt.kind === 'idempotent' ? 'GET' : 'POST',
      path: attempt.path,
      body: attempt.body,
      parts:
        attempt.kind === 'stream' ? this.#createPromptBlocks(attempt.id) : [],
      deadlineMs: requestTimeoutMs,
    } as const;
    attempt.end = await sendAttempt(this.#client, request, left.signal);
    clearTimeout(timer);
    attempt.endedAtMs = performance.now();
    return attempt;
  }

  #createAttempt(): Attempt {
    const { random } = this.options;
    const moving = random.nextBoolean(movingRouteProbability);
    const kind = moving ? 'idempotent' : random.pickItem(requestKinds);
    const id = randomUUID().replaceAll('-', '').slice(0, 16);
    const events = Math.ceil(random.nextBetween(1, maxEvents));
    const last = kind === 'stream' ? String(events) : id;
    return {
      id,
      kind,
      method: kind === 'idempotent' ? 'GET' : 'POST',
      path: `${moving ? movingRoutePrefix : routePrefixes[kind]}${last}`,
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
    const shared = Math.floor(
      this.options.random.nextBetween(1, sharedPrefixCount + 1),
    );
    return [
      { id: `5a${shared}`, tokens: sharedPrefixTokens },
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
