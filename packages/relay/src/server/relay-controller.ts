/** Every request of callers, whatever its path and method. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { Failure } from '@medlarlever/core';
import { All, Controller, Inject, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';

import type { Relay } from '../relay/relay.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { CallerLimits } from '../routes/route-configuration.js';

import type { BodyReader } from './body-reader.js';
import type { RequestDrainer } from './request-drainer.js';
import { HttpCaller } from './http-caller.js';
import type { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';
import type { RequestDecoder } from './request-decoder.js';
import {
  bodyReaderProvider,
  requestDrainerProvider,
  eventLoopDelayMonitorProvider,
  relayProvider,
  requestDecoderProvider,
  routesProvider,
} from './nest-providers.js';

/** A smaller delay of the event loop is not told from its usual turns. */
const significantLoopDelayMs = 40;

/** Limits while no configuration is known. */
const defaultLimits: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

const countHeaderBytes = (message: IncomingMessage): number =>
  message.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

@Controller()
export class RelayController {
  /** Connections that had a request before. */
  readonly #seenSockets = new WeakSet<Socket>();

  constructor(
    @Inject(relayProvider) readonly relay: Relay,
    @Inject(routesProvider) readonly routes: RouteTableHolder,
    @Inject(requestDecoderProvider) readonly decoder: RequestDecoder,
    @Inject(bodyReaderProvider) readonly bodyReader: BodyReader,
    @Inject(requestDrainerProvider) readonly drainer: RequestDrainer,
    @Inject(eventLoopDelayMonitorProvider)
    readonly eventLoopDelayMonitor: EventLoopDelayMonitor,
  ) {}

  @All()
  async handleRequest(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const arrivedMs =
      performance.now() - this.eventLoopDelayMonitor.currentDelayMs;
    reply.hijack();
    const message = request.raw;
    const caller = new HttpCaller(reply.raw, () => this.drainer.isClosing);
    const leave = this.drainer.startRequest();
    try {
      await this.#serveRequest(message, request.originalUrl, caller, arrivedMs);
    } finally {
      leave();
    }
  }

  async #serveRequest(
    message: IncomingMessage,
    url: string,
    caller: HttpCaller,
    arrivedMs: number,
  ): Promise<void> {
    const limits =
      this.routes.currentTable?.configuration.limits ?? defaultLimits;
    if (countHeaderBytes(message) > limits.headerBytes) {
      caller.sendFailure(
        new Failure('headers_too_large', 'the headers are too long'),
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
    const bytes = body.extract() as Buffer;
    try {
      const decoded = this.decoder.decode(message, url, bytes, arrivedMs);
      await this.#waitForPendingClose(message.socket);
      if (decoded.isLeft()) caller.sendFailure(decoded.extract());
      else await this.relay.serve(decoded.unsafeCoerce(), caller);
    } finally {
      this.bodyReader.releaseBytes(bytes.length);
    }
  }

  /**
   * The caller's close may lie unread behind its request: the event loop reads
   * it one turn later. That is so when the process is behind, and on a new
   * connection: the loop takes one of those in each turn, so that a burst of
   * them waits without any delay of the loop itself.
   */
  async #waitForPendingClose(socket: Socket): Promise<void> {
    const isNew = !this.#seenSockets.has(socket);
    this.#seenSockets.add(socket);
    if (
      !isNew &&
      this.eventLoopDelayMonitor.currentDelayMs < significantLoopDelayMs
    )
      return;
    await nextTurn();
    await nextTurn();
  }
}
