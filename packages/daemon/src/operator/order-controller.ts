/** Operators' endpoints of the orders (commands) to engines. */
import { Failure } from '@medlarlever/core';
import type { CommandCoordinator, CommandRecord } from '@medlarlever/core';
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
import { commandCoordinatorToken } from '../kernel/tokens.js';
import type { JsonBody } from '../server/body-parser.js';
import { getOrThrow } from '../server/failure-filter.js';

const releaseSchema = z.object({
  orderId: z.string().min(1),
  reason: z.string().min(1).max(1_000),
});

/** Lists the orders to engines and releases orders that are stuck. */
@Controller('operator/orders')
@UseGuards(OperatorGuard)
export class OrderController {
  constructor(
    @InjectToken(commandCoordinatorToken)
    readonly commandCoordinator: CommandCoordinator,
  ) {}

  @Get()
  async listOrders(): Promise<readonly CommandRecord[]> {
    return getOrThrow(await this.commandCoordinator.listCommands());
  }

  /**
   * Releases a stuck order. The operator confirms with this call that no earlier
   * lease holder can still send the order.
   */
  @Post(':target/release')
  @HttpCode(200)
  async releaseOrder(
    @Param('target') target: string,
    @Req() { operator }: OperatorRequest,
    @Body() body: JsonBody,
  ): Promise<CommandRecord> {
    const parsed = releaseSchema.safeParse(body.value);
    if (!parsed.success) {
      throw new Failure('invalid_request', z.prettifyError(parsed.error));
    }
    const { orderId, reason } = parsed.data;
    const release = { target, orderId, operator, reason };
    return getOrThrow(await this.commandCoordinator.releaseCommand(release));
  }
}
