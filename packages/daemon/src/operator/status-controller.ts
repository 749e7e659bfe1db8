import type {
  FairAdmission,
  FleetTargetDirectory,
  FleetWatcher,
  InstanceRegistry,
  LoadEstimator,
  RoleController,
} from '@medlarlever/core';
import { Controller, Get, Query, UseGuards } from '@nestjs/common';

import { OperatorGuard } from '../auth/guards.js';
import type { Readiness } from '../health/readiness.js';
import { InjectPart } from '../kernel/daemon-kernel.js';
import {
  admissionPart,
  directoryPart,
  fleetWatcherPart,
  loadBookPart,
  readinessPart,
  registryPart,
  requestLogPart,
  rolesPart,
} from '../kernel/tokens.js';
import type { RequestLog } from '../requests/request-log.js';

import { statusOf } from './status.js';

/** What there is and what runs. */
@Controller('operator')
@UseGuards(OperatorGuard)
export class StatusController {
  constructor(
    @InjectPart(registryPart) readonly registry: InstanceRegistry,
    @InjectPart(fleetWatcherPart) readonly fleet: FleetWatcher,
    @InjectPart(directoryPart) readonly directory: FleetTargetDirectory,
    @InjectPart(loadBookPart) readonly loads: LoadEstimator,
    @InjectPart(readinessPart) readonly readiness: Readiness,
    @InjectPart(requestLogPart) readonly requestLog: RequestLog,
    @InjectPart(admissionPart) readonly admission: FairAdmission,
    @InjectPart(rolesPart) readonly roles: RoleController,
  ) {}

  @Get('status')
  status() {
    return statusOf(this);
  }

  @Get('requests')
  requests(@Query('customer') customer: string | undefined) {
    return this.requestLog.list(customer);
  }
}
