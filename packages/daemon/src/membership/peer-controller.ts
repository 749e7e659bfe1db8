/** HTTP endpoint for calls from other instances. */
import { Failure, rpcPath } from '@medlarlever/core';
import type { PeerServer } from '@medlarlever/core';
import {
  Body,
  Controller,
  Headers,
  Post,
  Res,
  UseGuards,
} from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { isJSONRPCRequest } from 'json-rpc-2.0';

import { PeerGuard } from '../auth/guards.js';
import { InjectToken } from '../kernel/daemon-kernel.js';
import { peerServerToken } from '../kernel/tokens.js';
import type { JsonBody } from '../server/body-parser.js';

/** JSON-RPC 2.0 endpoint for other instances; notifications get status 204. */
@Controller()
@UseGuards(PeerGuard)
export class PeerController {
  constructor(@InjectToken(peerServerToken) readonly server: PeerServer) {}

  @Post(rpcPath)
  async receive(
    @Body() body: JsonBody,
    @Headers('x-instance') callingInstance: string | undefined,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const request = body.value;
    if (!isJSONRPCRequest(request)) {
      throw new Failure(
        'invalid_request',
        'the body is not a JSON-RPC 2.0 request',
      );
    }
    const response = await this.server.handleRequest(
      request,
      callingInstance ?? '',
    );
    if (response === null) await reply.status(204).send();
    else await reply.status(200).send(response);
  }
}
