/**
 * Parses JSON request bodies and keeps their original text, which is forwarded
 * to targets and enters fingerprints.
 */
import type { Readable } from 'node:stream';

import { Failure, OversizedBodyError, collectBytes } from '@medlarlever/core';
import type { FastifyInstance, FastifyRequest } from 'fastify';

/** A parsed JSON body and the text from which it was parsed. */
export interface JsonBody {
  readonly text: string;
  readonly value: unknown;
}

const utf8Decoder = new TextDecoder('utf-8', { fatal: true });

/** Decodes UTF-8 and parses JSON. Throws `malformed_body` if either fails. */
export const parseJson = (bytes: Uint8Array): JsonBody => {
  try {
    const text = utf8Decoder.decode(bytes);
    return { text, value: JSON.parse(text) as unknown };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new Failure(
      'malformed_body',
      `the body is not valid JSON: ${reason}`,
    );
  }
};

/**
 * Replaces Fastify's body parsers by one for `application/json` that returns a
 * `JsonBody`. Bodies of any other content type are refused by Fastify.
 */
export const installBodyParser = (fastify: FastifyInstance): void => {
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser(
    'application/json',
    async (request: FastifyRequest, payload: Readable) => {
      rejectContentEncoding(request.headers['content-encoding']);
      const { bodyLimit } = request.routeOptions;
      return parseJson(await readBody(payload, bodyLimit));
    },
  );
};

/** Reads the body; throws `body_too_large` if it is longer than the limit. */
const readBody = async (body: Readable, maxBytes: number): Promise<Buffer> => {
  try {
    return await collectBytes(body, maxBytes);
  } catch (error) {
    if (!(error instanceof OversizedBodyError)) throw error;
    throw new Failure('body_too_large', error.message);
  }
};

/** Throws `unsupported_media` for compressed bodies. */
const rejectContentEncoding = (encoding: string | undefined): void => {
  if (encoding === undefined || encoding === 'identity') return;
  throw new Failure(
    'unsupported_media',
    `content encoding "${encoding}" is not supported; send the body without encoding`,
  );
};
