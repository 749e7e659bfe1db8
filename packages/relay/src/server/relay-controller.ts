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
import type { Drain } from './request-drainer.js';
import { HttpCaller } from './http-caller.js';
import type { LoopDelay } from './event-loop-delay-monitor.js';
import type { RequestDecoder } from './request-decoder.js';
import {
  bodyReaderToken,
  drainToken,
  loopDelayToken,
  relayToken,
  requestDecoderToken,
  routesToken,
} from './nest-providers.js';

/** A smaller delay of the event loop is not told from its usual turns. */
const noticeableDelayMs = 40;

/** Limits while no configuration is known. */
const firstLimits: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

const headerBytesOf = (message: IncomingMessage): number =>
  message.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

@Controller()
export class RelayController {
  /** Connections that had a request before. */
  readonly #known = new WeakSet<Socket>();

  constructor(
    @Inject(relayToken) readonly relay: Relay,
    @Inject(routesToken) readonly routes: RouteTableHolder,
    @Inject(requestDecoderToken) readonly decoder: RequestDecoder,
    @Inject(bodyReaderToken) readonly bodies: BodyReader,
    @Inject(drainToken) readonly drain: Drain,
    @Inject(loopDelayToken) readonly loopDelay: LoopDelay,
  ) {}

  @All()
  async handle(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const arrivedMs = performance.now() - this.loopDelay.currentMs;
    reply.hijack();
    const message = request.raw;
    const caller = new HttpCaller(reply.raw, () => this.drain.closing);
    const leave = this.drain.enter();
    try {
      await this.#serve(message, request.originalUrl, caller, arrivedMs);
    } finally {
      leave();
    }
  }

  async #serve(
    message: IncomingMessage,
    url: string,
    caller: HttpCaller,
    arrivedMs: number,
  ): Promise<void> {
    const limits =
      this.routes.currentTable?.configuration.limits ?? firstLimits;
    if (headerBytesOf(message) > limits.headerBytes) {
      caller.sendFailure(
        new Failure('headers_too_large', 'the headers are too long'),
      );
      return;
    }
    const body = await this.bodies.read(message, {
      bytes: limits.bodyBytes,
      pauseMs: limits.idleTimeoutMs,
    });
    if (body.isLeft()) {
      const failure = body.extract();
      if (failure.code !== 'caller_gone') caller.refuseAndClose(failure);
      return;
    }
    const bytes = body.extract() as Buffer;
    try {
      const decoded = this.decoder.decode(message, url, bytes, arrivedMs);
      await this.#seeLeaving(message.socket);
      if (decoded.isLeft()) caller.sendFailure(decoded.extract());
      else await this.relay.serve(decoded.unsafeCoerce(), caller);
    } finally {
      this.bodies.release(bytes.length);
    }
  }

  /**
   * The caller's close may lie unread behind its request: the event loop reads
   * it one turn later. That is so when the process is behind, and on a new
   * connection: the loop takes one of those in each turn, so that a burst of
   * them waits without any delay of the loop itself.
   */
  async #seeLeaving(socket: Socket): Promise<void> {
    const isNew = !this.#known.has(socket);
    this.#known.add(socket);
    if (!isNew && this.loopDelay.currentMs < noticeableDelayMs) return;
    await nextTurn();
    await nextTurn();
  }
}
