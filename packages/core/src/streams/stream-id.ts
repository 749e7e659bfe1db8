/** Ids of streams that any instance can resolve without state. */
import { createHmac, timingSafeEqual } from 'node:crypto';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import { Failure } from '../shared/failure.js';

/** Where a stream began and whose it is. */
export interface StreamOrigin {
  readonly engine: string;
  /** Id of the generation at the engine. */
  readonly id: string;
  readonly customer: string;
}

/** Names a stream among the hints of where streams went. */
export const createStreamKey = ({ engine, id }: StreamOrigin): string =>
  JSON.stringify([engine, id]);

const idPayloadSchema = z.tuple([z.string(), z.string(), z.string()]);

/** Bytes of the HMAC that an id carries. */
const macBytes = 16;

export class StreamIdCodec {
  /** The secret is the same at all instances of the deployment. */
  constructor(private readonly secret: string) {}

  encodeId({ engine, id, customer }: StreamOrigin): string {
    const payload = Buffer.from(JSON.stringify([engine, id, customer]));
    const mac = this.#computeMac(payload);
    return `${payload.toString('base64url')}.${mac.toString('base64url')}`;
  }

  /** `stream_not_found` for a forged id and for another customer's. */
  decodeId(text: string, customer: string): Either<Failure, StreamOrigin> {
    const [head = '', tail = ''] = text.split('.');
    const payload = Buffer.from(head, 'base64url');
    const mac = Buffer.from(tail, 'base64url');
    const expected = this.#computeMac(payload);
    if (mac.length !== macBytes || !timingSafeEqual(mac, expected)) {
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

export const createStreamNotFoundFailure = (): Failure =>
  new Failure('stream_not_found', 'the stream is unknown or has expired', {
    executed: 'unknown',
  });
