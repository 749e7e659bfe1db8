import { Failure, planRequestSchema } from '@medlarlever/core';
import type { Plan, PlanRequest, Planner } from '@medlarlever/core';
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

const parseRequest = (value: unknown): PlanRequest => {
  const parsed = planRequestSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new Failure('invalid_request', z.prettifyError(parsed.error));
};

/** Planned changes of targets. */
@Controller('operator/plans')
@UseGuards(OperatorGuard)
export class PlanController {
  constructor(@InjectPart(plannerPart) readonly planner: Planner) {}

  @Post()
  @HttpCode(200)
  async submit(
    @Req() { operator }: OperatorRequest,
    @Body() body: JsonBody,
  ): Promise<Plan> {
    const request = parseRequest(body.value);
    const { preview } = previewSchema.parse(body.value);
    return preview
      ? orThrow(this.planner.preview(request, operator))
      : orThrow(await this.planner.submit(request, operator));
  }

  @Get()
  async list(): Promise<readonly Plan[]> {
    return orThrow(await this.planner.list());
  }

  @Get(':id')
  async find(@Param('id') id: string): Promise<Plan> {
    return orThrow(await this.planner.find(id));
  }

  @Post(':id/cancel')
  @HttpCode(200)
  async cancel(@Param('id') id: string): Promise<Plan> {
    return orThrow(await this.planner.cancel(id));
  }
}
