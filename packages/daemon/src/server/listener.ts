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
import type { OpenListener } from './listener-registry.js';

/** Nest's own log stays off: numbered events are the only log. */
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
  providers: kernel.componentNames.map((part): Provider => ({
    provide: part,
    useFactory: (): unknown => kernel.get(new InjectionToken<unknown>(part)),
  })),
});

/** Answers requests that never became one: trickled, oversized or broken. */
const rejectBrokenRequest = (error: Error, socket: Socket): void => {
  if (!socket.writable) return;
  const code = (error as { code?: string }).code;
  const timedOut = code === 'ERR_HTTP_REQUEST_TIMEOUT';
  const failure = timedOut
    ? new Failure('request_timeout', 'the request did not arrive in time')
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
    clientErrorHandler: rejectBrokenRequest,
    frameworkErrors: (error: Error, _: unknown, reply: unknown) => {
      sendFailure(reply as ErrorReply, classifyError(error));
    },
    routerOptions: { maxParamLength },
    // Node swaps the two limits when that of the headers is the longer one.
    http: {
      headersTimeout: requests.body_timeout_ms,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
    },
  });
};

const parseAddress = (address: string) => {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
};

export class Listener implements OpenListener {
  readonly #app: NestFastifyApplication;

  private constructor(app: NestFastifyApplication) {
    this.#app = app;
  }

  /** Builds the interface and listens on `ip:port`. */
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
    installBodyParser(fastify);
    await app.init();
    const { host, port } = parseAddress(address);
    await app.listen(port, host);
    return new Listener(app);
  }

  /** `ip:port` on which it listens. */
  get address(): string {
    const bound = this.#app.getHttpServer().address();
    if (bound === null || typeof bound === 'string') return String(bound);
    return `${bound.address}:${bound.port}`;
  }

  async close(): Promise<void> {
    await this.#app.close();
  }
}
