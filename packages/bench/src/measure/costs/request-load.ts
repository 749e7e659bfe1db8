/** Sends requests of one kind at a steady rate. */
import { sleep } from '@medlarlever/core';
import { sendAttempt } from '@medlarlever/platform/stand-ins';
import { Pool } from 'undici';

/** A kind of request. */
export interface RequestKind {
  readonly name: string;
  readonly path: string;
  /** Prompt segments of a generation. */
  readonly parts: readonly { readonly id: string; readonly tokens: number }[];
  readonly expectedStatus: number;
  readonly requestsPerSecond: number;
}

const routeHost = 'desk.example';
const deadlineMs = 4_000;
const connectionCount = 16;

/** Kinds of requests, each at a rate that keeps an instance partly busy. */
export const requestKinds = {
  plain: {
    name: 'plain request',
    path: '/rules/a',
    parts: [],
    expectedStatus: 200,
    requestsPerSecond: 150,
  },
  stream: {
    name: 'stream of 15 events',
    path: '/ask/15',
    parts: [
      { id: '5a1', tokens: 1_200 },
      { id: '5a2', tokens: 200 },
    ],
    expectedStatus: 200,
    requestsPerSecond: 60,
  },
  refused: {
    name: 'refused request',
    path: '/none/a',
    parts: [],
    expectedStatus: 503,
    requestsPerSecond: 150,
  },
} satisfies Record<string, RequestKind>;

let requestNumber = 0;

/** Sends requests for `durationMs`; returns how many got the expected status. */
export const sendLoad = async (
  url: string,
  kind: RequestKind,
  durationMs: number,
): Promise<{ sent: number; expected: number }> => {
  const pool = new Pool(url, {
    connections: connectionCount,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const startMs = performance.now();
  const pending: Promise<boolean>[] = [];
  const intervalMs = 1_000 / kind.requestsPerSecond;
  while (performance.now() - startMs < durationMs) {
    requestNumber += 1;
    const attemptRequest = {
      attempt: `a${requestNumber}`,
      host: routeHost,
      method: 'POST',
      path: kind.path,
      body: 'a body',
      parts: kind.parts,
      deadlineMs,
    } as const;
    pending.push(
      sendAttempt(pool, attemptRequest, new AbortController().signal).then(
        ({ status, whole }) => whole && status === kind.expectedStatus,
      ),
    );
    const dueMs = startMs + pending.length * intervalMs;
    await sleep(Math.max(0, dueMs - performance.now()));
  }
  const results = await Promise.all(pending);
  await pool.close();
  return { sent: results.length, expected: results.filter(Boolean).length };
};
