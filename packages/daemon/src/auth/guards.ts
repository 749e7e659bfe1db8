/** Nest guards that authenticate the requests of the three interfaces. */
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

/** A request that `CallerGuard` has authenticated. */
export type CallerRequest = FastifyRequest & { entitlement: Entitlement };

/** A request that `OperatorGuard` has authenticated. */
export type OperatorRequest = FastifyRequest & {
  /** Name of the operator in the settings. */
  operator: string;
};

const getBearerKey = (context: ExecutionContext): string => {
  const request = context.switchToHttp().getRequest<FastifyRequest>();
  return getOrThrow(parseBearerKey(request.headers.authorization));
};

/** Admits callers whose key belongs to a customer of the configuration. */
@Injectable()
export class CallerGuard implements CanActivate {
  constructor(
    @InjectToken(customerAuthenticatorToken)
    readonly customerAuthenticator: CustomerAuthenticator,
  ) {}

  canActivate(context: ExecutionContext): boolean {
    const outcome = this.customerAuthenticator.authenticate(
      getBearerKey(context),
    );
    const request = context.switchToHttp().getRequest<CallerRequest>();
    request.entitlement = getOrThrow(outcome);
    return true;
  }
}

/** Admits operators whose key hash is listed in the settings. */
@Injectable()
export class OperatorGuard implements CanActivate {
  constructor(@InjectToken(settingsToken) readonly settings: Settings) {}

  canActivate(context: ExecutionContext): boolean {
    const hash = hashKey(getBearerKey(context));
    const operator = this.settings.operators.find(({ key_hash }) =>
      isSameHash(key_hash, hash),
    );
    if (operator === undefined) {
      throw new Failure(
        'unauthenticated',
        'the bearer key belongs to no operator',
      );
    }
    const request = context.switchToHttp().getRequest<OperatorRequest>();
    request.operator = operator.name;
    return true;
  }
}

/** Admits instances that send the secret of the deployment (`peers.secret`). */
@Injectable()
export class PeerGuard implements CanActivate {
  constructor(@InjectToken(settingsToken) readonly settings: Settings) {}

  canActivate(context: ExecutionContext): boolean {
    if (!isSameSecret(getBearerKey(context), this.settings.peers.secret)) {
      throw new Failure(
        'unauthenticated',
        'the peer secret differs from peers.secret of this instance',
      );
    }
    return true;
  }
}
