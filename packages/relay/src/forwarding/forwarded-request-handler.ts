/** Serves requests that other instances hand over because they reach no target. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { BodyReader, Failure, waitForPendingReads } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';
import { Either } from 'purify-ts';

import type { Relay } from '../relay/relay.js';
import type { RelayRequest } from '../requests/relay-request.js';
import { getMaxBodyMemory } from '../server/body-memory.js';
import { HttpCaller } from '../server/http-caller.js';
import type { RequestDrainer } from '../server/request-drainer.js';

import {
  answerResult,
  decodeForwardedRequest,
  failureResult,
  maxForwardedBytes,
  resultHeaderName,
} from './forwarded-request.js';

/**
 * Share of the process memory that forwarded requests may take. Several instances may hand
 * over all of their requests at once.
 */
const forwardedMemoryShare = 0.1;

/** Longest pause between two parts of a forwarded request. */
const maxPauseMs = 3_000;

/** Dependencies of {@link createForwardedRequestHandler}. */
export interface ForwardedRequestHandlerOptions {
  readonly relay: Relay;
  readonly drainer: RequestDrainer;
  readonly log: Log;
  /** True if requests are taken from the address, the remote one of the connection. */
  readonly isAccepted: (remoteAddress: string | undefined) => boolean;
  /** Returns the memory limit of the process, if there is one. */
  readonly getMemoryBytes: () => number | undefined;
}

/** Answers a message of another instance, of which only the head has been read. */
export type ForwardedRequestHandler = (
  message: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Creates the handler of the peer interface. */
export const createForwardedRequestHandler = ({
  relay,
  drainer,
  log,
  isAccepted,
  getMemoryBytes,
}: ForwardedRequestHandlerOptions): ForwardedRequestHandler => {
  const bodyReader = new BodyReader(() =>
    getMaxBodyMemory(getMemoryBytes(), forwardedMemoryShare),
  );

  const serveRequest = async (
    message: IncomingMessage,
    from: string,
    caller: HttpCaller,
  ): Promise<void> => {
    const limits = { maxBytes: maxForwardedBytes, maxPauseMs };
    const body = await bodyReader.readBody(message, limits);
    if (body.isLeft()) {
      caller.sendFailure(body.extract());
      return;
    }
    const bytes = body.unsafeCoerce();
    try {
      const request = decodeRequest(bytes, from);
      // The sender may have given up while this instance did not read.
      await waitForPendingReads();
      if (request.isLeft()) caller.sendFailure(request.extract());
      else await relay.serve(request.unsafeCoerce(), caller);
    } finally {
      bodyReader.releaseBytes(bytes.length);
    }
  };

  return async (message, response) => {
    const from = String(message.headers['x-instance'] ?? '');
    const caller = createCaller(response);
    if (!isAccepted(message.socket.remoteAddress)) {
      caller.sendFailure(createForbiddenFailure());
      return;
    }
    const finishRequest = drainer.startRequest(() => {
      caller.abortResponse();
    });
    try {
      await serveRequest(message, from, caller);
    } catch (error) {
      log.writeEvent('step_failed', {
        step: 'forwarded request',
        from,
        reason: String(error),
      });
      endAfterDefect(caller, error);
    } finally {
      void caller.waitUntilSent().then(finishRequest);
    }
  };
};

const createCaller = (response: ServerResponse): HttpCaller =>
  new HttpCaller(response, {
    isClosing: () => false,
    resultHeader: {
      name: resultHeaderName,
      answer: answerResult,
      failure: failureResult,
    },
  });

/** Failure of a sender that may be no instance and so may not name a customer. */
const createForbiddenFailure = (): Failure =>
  new Failure(
    'forbidden',
    'requests are taken over only from the addresses of known instances',
  );

const decodeRequest = (
  bytes: Buffer,
  from: string,
): Either<Failure, RelayRequest> =>
  Either.encase(() =>
    decodeForwardedRequest(JSON.parse(bytes.toString('utf8')), from),
  ).mapLeft(
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
