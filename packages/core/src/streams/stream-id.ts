/** Ids of streams that any instance can resolve without state. */
import { createHmac, timingSafeEqual } from 'node:crypto';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import { Failure } from '../shared/failure.js';

/** Where a stream began and whose it is. */
export interface StreamAddress {
  readonly engine: string;
  /** Id of the generation at the engine. */
  readonly id: string;
  readonly customer: string;
}

/** Names a stream among the hints of where streams went. */
export const streamKey = ({ engine, id }: StreamAddress): string =>
  JSON.stringify([engine, id]);

const payloadSchema = z.tuple([z.string(), z.string(), z.string()]);

/** Bytes of the HMAC that an id carries. */
const macBytes = 16;

export class StreamIds {
  /** The secret is the same at all instances of the deployment. */
  constructor(private readonly secret: string) {}

  encode({ engine, id, customer }: StreamAddress): string {
    const payload = Buffer.from(JSON.stringify([engine, id, customer]));
    const mac = this.#mac(payload);
    return `${payload.toString('base64url')}.${mac.toString('base64url')}`;
  }

  /** `stream_not_found` for a forged id and for another customer's. */
  decode(text: string, customer: string): Either<Failure, StreamAddress> {
    const [head = '', tail = ''] = text.split('.');
    const payload = Buffer.from(head, 'base64url');
    const mac = Buffer.from(tail, 'base64url');
    const expected = this.#mac(payload);
    if (mac.length !== macBytes || !timingSafeEqual(mac, expected)) {
      return Left(streamNotFound());
    }
    const parsed = payloadSchema.safeParse(JSON.parse(payload.toString()));
    if (!parsed.success || parsed.data[2] !== customer) {
      return Left(streamNotFound());
    }
    const [engine, id] = parsed.data;
    return Right({ engine, id, customer });
  }

  #mac(payload: Buffer): Buffer {
    return createHmac('sha256', this.secret)
      .update(payload)
      .digest()
      .subarray(0, macBytes);
  }
}

export const streamNotFound = (): Failure =>
  new Failure('stream_not_found', 'the stream is unknown or has expired', {
    executed: 'unknown',
  });
