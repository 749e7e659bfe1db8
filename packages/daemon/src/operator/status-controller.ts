import type {
  FleetDirectory,
  FleetWatcher,
  InstanceRegistry,
  LoadBook,
} from '@medlarlever/core';
import { Controller, Get, Query, UseGuards } from '@nestjs/common';

import { OperatorGuard } from '../auth/guards.js';
import type { Readiness } from '../health/readiness.js';
import { InjectPart } from '../kernel/app.js';
import {
  directoryPart,
  fleetWatcherPart,
  loadBookPart,
  readinessPart,
  registryPart,
  requestLogPart,
  rolesPart,
} from '../kernel/parts.js';
import type { RequestLog } from '../requests/request-log.js';
import type { Roles } from '../roles/roles.js';

import { statusOf } from './status.js';

/** What there is and what runs. */
@Controller('operator')
@UseGuards(OperatorGuard)
export class StatusController {
  constructor(
    @InjectPart(registryPart) readonly registry: InstanceRegistry,
    @InjectPart(fleetWatcherPart) readonly fleet: FleetWatcher,
    @InjectPart(directoryPart) readonly directory: FleetDirectory,
    @InjectPart(loadBookPart) readonly loads: LoadBook,
    @InjectPart(readinessPart) readonly readiness: Readiness,
    @InjectPart(requestLogPart) readonly requestLog: RequestLog,
    @InjectPart(rolesPart) readonly roles: Roles,
  ) {}

  @Get('status')
  status() {
    const { registry, fleet, directory, loads, readiness } = this;
    const roles = this.roles.controller;
    return statusOf({ registry, fleet, directory, loads, readiness, roles });
  }

  @Get('requests')
  requests(@Query('customer') customer: string | undefined) {
    return this.requestLog.list(customer);
  }
}
