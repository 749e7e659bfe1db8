/**
 * Parses JSON request bodies and keeps their original text, which is forwarded
 * to targets and enters fingerprints.
 */
import type { Readable } from 'node:stream';

import { Failure } from '@medlarlever/core';
import type { BodyReader, RequestBodyLimits } from '@medlarlever/core';
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
export const installBodyParser = (
  fastify: FastifyInstance,
  bodyReader: BodyReader,
  maxPauseMs: number,
): void => {
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser(
    'application/json',
    async (request: FastifyRequest, payload: Readable) => {
      rejectContentEncoding(request.headers['content-encoding']);
      const { bodyLimit: maxBytes } = request.routeOptions;
      const limits = { maxBytes, maxPauseMs };
      const bytes = await readBody(bodyReader, payload, limits);
      try {
        return parseJson(bytes);
      } finally {
        bodyReader.releaseBytes(bytes.length);
      }
    },
  );
};

/**
 * Reads the body. Throws a failure if it is too long or too late, or if bodies take too much
 * memory; the rest is then discarded, and the connection can still carry an answer.
 */
const readBody = async (
  bodyReader: BodyReader,
  body: Readable,
  limits: RequestBodyLimits,
): Promise<Buffer> => {
  const bytes = await bodyReader.readBody(body, limits);
  return bytes
    .ifLeft(() => body.resume())
    .caseOf({
      Left: failure => {
        throw failure;
      },
      Right: value => value,
    });
};

/** Throws `unsupported_media` for compressed bodies. */
const rejectContentEncoding = (encoding: string | undefined): void => {
  if (encoding === undefined || encoding === 'identity') return;
  throw new Failure(
    'unsupported_media',
    `content encoding "${encoding}" is not supported; send the body without encoding`,
  );
};
