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
import { InjectToken } from '../kernel/daemon-kernel.js';
import {
  configurationHolderToken,
  configurationEditorToken,
} from '../kernel/tokens.js';
import type { JsonBody } from '../server/body-parser.js';
import { getOrThrow } from '../server/failure-filter.js';

const defaultHistoryLimit = 50;

/** Reading and changing the configuration. */
@Controller('operator')
@UseGuards(OperatorGuard)
export class ConfigurationController {
  constructor(
    @InjectToken(configurationHolderToken) readonly holder: ConfigurationHolder,
    @InjectToken(configurationEditorToken) readonly editor: ConfigurationEditor,
  ) {}

  @Get('configuration')
  getConfiguration() {
    const missing = new Failure('not_ready', 'no configuration has arrived');
    return getOrThrow(this.holder.getConfiguration().toEither(missing));
  }

  @Post('configuration')
  @HttpCode(200)
  async applyChange(
    @Req() { operator }: OperatorRequest,
    @Body() body: JsonBody,
  ) {
    const change = { ...(body.value as object), author: operator };
    return getOrThrow(await this.editor.apply(change));
  }

  @Get('operations/:id')
  async getOperation(@Param('id') id: string) {
    return getOrThrow(await this.editor.getOperationState(id));
  }

  @Get('history')
  async getHistory(@Query('limit') limit: string | undefined) {
    const count = limit === undefined ? defaultHistoryLimit : Number(limit);
    if (!Number.isInteger(count) || count < 1) {
      throw new Failure('invalid_request', 'limit: must be a whole number');
    }
    return getOrThrow(await this.editor.listRevisions(count));
  }
}
