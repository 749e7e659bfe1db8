/** HTTP server for JSON-RPC 2.0 calls from the other instances. */
import type { Readable } from 'node:stream';

import { NotificationServer, PeerServer, rpcPath } from '@medlarlever/core';
import type {
  BodyReader,
  ConnectionGuard,
  Kernel,
  Log,
} from '@medlarlever/core';
import Fastify from 'fastify';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { isJSONRPCRequest } from 'json-rpc-2.0';

import {
  customerForwardPath,
  forwardPath,
} from '../forwarding/forwarded-request.js';
import type { ForwardedRequestHandler } from '../forwarding/forwarded-request-handler.js';

import { noSchemaCompilers } from './no-schema-compilers.js';

/** Peer connections without a request for this long are closed. */
const peerIdleTimeoutMs = 35_000;

/** Limits of the body of one call. */
const callLimits = { maxBytes: 1_048_576, maxPauseMs: 5_000 };

/** Dependencies and listen address of the peer interface. */
export interface PeerInterfaceOptions {
  readonly kernel: Kernel;
  readonly log: Log;
  readonly serveForwardedRequest: ForwardedRequestHandler;
  readonly guard: ConnectionGuard;
  /** Reads the bodies of calls. */
  readonly bodyReader: BodyReader;
  readonly host: string;
  readonly port: number;
}

/** Reads the bodies of calls within the memory for them, which Fastify's own parser does not. */
const installCallParser = (
  fastify: FastifyInstance,
  bodyReader: BodyReader,
): void => {
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser(
    'application/json',
    async (_request: FastifyRequest, payload: Readable) => {
      const body = await bodyReader.readBody(payload, callLimits);
      const bytes = body
        .ifLeft(() => payload.resume())
        .caseOf({
          Left: ({ status, message }) => {
            throw Object.assign(new Error(message), { statusCode: status });
          },
          Right: value => value,
        });
      bodyReader.releaseBytes(bytes.length);
      return parseCall(bytes);
    },
  );
};

/** Parses a call; an object that is none if the bytes are no JSON object. */
const parseCall = (bytes: Buffer): object => {
  try {
    const value: unknown = JSON.parse(bytes.toString('utf8'));
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
};

/** Registers the paths of forwarded requests, whose handler reads the body itself. */
const registerForwarding = (
  scope: FastifyInstance,
  serveForwardedRequest: ForwardedRequestHandler,
): void => {
  scope.removeAllContentTypeParsers();
  scope.addContentTypeParser('*', (_request, _payload, done) => {
    done(null);
  });
  for (const path of [forwardPath, customerForwardPath]) {
    scope.post(path, async (request, reply) => {
      reply.hijack();
      await serveForwardedRequest(request.raw, reply.raw);
    });
  }
};

/** Starts serving calls from peers. Returns a function that stops the server. */
export const openPeerInterface = async (
  options: PeerInterfaceOptions,
): Promise<() => Promise<void>> => {
  const server = new PeerServer(options.kernel.peerMethods);
  const logFailedStep = (step: string, from: string, reason: string) => {
    options.log.writeEvent('step_failed', { step, from, reason });
  };
  const fastify = Fastify({
    forceCloseConnections: true,
    keepAliveTimeout: peerIdleTimeoutMs,
    schemaController: noSchemaCompilers,
  });
  installCallParser(fastify, options.bodyReader);
  fastify.post(rpcPath, async (request, reply) => {
    const call = request.body;
    if (!isJSONRPCRequest(call)) return reply.status(400).send();
    const from = String(request.headers['x-instance'] ?? '');
    const response = await server.handleRequest(call, from);
    if (response === null) return reply.status(204).send();
    if (response.error !== undefined)
      logFailedStep(call.method, from, response.error.message);
    return reply.send(response);
  });
  await fastify.register(scope => {
    registerForwarding(scope, options.serveForwardedRequest);
    return Promise.resolve();
  });
  const notifications = new NotificationServer({
    server: fastify.server,
    identifySender: ({ headers }) => String(headers['x-instance'] ?? ''),
    onNotification: (notification, from) => {
      void server.runNotification(notification, from).then(failure => {
        if (failure !== undefined)
          logFailedStep(notification.method, from, failure.message);
      });
    },
    onMalformed: from => {
      logFailedStep('notifications', from, 'a line is no notification');
    },
  });
  options.guard.watch(fastify.server);
  await fastify.listen({ host: options.host, port: options.port });
  return () => {
    notifications.close();
    return fastify.close();
  };
};
