import { Controller, Get, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { Registry } from 'prom-client';

import { InjectToken } from '../kernel/daemon-kernel.js';
import { metricsRegistryToken } from '../kernel/tokens.js';

/**
 * Prometheus metrics. They are served only on the operators' interface because
 * their labels contain the names of customers.
 */
@Controller()
export class MetricsController {
  constructor(@InjectToken(metricsRegistryToken) readonly registry: Registry) {}

  @Get('metrics')
  async getMetrics(@Res() reply: FastifyReply): Promise<void> {
    const text = await this.registry.metrics();
    await reply.header('content-type', this.registry.contentType).send(text);
  }
}
