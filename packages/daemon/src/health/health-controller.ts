import { Failure } from '@medlarlever/core';
import { Controller, Get } from '@nestjs/common';

import { InjectPart } from '../kernel/daemon-kernel.js';
import { readinessPart } from '../kernel/tokens.js';

import type { Readiness } from './readiness.js';

/** Liveness and readiness for the balancer. */
@Controller()
export class HealthController {
  constructor(@InjectPart(readinessPart) readonly readiness: Readiness) {}

  @Get('healthz')
  health() {
    return { status: 'ok' };
  }

  @Get('readyz')
  ready() {
    if (this.readiness.ready) return { status: 'ready' };
    throw new Failure(
      this.readiness.draining ? 'shutting_down' : 'not_ready',
      'the instance takes no requests',
    );
  }
}
