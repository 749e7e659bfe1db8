/** Operators' endpoints of the status and of the requests. */
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
import { InjectToken } from '../kernel/daemon-kernel.js';
import {
  admissionToken,
  fleetDirectoryToken,
  fleetWatcherToken,
  loadEstimatorToken,
  readinessToken,
  instanceRegistryToken,
  requestLogToken,
  roleControllerToken,
} from '../kernel/tokens.js';
import type { RequestLog } from '../requests/request-log.js';

import { buildStatus } from './status.js';

/** Returns the status of the deployment and the requests of this instance. */
@Controller('operator')
@UseGuards(OperatorGuard)
export class StatusController {
  constructor(
    @InjectToken(instanceRegistryToken) readonly registry: InstanceRegistry,
    @InjectToken(fleetWatcherToken) readonly fleet: FleetWatcher,
    @InjectToken(fleetDirectoryToken) readonly directory: FleetTargetDirectory,
    @InjectToken(loadEstimatorToken) readonly loadEstimator: LoadEstimator,
    @InjectToken(readinessToken) readonly readiness: Readiness,
    @InjectToken(requestLogToken) readonly requestLog: RequestLog,
    @InjectToken(admissionToken) readonly admission: FairAdmission,
    @InjectToken(roleControllerToken) readonly roles: RoleController,
  ) {}

  @Get('status')
  getStatus() {
    return buildStatus(this);
  }

  @Get('requests')
  listRequests(@Query('customer') customer: string | undefined) {
    return this.requestLog.list(customer);
  }
}
