/** A caller's request as one instance hands it to another. */
import { z } from 'zod';

import type { RelayRequest } from '../requests/relay-request.js';
import { earlierArrivalsSchema } from '../retries/request-retries.js';

import type { ForwardOptions } from './request-forwarder.js';

/** Path of forwarded requests at the peer interface. */
export const forwardPath = '/forwarded-requests';

/**
 * Path of forwarded requests with a customer. An older instance, which would send the
 * request to a target without the customer's name, does not know it.
 */
export const customerForwardPath = '/forwarded-customer-requests';

/**
 * Header of each answer of the other instance's relay: `answer` for that of a target,
 * `failure` for an error body of its own. An answer without it comes from something that
 * has not run the request, such as an instance that does not know the path.
 */
export const resultHeaderName = 'x-instance-result';
export const answerResult = 'answer';
export const failureResult = 'failure';

/** Longest request with its body in base64. */
export const maxForwardedBytes = 32 * 1024 * 1024;

const promptSchema = z.object({
  model: z.string(),
  tokens: z.number(),
  maxOutputTokens: z.number(),
  segments: z.array(z.object({ id: z.string(), tokens: z.number() })),
});

/** Schema of the message; `body` is base64. */
export const forwardedRequestSchema = z.object({
  id: z.string(),
  method: z.string(),
  host: z.string(),
  url: z.string(),
  headers: z.array(z.string()),
  body: z.string(),
  fingerprint: z.string(),
  /** Milliseconds that are left to answer. */
  remainingMs: z.number(),
  resumedRequestId: z.string().optional(),
  prompt: promptSchema.optional(),
  resumeAfterEventId: z.string().optional(),
  /** Name of the customer whose key the sender has checked. */
  customer: z.string().optional(),
  /** Absent in the messages of instances that do not tell it. */
  earlierArrivals: earlierArrivalsSchema.optional(),
});
export type ForwardedRequest = z.infer<typeof forwardedRequestSchema>;

/** Creates the message; a stream goes on after the event that the caller got last. */
export const encodeForwardedRequest = (
  request: RelayRequest,
  {
    remainingMs,
    lastEventId,
    earlierArrivals,
  }: Pick<ForwardOptions, 'remainingMs' | 'lastEventId' | 'earlierArrivals'>,
): ForwardedRequest => {
  const { id, method, host, url, headers, fingerprint, prompt } = request;
  const firstRequestId = lastEventId === undefined ? undefined : id;
  return {
    id,
    method,
    host,
    url,
    headers: [...headers],
    body: request.body.toString('base64'),
    fingerprint,
    remainingMs,
    resumedRequestId: request.resumedRequestId ?? firstRequestId,
    prompt: prompt && { ...prompt, segments: [...prompt.segments] },
    resumeAfterEventId: lastEventId ?? request.resumeAfterEventId,
    customer: request.customer,
    earlierArrivals,
  };
};

/** Reads a message that arrives now from the instance. */
export const decodeForwardedRequest = (
  message: unknown,
  forwardedBy: string,
): RelayRequest => {
  const { body, remainingMs, ...request } =
    forwardedRequestSchema.parse(message);
  return {
    ...request,
    body: Buffer.from(body, 'base64'),
    arrivedAtMs: performance.now(),
    callerTimeoutMs: remainingMs,
    resumedRequestId: request.resumedRequestId,
    prompt: request.prompt,
    resumeAfterEventId: request.resumeAfterEventId,
    forwardedBy,
  };
};
