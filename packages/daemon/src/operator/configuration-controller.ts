/** Operators' endpoints of the configuration and its history. */
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

/** Number of revisions returned if the query sets no limit. */
const defaultHistoryLimit = 50;

/** Reads and changes the configuration of the deployment. */
@Controller('operator')
@UseGuards(OperatorGuard)
export class ConfigurationController {
  constructor(
    @InjectToken(configurationHolderToken) readonly holder: ConfigurationHolder,
    @InjectToken(configurationEditorToken) readonly editor: ConfigurationEditor,
  ) {}

  @Get('configuration')
  getConfiguration() {
    const notReadyFailure = new Failure(
      'not_ready',
      'this instance has not loaded a configuration yet',
    );
    return getOrThrow(this.holder.getConfiguration().toEither(notReadyFailure));
  }

  /** Applies a change; its author is always the authenticated operator. */
  @Post('configuration')
  @HttpCode(200)
  async applyChange(
    @Req() { operator }: OperatorRequest,
    @Body() body: JsonBody,
  ) {
    const change = { ...(body.value as object), author: operator };
    return getOrThrow(await this.editor.apply(change));
  }

  /** Returns the state of an earlier change by its operation id. */
  @Get('operations/:id')
  async getOperation(@Param('id') id: string) {
    return getOrThrow(await this.editor.getOperationState(id));
  }

  @Get('history')
  async getHistory(@Query('limit') limit: string | undefined) {
    const count = limit === undefined ? defaultHistoryLimit : Number(limit);
    if (!Number.isInteger(count) || count < 1) {
      throw new Failure(
        'invalid_request',
        'limit: must be a whole number of at least 1',
      );
    }
    return getOrThrow(await this.editor.listRevisions(count));
  }
}
