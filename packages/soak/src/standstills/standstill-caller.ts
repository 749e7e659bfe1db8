/** Caller of a run with standstills: one request after another at changing instances. */
import {
  RawCaller,
  createRawHead,
  readSharedClockMs,
  sendAttempt,
} from '@medlarlever/platform/stand-ins';
import type { AttemptRequest } from '@medlarlever/platform/stand-ins';
import { Client } from 'undici';

import type { SeededRandom } from '../shared/seeded-random.js';

import {
  shortestHeaderTimeoutMs,
  shortestTimeoutMs,
  standstillHost,
} from './standstill-configuration.js';
import { streamKinds } from './standstill-record.js';
import type { CallerAttempt, StandstillKind } from './standstill-record.js';

/** An instance as callers see it. */
export interface CallerInstance {
  readonly name: string;
  readonly port: number;
}

/** Options of a {@link StandstillCaller}. */
export interface StandstillCallerOptions {
  readonly name: string;
  readonly instances: readonly CallerInstance[];
  readonly random: SeededRandom;
}

/** Share of each kind among all requests. */
const kindShares: readonly (readonly [StandstillKind, number])[] = [
  ['book', 0.4],
  ['tell', 0.25],
  ['ask', 0.25],
  ['read', 0.1],
];

/** Share of the requests that change to another instance. */
const moveShare = 0.2;
/** Share of one-time requests whose bytes the caller writes in two steps. */
const slowHeadShare = 0.4;
/** Longest wait between the two steps, in shares of the time for the head. */
const maxHeadShare = 0.9;

const eventGapMs = { min: 25, max: 150 };
const streamMs = { min: 500, max: 4_000 };
const workMs = { min: 10, max: 700 };
const promptTokens = { min: 50, max: 1_500 };
const sharedPartCount = 6;
const maxPauseMs = 150;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Sends requests until the signal aborts. */
export class StandstillCaller {
  readonly attempts: CallerAttempt[] = [];
  #client: Client | undefined;
  #instance: CallerInstance;
  #count = 0;

  constructor(private readonly options: StandstillCallerOptions) {
    this.#instance = options.random.pickItem(options.instances);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.options;
    while (!signal.aborted) {
      await sleep(random.nextBetween(0, maxPauseMs));
      const kind = this.#pickKind();
      const isSlow = kind === 'book' && random.nextBoolean(slowHeadShare);
      this.attempts.push(
        isSlow ? await this.#sendSlowly() : await this.#sendOnce(kind),
      );
    }
    await this.#client?.destroy();
  }

  #pickKind(): StandstillKind {
    let rest = this.options.random.nextFraction();
    for (const [kind, share] of kindShares) {
      rest -= share;
      if (rest < 0) return kind;
    }
    return 'read';
  }

  async #sendOnce(kind: StandstillKind): Promise<CallerAttempt> {
    const { client, isNew } = await this.#connect();
    const request = this.#createRequest(kind);
    const sentAtMs = readSharedClockMs();
    const outcome = await sendAttempt(
      client,
      request,
      AbortSignal.timeout(request.deadlineMs),
    );
    return {
      attempt: request.attempt,
      kind,
      instance: this.#instance.name,
      manner: isNew ? 'new' : 'kept',
      sentAtMs,
      endedAtMs: readSharedClockMs(),
      deadlineMs: request.deadlineMs,
      status: outcome.status,
      seal: outcome.seal,
      isWhole: outcome.whole,
      reason: outcome.reason,
    };
  }

  /** Keeps the connection, or changes to another instance. */
  async #connect(): Promise<{ client: Client; isNew: boolean }> {
    const { instances, random } = this.options;
    if (this.#client !== undefined && !random.nextBoolean(moveShare))
      return { client: this.#client, isNew: false };
    await this.#client?.destroy();
    this.#instance = random.pickItem(instances);
    this.#client = new Client(`http://127.0.0.1:${this.#instance.port}`, {
      pipelining: 1,
    });
    return { client: this.#client, isNew: true };
  }

  /** Writes the head in two parts, or opens the connection a while before it. */
  async #sendSlowly(): Promise<CallerAttempt> {
    const { instances, random } = this.options;
    const instance = random.pickItem(instances);
    const request = this.#createRequest('book');
    const { attempt, deadlineMs } = request;
    const head = createRawHead(request);
    const isInParts = random.nextBoolean(0.5);
    const firstLength = isInParts ? Math.floor(head.length / 2) : 0;
    const caller = new RawCaller(instance.port);
    if (isInParts) caller.write(head.slice(0, firstLength));
    await sleep(random.nextBetween(0, maxHeadShare * shortestHeaderTimeoutMs));
    const sentAtMs = readSharedClockMs();
    caller.write(head.slice(firstLength));
    const answer = await Promise.race([
      caller.readToEnd(),
      sleep(deadlineMs).then(() => caller.answer),
    ]);
    caller.close();
    return {
      attempt,
      kind: 'book',
      instance: instance.name,
      manner: isInParts ? 'in parts' : 'opened early',
      sentAtMs,
      endedAtMs: readSharedClockMs(),
      deadlineMs,
      status: answer.status,
      seal: answer.seal,
      isWhole: answer.isWhole,
      reason: '',
    };
  }

  #createRequest(kind: StandstillKind): AttemptRequest {
    const { name, random } = this.options;
    this.#count += 1;
    const attempt = `${name}-${this.#count}`;
    const isStream = streamKinds.has(kind);
    const gapMs = random.nextBetween(eventGapMs.min, eventGapMs.max);
    const eventCount = random.nextBetween(streamMs.min, streamMs.max) / gapMs;
    const work = isStream
      ? `${Math.ceil(eventCount)}/${Math.round(gapMs)}`
      : String(Math.round(random.nextBetween(workMs.min, workMs.max)));
    return {
      attempt,
      host: standstillHost,
      method: 'POST',
      path: `/${kind}/${work}`,
      body: 'a question',
      parts: isStream ? this.#createPrompt() : [],
      deadlineMs: isStream ? shortestTimeoutMs.stream : shortestTimeoutMs.plain,
    };
  }

  #createPrompt() {
    const { random } = this.options;
    const shared = Math.floor(random.nextBetween(1, sharedPartCount + 1));
    const own = Math.floor(random.nextFraction() * 2 ** 32);
    const pickTokens = () =>
      Math.round(random.nextBetween(promptTokens.min, promptTokens.max));
    return [
      { id: `a${shared}`, tokens: 500 },
      { id: `b${own.toString(16)}`, tokens: pickTokens() },
    ];
  }
}
