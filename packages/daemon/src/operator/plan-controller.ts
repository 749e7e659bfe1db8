/** Operators' endpoints of maintenance plans. */
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
import { InjectToken } from '../kernel/daemon-kernel.js';
import { planManagerToken } from '../kernel/tokens.js';
import type { JsonBody } from '../server/body-parser.js';
import { getOrThrow } from '../server/failure-filter.js';

const previewSchema = z.object({ preview: z.boolean().default(false) });

const parsePlanRequest = (value: unknown): MaintenancePlanRequest => {
  const parseResult = maintenancePlanRequestSchema.safeParse(value);
  if (parseResult.success) return parseResult.data;
  throw new Failure('invalid_request', z.prettifyError(parseResult.error));
};

/** Creates, lists and cancels maintenance plans of targets. */
@Controller('operator/plans')
@UseGuards(OperatorGuard)
export class PlanController {
  constructor(
    @InjectToken(planManagerToken) readonly planManager: PlanManager,
  ) {}

  /** Submits a plan, or only computes it if `preview` is set in the body. */
  @Post()
  @HttpCode(200)
  async submitPlan(
    @Req() { operator }: OperatorRequest,
    @Body() body: JsonBody,
  ): Promise<MaintenancePlan> {
    const request = parsePlanRequest(body.value);
    const { preview } = previewSchema.parse(body.value);
    return preview
      ? getOrThrow(this.planManager.previewPlan(request, operator))
      : getOrThrow(await this.planManager.submitPlan(request, operator));
  }

  @Get()
  async listPlans(): Promise<readonly MaintenancePlan[]> {
    return getOrThrow(await this.planManager.listPlans());
  }

  @Get(':id')
  async findPlan(@Param('id') id: string): Promise<MaintenancePlan> {
    return getOrThrow(await this.planManager.findPlan(id));
  }

  @Post(':id/cancel')
  @HttpCode(200)
  async cancelPlan(@Param('id') id: string): Promise<MaintenancePlan> {
    return getOrThrow(await this.planManager.cancelPlan(id));
  }
}
