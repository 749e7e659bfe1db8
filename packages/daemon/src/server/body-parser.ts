/** Reads JSON bodies and keeps their text for passing on. */
import { Failure } from '@medlarlever/core';
import type { FastifyInstance } from 'fastify';

/** A JSON body with the text that it came as. */
export interface JsonBody {
  readonly text: string;
  readonly value: unknown;
}

const utf8Decoder = new TextDecoder('utf-8', { fatal: true });

/** Decodes and parses; throws `malformed_body`. */
export const parseJson = (bytes: Uint8Array): JsonBody => {
  try {
    const text = utf8Decoder.decode(bytes);
    return { text, value: JSON.parse(text) as unknown };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new Failure('malformed_body', `the body is not JSON: ${reason}`);
  }
};

/** Replaces Fastify's parsers by one for JSON of which the text is kept. */
export const installBodyParser = (fastify: FastifyInstance): void => {
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser(
    'application/json',
    { parseAs: 'buffer' },
    (request, body: Buffer, done) => {
      try {
        rejectContentEncoding(request.headers['content-encoding']);
        done(null, parseJson(body));
      } catch (error) {
        done(error as Error);
      }
    },
  );
};

const rejectContentEncoding = (encoding: string | undefined): void => {
  if (encoding === undefined || encoding === 'identity') return;
  throw new Failure(
    'unsupported_media',
    `content encoding "${encoding}" is not supported; send none`,
  );
};
