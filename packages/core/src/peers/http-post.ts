/**
 * Posts a text and reads the answer. Messages between instances are frequent and small,
 * so neither streams nor abort signals are created for them.
 */
import type { Dispatcher, Pool } from 'undici';

import { startReadFirstTimeout } from '../shared/read-first-timeout.js';

/** A message to post. */
export interface PostRequest {
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: string;
  /** Time until the whole answer must have arrived. */
  readonly timeoutMs: number;
}

/** Status and body of the answer. */
export interface PostResponse {
  readonly status: number;
  readonly text: string;
}

/** Sends the message; rejects if there is no whole answer in time. */
export const postText = (
  pool: Pool,
  { path, headers, body, timeoutMs }: PostRequest,
): Promise<PostResponse> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let status = 0;
    let hasTimedOut = false;
    let controller: Dispatcher.DispatchController | undefined;
    const cancelTimeout = startReadFirstTimeout(() => {
      hasTimedOut = true;
      const error = new Error(`no answer within ${timeoutMs} ms`);
      reject(error);
      controller?.abort(error);
    }, timeoutMs);
    pool.dispatch(
      { method: 'POST', path, headers: [...headers], body },
      {
        onRequestStart(startedController) {
          controller = startedController;
          if (hasTimedOut) controller.abort(new Error('too late to send'));
        },
        onResponseStart(_controller, responseStatus) {
          status = responseStatus;
        },
        onResponseData(_controller, chunk) {
          chunks.push(chunk);
        },
        onResponseEnd() {
          cancelTimeout();
          const [first] = chunks;
          const content = chunks.length === 1 ? first : Buffer.concat(chunks);
          resolve({ status, text: content?.toString() ?? '' });
        },
        onResponseError(_controller, error) {
          cancelTimeout();
          reject(error);
        },
      },
    );
  });
