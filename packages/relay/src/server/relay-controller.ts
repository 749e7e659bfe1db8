/** Nest controller that handles all caller requests, with any path and method. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { Failure, waitForPendingReads } from '@medlarlever/core';
import type { BodyReader } from '@medlarlever/core';
import { All, Controller, Inject, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';

import type { OverloadGuard } from '../relay/overload.js';
import type { Relay } from '../relay/relay.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { CallerLimits } from '../routes/route-configuration.js';

import type { CallerConnections } from './caller-connections.js';
import { discardBody, sendFailureResponse } from './failure-response.js';
import type { RequestDrainer } from './request-drainer.js';
import { HttpCaller } from './http-caller.js';
import type { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';
import type { RequestDecoder } from './request-decoder.js';
import {
  bodyReaderProvider,
  callerConnectionsProvider,
  requestDrainerProvider,
  eventLoopDelayMonitorProvider,
  overloadGuardProvider,
  relayProvider,
  requestDecoderProvider,
  routesProvider,
} from './nest-providers.js';

/** Smaller delays cannot be distinguished from ordinary turns of the event loop. */
const significantLoopDelayMs = 40;

/** Limits that apply until a configuration is known. */
const defaultLimits: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

const countHeaderBytes = (message: IncomingMessage): number =>
  message.rawHeaders.reduce(
    (total, headerPart) => total + headerPart.length + 2,
    0,
  );

const stripPort = (host: string): string =>
  host.replace(/:\d+$/, '').toLowerCase();

/** Reads, decodes and relays each request of a caller. */
@Controller()
export class RelayController {
  /** Sockets that have already sent a request. */
  readonly #seenSockets = new WeakSet<Socket>();

  constructor(
    @Inject(relayProvider) readonly relay: Relay,
    @Inject(routesProvider) readonly routes: RouteTableHolder,
    @Inject(requestDecoderProvider) readonly decoder: RequestDecoder,
    @Inject(bodyReaderProvider) readonly bodyReader: BodyReader,
    @Inject(requestDrainerProvider) readonly drainer: RequestDrainer,
    @Inject(eventLoopDelayMonitorProvider)
    readonly eventLoopDelayMonitor: EventLoopDelayMonitor,
    /** Refuses requests while the instance is behind; without it, the relay does. */
    @Inject(overloadGuardProvider) readonly overloadGuard: OverloadGuard | null,
    @Inject(callerConnectionsProvider) readonly connections: CallerConnections,
  ) {}

  @All()
  async handleRequest(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const message = request.raw;
    reply.hijack();
    const arrivedAtMs =
      performance.now() - this.eventLoopDelayMonitor.currentDelayMs;
    const admission = this.connections.admitRequest(message, reply.raw);
    const isAdmitted =
      admission instanceof Promise ? await admission : admission;
    if (!isAdmitted) return;
    if (this.#refuseIfBehind(message, request.originalUrl, reply.raw)) return;
    const caller = new HttpCaller(reply.raw, {
      isClosing: () => this.drainer.isClosing,
    });
    const finishRequest = this.drainer.startRequest(() => {
      caller.abortResponse();
    });
    try {
      await this.#serveRequest(
        message,
        request.originalUrl,
        caller,
        arrivedAtMs,
      );
    } finally {
      // A stop waits for callers that still read.
      void caller.waitUntilSent().then(finishRequest);
    }
  }

  /** Answers a request whose body is not read; the server discards the body. */
  #refuseIfBehind(
    message: IncomingMessage,
    url: string,
    response: ServerResponse,
  ): boolean {
    const { overloadGuard, decoder, drainer } = this;
    const failure = overloadGuard?.refuse(() => ({
      id: decoder.getId(message),
      host: stripPort(message.headers.host ?? ''),
      url,
    }));
    if (failure === undefined) return false;
    const closesConnection = drainer.isClosing;
    sendFailureResponse(response, failure, {
      closesConnection,
      endsAfter: closesConnection ? discardBody(message) : undefined,
    });
    return true;
  }

  async #serveRequest(
    message: IncomingMessage,
    url: string,
    caller: HttpCaller,
    arrivedAtMs: number,
  ): Promise<void> {
    const limits =
      this.routes.currentTable?.configuration.limits ?? defaultLimits;
    if (countHeaderBytes(message) > limits.headerBytes) {
      caller.sendFailure(
        new Failure(
          'headers_too_large',
          `the request headers are longer than the limit of ${limits.headerBytes} bytes`,
        ),
      );
      return;
    }
    const body = await this.bodyReader.readBody(message, {
      maxBytes: limits.bodyBytes,
      maxPauseMs: limits.idleTimeoutMs,
    });
    if (body.isLeft()) {
      const failure = body.extract();
      if (failure.code !== 'caller_gone') caller.refuseAndClose(failure);
      return;
    }
    const bodyBytes = body.extract() as Buffer;
    try {
      const decoded = this.decoder.decode(message, url, bodyBytes, arrivedAtMs);
      await this.#waitForPendingClose(message.socket);
      if (decoded.isLeft()) caller.sendFailure(decoded.extract());
      else await this.relay.serve(decoded.unsafeCoerce(), caller);
    } finally {
      this.bodyReader.releaseBytes(bodyBytes.length);
    }
  }

  /**
   * Waits until a disconnect that arrived together with the request has been
   * read, which takes the event loop one more turn. A disconnect may be pending
   * in two cases: when the event loop is delayed, and on a new connection. The
   * loop accepts one new connection per turn, so connections of a burst wait even
   * if the loop itself has no delay.
   */
  async #waitForPendingClose(socket: Socket): Promise<void> {
    const isNewConnection = !this.#seenSockets.has(socket);
    this.#seenSockets.add(socket);
    if (
      !isNewConnection &&
      this.eventLoopDelayMonitor.currentDelayMs < significantLoopDelayMs
    )
      return;
    await waitForPendingReads();
  }
}
