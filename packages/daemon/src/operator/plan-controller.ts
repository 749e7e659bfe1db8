import { Failure, maintenancePlanRequestSchema } from '@medlarlever/core';
import type {
  MaintenancePlan,
  MaintenancePlanRequest,
  PlanManager,
} from '@medlarlever/core';
import {
  Body,
  Controller,
  Get,
  HttpCode,
  Param,
  Post,
  Req,
  UseGuards,
} from '@nestjs/common';
import { z } from 'zod';

import { OperatorGuard } from '../auth/guards.js';
import type { OperatorRequest } from '../auth/guards.js';
import { InjectPart } from '../kernel/daemon-kernel.js';
import { plannerPart } from '../kernel/tokens.js';
import type { JsonBody } from '../server/body-parser.js';
import { orThrow } from '../server/failure-filter.js';

const previewSchema = z.object({ preview: z.boolean().default(false) });

const parseRequest = (value: unknown): MaintenancePlanRequest => {
  const parsed = maintenancePlanRequestSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new Failure('invalid_request', z.prettifyError(parsed.error));
};

/** Planned changes of targets. */
@Controller('operator/plans')
@UseGuards(OperatorGuard)
export class PlanController {
  constructor(@InjectPart(plannerPart) readonly planner: PlanManager) {}

  @Post()
  @HttpCode(200)
  async submit(
    @Req() { operator }: OperatorRequest,
    @Body() body: JsonBody,
  ): Promise<MaintenancePlan> {
    const request = parseRequest(body.value);
    const { preview } = previewSchema.parse(body.value);
    return preview
      ? orThrow(this.planner.previewPlan(request, operator))
      : orThrow(await this.planner.submitPlan(request, operator));
  }

  @Get()
  async list(): Promise<readonly MaintenancePlan[]> {
    return orThrow(await this.planner.listPlans());
  }

  @Get(':id')
  async find(@Param('id') id: string): Promise<MaintenancePlan> {
    return orThrow(await this.planner.findPlan(id));
  }

  @Post(':id/cancel')
  @HttpCode(200)
  async cancel(@Param('id') id: string): Promise<MaintenancePlan> {
    return orThrow(await this.planner.cancelPlan(id));
  }
}
