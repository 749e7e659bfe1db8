/** Serves requests that other instances hand over because they reach no target. */
import type { ServerResponse } from 'node:http';

import { Failure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { Relay } from '../relay/relay.js';
import { HttpCaller } from '../server/http-caller.js';
import type { RequestDrainer } from '../server/request-drainer.js';

import {
  decodeForwardedRequest,
  failureHeaderName,
} from './forwarded-request.js';

/** Dependencies of {@link createForwardedRequestHandler}. */
export interface ForwardedRequestHandlerOptions {
  readonly relay: Relay;
  readonly drainer: RequestDrainer;
  readonly log: Log;
}

/** Answers the message of another instance on the response. */
export type ForwardedRequestHandler = (
  message: unknown,
  from: string,
  response: ServerResponse,
) => Promise<void>;

export const createForwardedRequestHandler =
  ({
    relay,
    drainer,
    log,
  }: ForwardedRequestHandlerOptions): ForwardedRequestHandler =>
  async (message, from, response) => {
    const caller = new HttpCaller(response, {
      isClosing: () => false,
      failureHeaders: [failureHeaderName, '1'],
      // The end of the connection would not tell the other instance a whole answer.
      endsByFraming: true,
    });
    const finishRequest = drainer.startRequest();
    try {
      await relay.serve(decodeForwardedRequest(message, from), caller);
    } catch (error) {
      log.writeEvent('step_failed', {
        step: 'forwarded request',
        from,
        reason: String(error),
      });
      caller.sendFailure(
        new Failure('malformed_body', 'the forwarded request is not valid'),
      );
    } finally {
      finishRequest();
    }
  };
