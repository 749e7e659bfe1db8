/**
 * HTTP server for callers. Every path and method goes to one handler, so it needs no
 * router; paths and bodies are not parsed.
 */
import type { Server, ServerOptions } from 'node:http';
import type { Duplex } from 'node:stream';

import { Failure } from '@medlarlever/core';

import type { OverloadGuard } from '../relay/overload.js';
import type { Relay } from '../relay/relay.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';

import { BodyReader } from './body-reader.js';
import type { RequestDrainer } from './request-drainer.js';
import type { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';
import { RelayController } from './relay-controller.js';
import type { RequestDecoder } from './request-decoder.js';
import { closeHttpServer, openHttpServer } from './http-listener.js';

/**
 * Header size at which the connection is closed. It exceeds every configurable
 * limit on header bytes.
 */
const maxHeaderBytes = 64 * 1024;

const defaultHeaderTimeoutMs = 3_000;
const defaultIdleTimeoutMs = 15_000;
const connectionCheckIntervalMs = 1_000;

/** Maximum number of connections that wait to be accepted. */
const listenBacklog = 511;

/** Dependencies and listen address of {@link CallerServer}. */
export interface CallerServerOptions {
  readonly relay: Relay;
  readonly routes: RouteTableHolder;
  readonly decoder: RequestDecoder;
  readonly drainer: RequestDrainer;
  readonly eventLoopDelayMonitor: EventLoopDelayMonitor;
  readonly overloadGuard?: OverloadGuard;
  readonly host: string;
  readonly port: number;
}

const statusReasonPhrases: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

/** Sends an error response to an invalid HTTP request and closes the connection. */
const respondToInvalidRequest = (error: Error, socket: Duplex): void => {
  if (!socket.writable) return;
  const code = (error as { code?: string }).code;
  const failure =
    code === 'ERR_HTTP_REQUEST_TIMEOUT'
      ? new Failure(
          'request_timeout',
          'the request headers did not arrive in time',
        )
      : code === 'HPE_HEADER_OVERFLOW'
        ? new Failure(
            'headers_too_large',
            `the request headers are longer than the limit of ${maxHeaderBytes} bytes`,
          )
        : new Failure('malformed_body', 'the request is not valid HTTP');
  const body = JSON.stringify(failure.toBody());
  socket.end(
    `HTTP/1.1 ${failure.status} ${statusReasonPhrases[failure.status] ?? 'Refused'}\r\n` +
      'content-type: application/json\r\nconnection: close\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
};

const serverOptions: ServerOptions = {
  requestTimeout: 0,
  headersTimeout: defaultHeaderTimeoutMs,
  keepAliveTimeout: defaultIdleTimeoutMs,
  connectionsCheckingInterval: connectionCheckIntervalMs,
  maxHeaderSize: maxHeaderBytes,
  noDelay: true,
};

/** Listens for callers and passes their requests to the relay. */
export class CallerServer {
  private constructor(private readonly server: Server) {}

  /** Creates the server and starts listening. */
  static async open(options: CallerServerOptions): Promise<CallerServer> {
    const controller = new RelayController({
      ...options,
      bodyReader: new BodyReader(),
    });
    const { host, port, routes } = options;
    const server = await openHttpServer({
      host,
      port,
      backlog: listenBacklog,
      serverOptions,
      onRequest: (request, response) => {
        controller.handleRequest(request, response).catch(() => {
          response.destroy();
        });
      },
    });
    server.on('clientError', respondToInvalidRequest);
    routes.onTableChange(({ configuration }) => {
      server.keepAliveTimeout = configuration.limits.idleTimeoutMs;
      server.headersTimeout = configuration.limits.headerTimeoutMs;
    });
    return new CallerServer(server);
  }

  /** Port on which the server listens; 0 if it is not bound to a port. */
  get port(): number {
    const address = this.server.address();
    return address === null || typeof address === 'string' ? 0 : address.port;
  }

  /** Stops listening and waits until all connections are closed. */
  close(): Promise<void> {
    return closeHttpServer(this.server);
  }
}
