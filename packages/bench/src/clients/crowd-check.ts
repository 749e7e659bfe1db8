/** Plays a crowd of clients and checks what must hold whatever they send. */
import type { ChildProcess } from 'node:child_process';
import { setTimeout as pause } from 'node:timers/promises';

import type { ExecutionContext } from 'ava';
import { request } from 'undici';

import { ClientCrowd } from './client-crowd.js';
import type { ClientCrowdOptions } from './client-crowd.js';
import { ProcessUsage } from './process-usage.js';

/** An ordinary request is sent again as the answer asks, this often at most. */
const maxTries = 20;
const defaultRetryAfterMs = 1_000;
const msPerSecond = 1_000;

/** These answers promise that the request has not run; callers come back after them. */
const refusals: ReadonlySet<number> = new Set([429, 503]);

/** A request of an ordinary client. */
export interface OrdinaryRequest {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** A process under test and the limits of its machine. */
export interface TestedProcess {
  readonly child: ChildProcess;
  readonly maxMegabytes: number;
  readonly maxDescriptors: number;
  readonly ordinaryRequests: readonly OrdinaryRequest[];
}

/** Returns the status of the first answer that is no refusal, or of the last try; 0 for none. */
const sendOrdinary = async (ordinary: OrdinaryRequest): Promise<number> => {
  const { url, ...options } = ordinary;
  let lastStatus = 0;
  for (let tries = 0; tries < maxTries; tries += 1) {
    const answer = await request(url, { ...options, reset: true }).catch(
      () => undefined,
    );
    await answer?.body.dump().catch(() => undefined);
    lastStatus = answer?.statusCode ?? 0;
    if (lastStatus !== 0 && !refusals.has(lastStatus)) break;
    const retryAfter = Number(answer?.headers['retry-after']);
    const isKnown = Number.isFinite(retryAfter);
    await pause(isKnown ? retryAfter * msPerSecond : defaultRetryAfterMs);
  }
  return lastStatus;
};

/**
 * Plays the crowd. The process has to live, to stay within the limits of its machine, and to
 * answer an ordinary request while the connections of the crowd are still open.
 */
export const checkCrowd = async (
  t: ExecutionContext,
  tested: TestedProcess,
  options: ClientCrowdOptions,
): Promise<void> => {
  const { child, maxMegabytes, maxDescriptors, ordinaryRequests } = tested;
  const usage = new ProcessUsage(child.pid ?? 0);
  const crowd = new ClientCrowd(options);
  t.teardown(() => {
    usage.close();
    crowd.close();
  });
  await crowd.send();
  await usage.update();
  t.is(child.exitCode ?? child.signalCode, null, 'the process ended');
  for (const ordinary of ordinaryRequests)
    t.is(await sendOrdinary(ordinary), 200, ordinary.url);
  await usage.update();
  t.is(child.exitCode ?? child.signalCode, null, 'the process ended');
  const { peakMegabytes, maxDescriptors: descriptors } = usage;
  t.log(`${peakMegabytes.toFixed(0)} MB, ${descriptors} descriptors at most`);
  t.true(peakMegabytes < maxMegabytes, `${peakMegabytes} MB`);
  t.true(descriptors < maxDescriptors, `${descriptors} descriptors`);
};
