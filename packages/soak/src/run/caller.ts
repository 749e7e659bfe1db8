/**
 * A simulated caller. It sends one request after the other over one connection
 * and connects to a randomly picked instance after each incomplete response.
 */
import { randomUUID } from 'node:crypto';

import { sendAttempt } from '@medlarlever/platform/stand-ins';
import type { StreamResumption } from '@medlarlever/platform/stand-ins';
import { Client } from 'undici';

import type { InstanceProcess } from '../processes/instance-process.js';
import type { SeededRandom } from '../shared/seeded-random.js';

import type { KeyPeriod } from './customer-keys.js';
import { listEventVersions } from './event-versions.js';
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

/** Share of the prompts with a part that crashes engines, while there is one. */
const badPromptProbability = 0.3;

const okStatus = 200;

/** Times that a caller takes a broken stream up again. */
const maxResumptions = 3;

/** Returns the id of the last event in the answer; 0 if there is none. */
const readLastEventId = ({ end }: Attempt): number =>
  Number(
    [...(end?.body ?? '').matchAll(/^id: (\d+)\n[^]*?\n\n/gm)].at(-1)?.[1] ?? 0,
  );

/** Returns how to go on after the last attempt of the stream that the first began. */
const createResumption = (
  first: Attempt,
  last: Attempt,
): StreamResumption | undefined => {
  const isBroken =
    first.kind === 'stream' &&
    first.leftAtMs === undefined &&
    last.leftAtMs === undefined;
  const lastEventId = readLastEventId(last);
  const eventCount = Number(first.path.split('/').at(-1));
  return isBroken && lastEventId > 0 && lastEventId < eventCount
    ? { firstAttempt: first.id, lastEventId }
    : undefined;
};

/**
 * Instances to call, source of random choices, and the list that receives the
 * attempts.
 */
export interface CallerOptions {
  readonly instances: readonly InstanceProcess[];
  readonly random: SeededRandom;
  readonly attempts: Attempt[];
  /** Picks the key of a request. */
  readonly pickKey: (random: SeededRandom) => KeyPeriod;
  /** Counts the decode engines of a software version that serve. */
  readonly countServing: (softwareVersion: string) => number;
  /** Returns the part of prompts that crashes engines at present, if there is one. */
  readonly getCrashingPart: () => string | undefined;
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
      const attempt = await this.#sendRequest(this.#createAttempt());
      if (attempt.end?.whole === true) continue;
      this.#switchInstance();
      await this.#takeUpStream(attempt);
    }
    await this.#client.destroy();
  }

  /** Takes a broken stream up again, each time at another instance. */
  async #takeUpStream(first: Attempt): Promise<void> {
    let last = first;
    for (let i = 0; i < maxResumptions; i += 1) {
      const resumption = createResumption(first, last);
      if (resumption === undefined) return;
      const [softwareVersion] = listEventVersions(first);
      const attempt = {
        ...this.#createAttempt('stream', first.path),
        body: first.body,
        promptParts: first.promptParts,
        resumption,
        servingOfVersion: this.options.countServing(softwareVersion ?? ''),
      };
      const { end } = await this.#sendRequest(attempt);
      if (end?.whole === true && end.status === okStatus) return;
      if (readLastEventId(attempt) > 0) last = attempt;
      this.#switchInstance();
    }
  }

  async #sendRequest(attempt: Attempt): Promise<Attempt> {
    const { random, attempts } = this.options;
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
      parts: attempt.promptParts.map((part, i, { length }) => ({
        id: part,
        tokens: i < length - 1 ? sharedPrefixTokens : uniqueSuffixTokens,
      })),
      deadlineMs: requestTimeoutMs,
      key: attempt.usedKey?.key,
      resumption: attempt.resumption,
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

  #createAttempt(fixedKind?: RequestKind, path?: string): Attempt {
    const { random } = this.options;
    const usesMovingRoute =
      fixedKind === undefined && random.nextBoolean(movingRouteProbability);
    const kind =
      fixedKind ??
      (usesMovingRoute ? 'idempotent' : random.pickItem(requestKinds));
    const id = randomUUID().replaceAll('-', '').slice(0, 16);
    const eventCount = Math.ceil(random.nextBetween(1, maxEvents));
    const lastSegment = kind === 'stream' ? String(eventCount) : id;
    return {
      id,
      kind,
      method: kind === 'idempotent' ? 'GET' : 'POST',
      path:
        path ??
        `${usesMovingRoute ? movingRoutePrefix : routePrefixes[kind]}${lastSegment}`,
      body: kind === 'idempotent' ? '' : `body of ${id}`,
      promptParts: kind === 'stream' ? this.#createPromptParts(id) : [],
      usedKey: this.options.pickKey(random),
      instance: this.#instance.name,
      life: this.#instance.startCount,
      lifeStartedAtMs: this.#instance.startedAtMs,
      sentAtMs: performance.now(),
      leftAtMs: undefined,
      endedAtMs: undefined,
      end: undefined,
    };
  }

  /** Lists the parts of a prompt: a shared one, at times a bad one, and its own. */
  #createPromptParts(id: string): string[] {
    const { random, getCrashingPart } = this.options;
    const prefixNumber = Math.floor(
      random.nextBetween(1, sharedPrefixCount + 1),
    );
    const prefix = `5a${prefixNumber}`;
    const crashingPart = getCrashingPart();
    if (crashingPart === undefined || !random.nextBoolean(badPromptProbability))
      return [prefix, id];
    return [...random.sampleItems([prefix, crashingPart], 2), id];
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
