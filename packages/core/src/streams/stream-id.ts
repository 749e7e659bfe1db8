/** Signed stream ids that any instance can decode without stored state. */
import { createHmac, timingSafeEqual } from 'node:crypto';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import { Failure } from '../shared/failure.js';

/** The engine that started a stream, and the customer who owns it. */
export interface StreamOrigin {
  readonly engine: string;
  /** Id under which the engine runs the generation. */
  readonly id: string;
  readonly customer: string;
}

/** Key of a stream in `StreamLocations`. */
export const createStreamKey = ({ engine, id }: StreamOrigin): string =>
  JSON.stringify([engine, id]);

const idPayloadSchema = z.tuple([z.string(), z.string(), z.string()]);

/** Length of the truncated HMAC in an id. */
const macBytes = 16;

/** Encodes and verifies stream ids. */
export class StreamIdCodec {
  /** `secret` must be the same on all instances of the deployment. */
  constructor(private readonly secret: string) {}

  encodeId({ engine, id, customer }: StreamOrigin): string {
    const payload = Buffer.from(JSON.stringify([engine, id, customer]));
    const mac = this.#computeMac(payload);
    return `${payload.toString('base64url')}.${mac.toString('base64url')}`;
  }

  /** Fails with `stream_not_found` for a forged id or another customer's id. */
  decodeId(text: string, customer: string): Either<Failure, StreamOrigin> {
    const [encodedPayload = '', encodedMac = ''] = text.split('.');
    const payload = Buffer.from(encodedPayload, 'base64url');
    const mac = Buffer.from(encodedMac, 'base64url');
    const expectedMac = this.#computeMac(payload);
    if (mac.length !== macBytes || !timingSafeEqual(mac, expectedMac)) {
      return Left(createStreamNotFoundFailure());
    }
    const parsed = idPayloadSchema.safeParse(JSON.parse(payload.toString()));
    if (!parsed.success || parsed.data[2] !== customer) {
      return Left(createStreamNotFoundFailure());
    }
    const [engine, id] = parsed.data;
    return Right({ engine, id, customer });
  }

  #computeMac(payload: Buffer): Buffer {
    return createHmac('sha256', this.secret)
      .update(payload)
      .digest()
      .subarray(0, macBytes);
  }
}

/** Failure for a stream that does not exist or cannot be resumed any more. */
export const createStreamNotFoundFailure = (): Failure =>
  new Failure('stream_not_found', 'the stream is unknown or has expired', {
    executed: 'unknown',
  });
