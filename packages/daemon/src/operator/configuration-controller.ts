import { Failure } from '@medlarlever/core';
import type {
  ConfigurationEditor,
  ConfigurationHolder,
} from '@medlarlever/core';
import {
  Body,
  Controller,
  Get,
  HttpCode,
  Param,
  Post,
  Query,
  Req,
  UseGuards,
} from '@nestjs/common';

import { OperatorGuard } from '../auth/guards.js';
import type { OperatorRequest } from '../auth/guards.js';
import { InjectPart } from '../kernel/daemon-kernel.js';
import { configurationPart, editorPart } from '../kernel/tokens.js';
import type { JsonBody } from '../server/body-parser.js';
import { orThrow } from '../server/failure-filter.js';

const historyLimit = 50;

/** Reading and changing the configuration. */
@Controller('operator')
@UseGuards(OperatorGuard)
export class ConfigurationController {
  constructor(
    @InjectPart(configurationPart) readonly holder: ConfigurationHolder,
    @InjectPart(editorPart) readonly editor: ConfigurationEditor,
  ) {}

  @Get('configuration')
  current() {
    const missing = new Failure('not_ready', 'no configuration has arrived');
    return orThrow(this.holder.getConfiguration().toEither(missing));
  }

  @Post('configuration')
  @HttpCode(200)
  async apply(@Req() { operator }: OperatorRequest, @Body() body: JsonBody) {
    const change = { ...(body.value as object), author: operator };
    return orThrow(await this.editor.apply(change));
  }

  @Get('operations/:id')
  async operation(@Param('id') id: string) {
    return orThrow(await this.editor.getOperationState(id));
  }

  @Get('history')
  async history(@Query('limit') limit: string | undefined) {
    const count = limit === undefined ? historyLimit : Number(limit);
    if (!Number.isInteger(count) || count < 1) {
      throw new Failure('invalid_request', 'limit: must be a whole number');
    }
    return orThrow(await this.editor.listRevisions(count));
  }
}
