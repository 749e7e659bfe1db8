/** Guards of the three interfaces. */
import type { Entitlement } from '@medlarlever/core';
import { Failure } from '@medlarlever/core';
import { Injectable } from '@nestjs/common';
import type { CanActivate, ExecutionContext } from '@nestjs/common';
import type { FastifyRequest } from 'fastify';

import { InjectToken } from '../kernel/daemon-kernel.js';
import { customerAuthenticatorToken, settingsToken } from '../kernel/tokens.js';
import { getOrThrow } from '../server/failure-filter.js';
import type { Settings } from '../settings/settings.js';

import {
  parseBearerKey,
  hashKey,
  isSameHash,
  isSameSecret,
} from './bearer-keys.js';
import type { CustomerAuthenticator } from './customer-authenticator.js';

/** A caller's request after its key was checked. */
export type CallerRequest = FastifyRequest & { entitlement: Entitlement };

/** An operator's request after its key was checked. */
export type OperatorRequest = FastifyRequest & { operator: string };

const getBearerKey = (context: ExecutionContext): string => {
  const request = context.switchToHttp().getRequest<FastifyRequest>();
  return getOrThrow(parseBearerKey(request.headers.authorization));
};

/** Admits callers that the configuration in force knows. */
@Injectable()
export class CallerGuard implements CanActivate {
  constructor(
    @InjectToken(customerAuthenticatorToken)
    readonly customers: CustomerAuthenticator,
  ) {}

  canActivate(context: ExecutionContext): boolean {
    const outcome = this.customers.authenticate(getBearerKey(context));
    const request = context.switchToHttp().getRequest<CallerRequest>();
    request.entitlement = getOrThrow(outcome);
    return true;
  }
}

/** Admits operators that the settings list. */
@Injectable()
export class OperatorGuard implements CanActivate {
  constructor(@InjectToken(settingsToken) readonly settings: Settings) {}

  canActivate(context: ExecutionContext): boolean {
    const hash = hashKey(getBearerKey(context));
    const operator = this.settings.operators.find(({ key_hash }) =>
      isSameHash(key_hash, hash),
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
  constructor(@InjectToken(settingsToken) readonly settings: Settings) {}

  canActivate(context: ExecutionContext): boolean {
    if (!isSameSecret(getBearerKey(context), this.settings.peers.secret)) {
      throw new Failure('unauthenticated', 'the peer secret is wrong');
    }
    return true;
  }
}
