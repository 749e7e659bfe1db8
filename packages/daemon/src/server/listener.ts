/** One HTTP interface of the daemon: a Nest application on Fastify. */
import type { Socket } from 'node:net';

import { Failure, InjectionToken } from '@medlarlever/core';
import { Module } from '@nestjs/common';
import type {
  DynamicModule,
  NestApplicationOptions,
  Provider,
} from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyInstance } from 'fastify';

import type { DaemonKernel, InterfaceName } from '../kernel/daemon-kernel.js';
import { logToken, settingsToken } from '../kernel/tokens.js';

import { installBodyParser } from './body-parser.js';
import { FailureFilter, classifyError, sendFailure } from './failure-filter.js';
import type { ErrorReply } from './failure-filter.js';
import {
  createInterfaceBodyReader,
  createInterfaceGuard,
} from './interface-limits.js';
import type { OpenListener } from './listener-registry.js';

/** Nest's logger is disabled: the daemon writes only structured events. */
// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- Nest declares its options as a class
const nestOptions: NestApplicationOptions = {
  logger: false,
  bodyParser: false,
  abortOnError: false,
};

/** Stream ids are longer than Fastify's default of 100 characters. */
const maxParamLength = 1_024;

const timeoutCheckIntervalMs = 1_000;
const keepAliveTimeoutMs = 65_000;

@Module({})
class InterfaceModule {}

const createModule = (
  kernel: DaemonKernel,
  name: InterfaceName,
): DynamicModule => ({
  module: InterfaceModule,
  controllers: [...kernel.getControllers(name)],
  providers: kernel.componentNames.map((componentName): Provider => ({
    provide: componentName,
    useFactory: (): unknown =>
      kernel.get(new InjectionToken<unknown>(componentName)),
  })),
});

/**
 * Responds on the raw socket to input that Node's HTTP parser refuses: requests
 * that arrive too slowly, have too large headers or are not valid HTTP.
 */
const rejectInvalidRequest = (error: Error, socket: Socket): void => {
  if (!socket.writable) return;
  const code = (error as { code?: string }).code;
  const isTimeout = code === 'ERR_HTTP_REQUEST_TIMEOUT';
  const failure = isTimeout
    ? new Failure(
        'request_timeout',
        'the request did not arrive within requests.body_timeout_ms',
      )
    : new Failure('malformed_body', 'the request is not valid HTTP');
  const body = JSON.stringify(failure.toBody());
  socket.end(
    `HTTP/1.1 ${failure.status} Refused\r\n` +
      'content-type: application/json\r\nconnection: close\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
};

const createAdapter = (kernel: DaemonKernel): FastifyAdapter => {
  const { requests } = kernel.get(settingsToken);
  return new FastifyAdapter({
    bodyLimit: requests.max_body_bytes,
    requestTimeout: requests.body_timeout_ms,
    connectionTimeout: 0,
    keepAliveTimeout: keepAliveTimeoutMs,
    forceCloseConnections: 'idle',
    clientErrorHandler: rejectInvalidRequest,
    frameworkErrors: (error: Error, _: unknown, reply: unknown) => {
      sendFailure(reply as ErrorReply, classifyError(error));
    },
    routerOptions: { maxParamLength },
    // Same value as requestTimeout: Node swaps the two timeouts if headersTimeout
    // is the longer one.
    http: {
      headersTimeout: requests.body_timeout_ms,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
    },
  });
};

/** Splits `ip:port`; removes the brackets of an IPv6 address. */
const parseAddress = (address: string) => {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
};

/** One HTTP interface that accepts connections. */
export class Listener implements OpenListener {
  readonly #app: NestFastifyApplication;

  private constructor(app: NestFastifyApplication) {
    this.#app = app;
  }

  /**
   * Creates the Nest application with the controllers of the interface `name`
   * and listens on `address` (`ip:port`; port 0 picks a free port).
   */
  static async open(
    kernel: DaemonKernel,
    name: InterfaceName,
    address: string,
  ): Promise<Listener> {
    const adapter = createAdapter(kernel);
    const app = await NestFactory.create<NestFastifyApplication>(
      createModule(kernel, name),
      adapter,
      nestOptions,
    );
    app.useGlobalFilters(new FailureFilter(kernel.get(logToken)));
    const fastify = adapter.getInstance<FastifyInstance>();
    const bodyReader = createInterfaceBodyReader(kernel, name);
    const { requests } = kernel.get(settingsToken);
    installBodyParser(fastify, bodyReader, requests.body_timeout_ms);
    createInterfaceGuard(kernel, name).watch(fastify.server);
    await app.init();
    const { host, port } = parseAddress(address);
    await app.listen(port, host);
    return new Listener(app);
  }

  /** Bound address as `ip:port`. */
  get address(): string {
    const boundAddress = this.#app.getHttpServer().address();
    if (boundAddress === null || typeof boundAddress === 'string')
      return String(boundAddress);
    return `${boundAddress.address}:${boundAddress.port}`;
  }

  async close(): Promise<void> {
    await this.#app.close();
  }
}
