/** Serves requests that other instances hand over because they reach no target. */
import type { ServerResponse } from 'node:http';

import { Failure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';
import { Either } from 'purify-ts';

import type { Relay } from '../relay/relay.js';
import type { RelayRequest } from '../requests/relay-request.js';
import { HttpCaller } from '../server/http-caller.js';
import type { RequestDrainer } from '../server/request-drainer.js';

import {
  answerResult,
  decodeForwardedRequest,
  failureResult,
  resultHeaderName,
} from './forwarded-request.js';

/** Dependencies of {@link createForwardedRequestHandler}. */
export interface ForwardedRequestHandlerOptions {
  readonly relay: Relay;
  readonly drainer: RequestDrainer;
  readonly log: Log;
  /** True if requests are taken from the address, the remote one of the connection. */
  readonly isAccepted: (remoteAddress: string | undefined) => boolean;
}

/** Answers the message of another instance on the response. */
export type ForwardedRequestHandler = (
  message: unknown,
  from: string,
  response: ServerResponse,
) => Promise<void>;

/** Creates the handler of the peer interface. */
export const createForwardedRequestHandler =
  ({
    relay,
    drainer,
    log,
    isAccepted,
  }: ForwardedRequestHandlerOptions): ForwardedRequestHandler =>
  async (message, from, response) => {
    const caller = new HttpCaller(response, {
      isClosing: () => false,
      resultHeader: {
        name: resultHeaderName,
        answer: answerResult,
        failure: failureResult,
      },
      // The end of the connection would not tell the other instance a whole answer.
      endsByFraming: true,
    });
    if (!isAccepted(response.socket?.remoteAddress)) {
      caller.sendFailure(createForbiddenFailure());
      return;
    }
    const finishRequest = drainer.startRequest();
    try {
      const request = decodeRequest(message, from);
      if (request.isLeft()) caller.sendFailure(request.extract());
      else await relay.serve(request.unsafeCoerce(), caller);
    } catch (error) {
      log.writeEvent('step_failed', {
        step: 'forwarded request',
        from,
        reason: String(error),
      });
      endAfterDefect(caller, error);
    } finally {
      finishRequest();
    }
  };

/** Failure of a sender that may be no instance and so may not name a customer. */
const createForbiddenFailure = (): Failure =>
  new Failure(
    'forbidden',
    'requests are taken over only from the addresses of known instances',
  );

const decodeRequest = (
  message: unknown,
  from: string,
): Either<Failure, RelayRequest> =>
  Either.encase(() => decodeForwardedRequest(message, from)).mapLeft(
    error =>
      new Failure('malformed_body', `the forwarded request: ${error.message}`),
  );

const endAfterDefect = (caller: HttpCaller, error: unknown): void => {
  if (caller.hasStarted) {
    caller.abortResponse();
    return;
  }
  caller.sendFailure(
    new Failure('target_failed', `the instance failed: ${String(error)}`, {
      executed: 'unknown',
    }),
  );
};
