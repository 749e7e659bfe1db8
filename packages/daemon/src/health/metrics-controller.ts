import { Controller, Get, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { Registry } from 'prom-client';

import { InjectPart } from '../kernel/daemon-kernel.js';
import { metricsPart } from '../kernel/tokens.js';

/** Prometheus metrics; on the operators' interface as they name customers. */
@Controller()
export class MetricsController {
  constructor(@InjectPart(metricsPart) readonly registry: Registry) {}

  @Get('metrics')
  async metrics(@Res() reply: FastifyReply): Promise<void> {
    const text = await this.registry.metrics();
    await reply.header('content-type', this.registry.contentType).send(text);
  }
}
