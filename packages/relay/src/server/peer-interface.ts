/** HTTP server for JSON-RPC 2.0 calls from the other instances. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { PeerServer, rpcPath } from '@medlarlever/core';
import type { Kernel, Log } from '@medlarlever/core';
import { isJSONRPCRequest } from 'json-rpc-2.0';

import {
  forwardPath,
  maxForwardedBytes,
} from '../forwarding/forwarded-request.js';
import type { ForwardedRequestHandler } from '../forwarding/forwarded-request-handler.js';

import {
  closeHttpServer,
  openHttpServer,
  readBoundedBody,
} from './http-listener.js';

/** Peer connections without a request for this long are closed. */
const peerIdleTimeoutMs = 35_000;

/** Longest message of a peer; the longest are snapshots of all targets. */
const maxMessageBytes = 1024 * 1024;

/** Dependencies and listen address of the peer interface. */
export interface PeerInterfaceOptions {
  readonly kernel: Kernel;
  readonly log: Log;
  readonly serveForwardedRequest: ForwardedRequestHandler;
  readonly host: string;
  readonly port: number;
}

const sendStatus = (response: ServerResponse, status: number): void => {
  response.writeHead(status).end();
};

/** Reads a JSON message; sends the refusal and returns undefined if there is none. */
const readMessage = async (
  request: IncomingMessage,
  response: ServerResponse,
  maxBytes: number,
): Promise<unknown> => {
  const body = await readBoundedBody(request, maxBytes);
  if (body === undefined) {
    response.setHeader('connection', 'close');
    sendStatus(response, 413);
    return undefined;
  }
  try {
    return JSON.parse(body.toString()) as unknown;
  } catch {
    sendStatus(response, 400);
    return undefined;
  }
};

/** Starts serving calls from peers. Returns a function that stops the server. */
export const openPeerInterface = async (
  options: PeerInterfaceOptions,
): Promise<() => Promise<void>> => {
  const peerServer = new PeerServer(options.kernel.peerMethods);
  const serveCall = async (
    request: IncomingMessage,
    response: ServerResponse,
    from: string,
  ): Promise<void> => {
    const call = await readMessage(request, response, maxMessageBytes);
    if (call === undefined) return;
    if (!isJSONRPCRequest(call)) {
      sendStatus(response, 400);
      return;
    }
    const result = await peerServer.handleRequest(call, from);
    if (result === null) {
      sendStatus(response, 204);
      return;
    }
    if (result.error !== undefined) {
      options.log.writeEvent('step_failed', {
        step: call.method,
        from,
        reason: result.error.message,
      });
    }
    const text = JSON.stringify(result);
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  };
  const serveForwarded = async (
    request: IncomingMessage,
    response: ServerResponse,
    from: string,
  ): Promise<void> => {
    const message = await readMessage(request, response, maxForwardedBytes);
    if (message !== undefined)
      await options.serveForwardedRequest(message, from, response);
  };
  const servePath = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const from = String(request.headers['x-instance'] ?? '');
    if (request.method === 'POST' && request.url === rpcPath)
      await serveCall(request, response, from);
    else if (request.method === 'POST' && request.url === forwardPath)
      await serveForwarded(request, response, from);
    else sendStatus(response, 404);
  };
  const server = await openHttpServer({
    host: options.host,
    port: options.port,
    serverOptions: { keepAliveTimeout: peerIdleTimeoutMs, noDelay: true },
    onRequest: (request, response) => {
      servePath(request, response).catch(() => {
        response.destroy();
      });
    },
  });
  return async () => {
    const closed = closeHttpServer(server);
    server.closeAllConnections();
    await closed;
  };
};
