import { Failure } from '@medlarlever/core';
import { Controller, Get } from '@nestjs/common';

import { InjectToken } from '../kernel/daemon-kernel.js';
import { readinessToken } from '../kernel/tokens.js';

import type { Readiness } from './readiness.js';

/** Liveness and readiness endpoints for load balancers. */
@Controller()
export class HealthController {
  constructor(@InjectToken(readinessToken) readonly readiness: Readiness) {}

  @Get('healthz')
  getLiveness() {
    return { status: 'ok' };
  }

  @Get('readyz')
  getReadiness() {
    if (this.readiness.isReady) return { status: 'ready' };
    throw new Failure(
      this.readiness.isDraining ? 'shutting_down' : 'not_ready',
      'the instance accepts no requests; send them to another instance',
    );
  }
}
