/**
 * Posts a text and reads the answer. Messages between instances are frequent and small,
 * so neither streams nor abort signals are created for them.
 */
import type { Dispatcher, Pool } from 'undici';

import { OversizedBodyError } from '../shared/bounded-body.js';
import { ByteBlocks } from '../shared/byte-blocks.js';
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

/** Longest answer; the largest hold the targets and instances that a peer knows. */
const maxAnswerBytes = 8 * 1024 * 1024;

const createOversizedAnswerError = () =>
  new OversizedBodyError(`the answer is longer than ${maxAnswerBytes} bytes`);

/** Sends the message; rejects if there is no whole answer in time, or a longer one. */
export const postText = (
  pool: Pool,
  { path, headers, body, timeoutMs }: PostRequest,
): Promise<PostResponse> =>
  new Promise((resolve, reject) => {
    const answer = new ByteBlocks();
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
        onResponseData(responseController, chunk) {
          answer.append(chunk);
          if (answer.length > maxAnswerBytes)
            responseController.abort(createOversizedAnswerError());
        },
        onResponseEnd() {
          cancelTimeout();
          resolve({ status, text: answer.take().toString() });
        },
        onResponseError(_controller, error) {
          cancelTimeout();
          reject(error);
        },
      },
    );
  });
