/**
 * A caller that sends one request after the other over a connection that it
 * keeps until it breaks; then it goes to another instance.
 */
import { randomUUID } from 'node:crypto';

import { sendAttempt } from '@medlarlever/platform/stand-ins';
import { Client } from 'undici';

import type { InstanceProcess } from '../processes/instance-process.js';
import type { Random } from '../shared/seeded-random.js';

import type { Attempt, RequestKind } from './run-record.js';
import { host, movingPrefix, prefixes, timeoutMs } from './configuration.js';

const kinds: readonly RequestKind[] = [
  'idempotent',
  'non_idempotent',
  'stream',
];

/** Part of requests on the route that moves, and of callers that leave. */
const movingShare = 0.25;
const leavingShare = 0.05;

const longestThinkMs = 120;
const mostEvents = 12;

/** Answers are waited for a little longer than asked. */
const answerGraceMs = 1_500;

const sharedParts = 6;
const sharedTokens = 1_200;
const ownTokens = 150;

export interface CallerOptions {
  readonly instances: readonly InstanceProcess[];
  readonly random: Random;
  readonly attempts: Attempt[];
}

export class Caller {
  #instance: InstanceProcess;
  #client: Client;

  constructor(private readonly options: CallerOptions) {
    this.#instance = options.random.pick(options.instances);
    this.#client = this.#open();
  }

  /** Sends until the signal aborts, then ends what is under way. */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.options;
    while (!signal.aborted) {
      const thinkMs = random.between(0, longestThinkMs);
      await new Promise(resolve => setTimeout(resolve, thinkMs));
      const attempt = await this.#send();
      if (attempt.end?.whole !== true) this.#move();
    }
    await this.#client.destroy();
  }

  async #send(): Promise<Attempt> {
    const { random, attempts } = this.options;
    const attempt = this.#nextAttempt();
    attempts.push(attempt);
    const left = new AbortController();
    const leaves = random.chance(leavingShare);
    const waitMs = leaves
      ? random.between(0, timeoutMs / 2)
      : timeoutMs + answerGraceMs;
    const timer = setTimeout(() => {
      attempt.leftAtMs = performance.now();
      left.abort(new Error('the caller left'));
    }, waitMs);
    const request = {
      attempt: attempt.id,
      host,
      method: attempt.kind === 'idempotent' ? 'GET' : 'POST',
      path: attempt.path,
      body: attempt.body,
      parts: attempt.kind === 'stream' ? this.#parts(attempt.id) : [],
      deadlineMs: timeoutMs,
    } as const;
    attempt.end = await sendAttempt(this.#client, request, left.signal);
    clearTimeout(timer);
    attempt.endedAtMs = performance.now();
    return attempt;
  }

  #nextAttempt(): Attempt {
    const { random } = this.options;
    const moving = random.chance(movingShare);
    const kind = moving ? 'idempotent' : random.pick(kinds);
    const id = randomUUID().replaceAll('-', '').slice(0, 16);
    const events = Math.ceil(random.between(1, mostEvents));
    const last = kind === 'stream' ? String(events) : id;
    return {
      id,
      kind,
      method: kind === 'idempotent' ? 'GET' : 'POST',
      path: `${moving ? movingPrefix : prefixes[kind]}${last}`,
      body: kind === 'idempotent' ? '' : `body of ${id}`,
      instance: this.#instance.name,
      life: this.#instance.life,
      sentAtMs: performance.now(),
      leftAtMs: undefined,
      endedAtMs: undefined,
      end: undefined,
    };
  }

  #parts(id: string) {
    const shared = Math.floor(this.options.random.between(1, sharedParts + 1));
    return [
      { id: `5a${shared}`, tokens: sharedTokens },
      { id, tokens: ownTokens },
    ];
  }

  #move(): void {
    void this.#client.destroy();
    this.#instance = this.options.random.pick(this.options.instances);
    this.#client = this.#open();
  }

  #open(): Client {
    return new Client(`http://${this.#instance.address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}
