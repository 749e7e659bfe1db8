/** Guards of the three interfaces. */
import type { Entitlement } from '@medlarlever/core';
import { Failure } from '@medlarlever/core';
import { Injectable } from '@nestjs/common';
import type { CanActivate, ExecutionContext } from '@nestjs/common';
import type { FastifyRequest } from 'fastify';

import { InjectPart } from '../kernel/daemon-kernel.js';
import { customersPart, settingsPart } from '../kernel/tokens.js';
import { orThrow } from '../server/failure-filter.js';
import type { Settings } from '../settings/settings.js';

import { bearerKey, hashKey, sameHash, sameSecret } from './bearer-keys.js';
import type { Customers } from './customer-authenticator.js';

/** A caller's request after its key was checked. */
export type CallerRequest = FastifyRequest & { entitlement: Entitlement };

/** An operator's request after its key was checked. */
export type OperatorRequest = FastifyRequest & { operator: string };

const keyOf = (context: ExecutionContext): string => {
  const request = context.switchToHttp().getRequest<FastifyRequest>();
  return orThrow(bearerKey(request.headers.authorization));
};

/** Admits callers that the configuration in force knows. */
@Injectable()
export class CallerGuard implements CanActivate {
  constructor(@InjectPart(customersPart) readonly customers: Customers) {}

  canActivate(context: ExecutionContext): boolean {
    const outcome = this.customers.authenticate(keyOf(context));
    const request = context.switchToHttp().getRequest<CallerRequest>();
    request.entitlement = orThrow(outcome);
    return true;
  }
}

/** Admits operators that the settings list. */
@Injectable()
export class OperatorGuard implements CanActivate {
  constructor(@InjectPart(settingsPart) readonly settings: Settings) {}

  canActivate(context: ExecutionContext): boolean {
    const hash = hashKey(keyOf(context));
    const operator = this.settings.operators.find(({ key_hash }) =>
      sameHash(key_hash, hash),
    );
    if (operator === undefined) {
      throw new Failure('unauthenticated', 'the key is unknown');
    }
    const request = context.switchToHttp().getRequest<OperatorRequest>();
    request.operator = operator.name;
    return true;
  }
}

/** Admits instances that hold the deployment's secret. */
@Injectable()
export class PeerGuard implements CanActivate {
  constructor(@InjectPart(settingsPart) readonly settings: Settings) {}

  canActivate(context: ExecutionContext): boolean {
    if (!sameSecret(keyOf(context), this.settings.peers.secret)) {
      throw new Failure('unauthenticated', 'the peer secret is wrong');
    }
    return true;
  }
}
