/** HTTP server for callers, built on Nest and Fastify; bodies are not parsed. */
import 'reflect-metadata';

import { BodyReader } from '@medlarlever/core';
import type { ConnectionGuard } from '@medlarlever/core';
import { Module } from '@nestjs/common';
import type { DynamicModule, NestApplicationOptions } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyInstance } from 'fastify';

import type { OverloadGuard } from '../relay/overload.js';
import type { Relay } from '../relay/relay.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';

import { getMaxBodyMemory } from './body-memory.js';
import { CallerConnections } from './caller-connections.js';
import type { RequestDrainer } from './request-drainer.js';
import type { EventLoopDelayMonitor } from './event-loop-delay-monitor.js';
import { maxHeaderBytes } from './invalid-request-response.js';
import { RelayController } from './relay-controller.js';
import { noSchemaCompilers } from './no-schema-compilers.js';
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

const defaultHeaderTimeoutMs = 3_000;
const defaultIdleTimeoutMs = 15_000;
const connectionCheckIntervalMs = 1_000;

/** Share of the process memory that bodies from callers may take. */
const callerMemoryShare = 0.2;

/** Maximum number of connections that wait to be accepted. */
const listenBacklog = 511;

/** Disables Nest's own log output; all logging uses the numbered events. */
// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- Nest declares its options as a class
const nestOptions: NestApplicationOptions = {
  logger: false,
  bodyParser: false,
  abortOnError: false,
};

@Module({})
class CallerModule {}

/** Dependencies and listen address of {@link CallerServer}. */
export interface CallerServerOptions {
  readonly relay: Relay;
  readonly routes: RouteTableHolder;
  readonly decoder: RequestDecoder;
  readonly drainer: RequestDrainer;
  readonly eventLoopDelayMonitor: EventLoopDelayMonitor;
  /** Returns the memory limit of the process, if there is one. */
  readonly getMemoryBytes?: () => number | undefined;
  readonly overloadGuard?: OverloadGuard;
  readonly guard: ConnectionGuard;
  readonly host: string;
  readonly port: number;
}

const createModule = (
  options: CallerServerOptions,
  connections: CallerConnections,
): DynamicModule => ({
  module: CallerModule,
  controllers: [RelayController],
  providers: [
    { provide: relayProvider, useValue: options.relay },
    { provide: routesProvider, useValue: options.routes },
    { provide: requestDecoderProvider, useValue: options.decoder },
    {
      provide: bodyReaderProvider,
      useValue: new BodyReader(() =>
        getMaxBodyMemory(options.getMemoryBytes?.(), callerMemoryShare),
      ),
    },
    { provide: requestDrainerProvider, useValue: options.drainer },
    {
      provide: eventLoopDelayMonitorProvider,
      useValue: options.eventLoopDelayMonitor,
    },
    { provide: callerConnectionsProvider, useValue: connections },
    { provide: overloadGuardProvider, useValue: options.overloadGuard ?? null },
  ],
});

const createFastifyAdapter = (connections: CallerConnections): FastifyAdapter =>
  new FastifyAdapter({
    requestTimeout: 0,
    connectionTimeout: 0,
    keepAliveTimeout: defaultIdleTimeoutMs,
    forceCloseConnections: 'idle',
    clientErrorHandler: (error, socket) => {
      void connections.handleInvalidRequest(error, socket);
    },
    // All paths are rewritten to a single route, so that Fastify neither decodes
    // nor rejects any path.
    rewriteUrl: () => '/',
    schemaController: noSchemaCompilers,
    http: {
      headersTimeout: defaultHeaderTimeoutMs,
      connectionsCheckingInterval: connectionCheckIntervalMs,
      maxHeaderSize: maxHeaderBytes,
      noDelay: true,
    },
  });

/** Listens for callers and passes their requests to the relay. */
export class CallerServer {
  readonly #app: NestFastifyApplication;

  private constructor(app: NestFastifyApplication) {
    this.#app = app;
  }

  /** Creates the server and starts listening. */
  static async open(options: CallerServerOptions): Promise<CallerServer> {
    const connections = new CallerConnections();
    const adapter = createFastifyAdapter(connections);
    const app = await NestFactory.create<NestFastifyApplication>(
      createModule(options, connections),
      adapter,
      nestOptions,
    );
    const fastify = adapter.getInstance<FastifyInstance>();
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser('*', (_request, _payload, done) => {
      done(null);
    });
    await app.init();
    const server = app.getHttpServer();
    connections.watchIdle(server);
    options.guard.watch(server);
    options.routes.onTableChange(({ configuration }) => {
      server.keepAliveTimeout = configuration.limits.idleTimeoutMs;
      server.headersTimeout = configuration.limits.headerTimeoutMs;
    });
    const { host, port } = options;
    await fastify.listen({ host, port, backlog: listenBacklog });
    return new CallerServer(app);
  }

  /** Port on which the server listens; 0 if it is not bound to a port. */
  get port(): number {
    const address = this.#app.getHttpServer().address();
    return address === null || typeof address === 'string' ? 0 : address.port;
  }

  /** Stops listening and waits until all connections are closed. */
  async close(): Promise<void> {
    await this.#app.close();
  }
}
