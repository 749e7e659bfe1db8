/** HTTP endpoint of the operations of plain services. */
import type { ServerResponse } from 'node:http';

import type {
  Admission,
  OperationResponse,
  OperationRequest,
  ServiceDispatcher,
} from '@medlarlever/core';
import {
  Body,
  Controller,
  Headers,
  Param,
  Post,
  Req,
  Res,
  UseGuards,
} from '@nestjs/common';
import type { FastifyReply } from 'fastify';

import { CallerGuard } from '../auth/guards.js';
import type { CallerRequest } from '../auth/guards.js';
import type { Readiness } from '../health/readiness.js';
import { InjectToken } from '../kernel/daemon-kernel.js';
import {
  admissionToken,
  serviceDispatcherToken,
  readinessToken,
  requestLogToken,
} from '../kernel/tokens.js';
import type { RequestLog } from '../requests/request-log.js';
import type { JsonBody } from '../server/body-parser.js';
import { getOrThrow, sendFailure } from '../server/failure-filter.js';

import { toOperationRequest } from './operation-request.js';

/** Runs operations of plain services, which are services other than models. */
@Controller('v1/services')
@UseGuards(CallerGuard)
export class OperationController {
  constructor(
    @InjectToken(admissionToken) readonly admission: Admission,
    @InjectToken(serviceDispatcherToken)
    readonly serviceDispatcher: ServiceDispatcher,
    @InjectToken(readinessToken) readonly readiness: Readiness,
    @InjectToken(requestLogToken) readonly requestLog: RequestLog,
  ) {}

  @Post(':service/:operation')
  async callOperation(
    @Req() { entitlement }: CallerRequest,
    @Param('service') service: string,
    @Param('operation') operation: string,
    @Headers('idempotency-key') key: string | undefined,
    @Body() body: JsonBody | undefined,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const call = { service, operation, key, body };
    const request = getOrThrow(toOperationRequest(entitlement, call));
    const endRequest = getOrThrow(this.readiness.startRequest());
    try {
      await this.#runOperation(request, reply);
    } finally {
      endRequest();
    }
  }

  async #runOperation(
    request: OperationRequest,
    reply: FastifyReply,
  ): Promise<void> {
    const signal = createCallSignal(request, reply.raw);
    const permitResult = await this.admission.acquirePermit(
      {
        entitlement: request.entitlement,
        service: request.operation.service,
        deadline: request.deadline,
        promptTokens: 0,
        outputTokens: 0,
      },
      signal,
    );
    const { release } = getOrThrow(permitResult);
    this.requestLog.recordStart(toRequestEntry(request));
    try {
      const outcome = await this.serviceDispatcher.dispatch(request, signal);
      this.requestLog.recordEnd(request.id, outcome.swap().toMaybe().extract());
      outcome
        .ifLeft(failure => {
          sendFailure(reply, failure);
        })
        .ifRight(answer => {
          sendResponse(reply, request, answer);
        });
    } finally {
      release();
    }
  }
}

const toRequestEntry = ({ id, entitlement, operation }: OperationRequest) => ({
  id,
  customer: entitlement.customer,
  service: operation.service,
  subject: operation.operation,
  revision: entitlement.revision,
  startedAtMs: Date.now(),
});

const sendResponse = (
  reply: FastifyReply,
  { id }: OperationRequest,
  { status, contentType, body, isReplayed }: OperationResponse,
): void => {
  void reply
    .status(status)
    .header('content-type', contentType)
    .header('x-request-id', id)
    .header('idempotent-replayed', String(isReplayed))
    .send(body);
};

/**
 * Returns a signal that aborts an idempotent operation when its caller
 * disconnects. Any other operation continues, so that its result is stored and
 * returned when the caller repeats the idempotency key.
 */
const createCallSignal = (
  { operation }: OperationRequest,
  response: ServerResponse,
): AbortSignal => {
  const controller = new AbortController();
  if (operation.idempotent) {
    response.on('close', () => {
      if (!response.writableFinished) controller.abort();
    });
  }
  return controller.signal;
};
