/** HTTP client of the demo: retries refused requests and resumes broken streams through any instance. */
import {
  errorBodySchema,
  readCompletionStream,
  sleep,
} from '@medlarlever/core';
import type { StreamItem } from '@medlarlever/core';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';

const maxAttempts = 40;
const retryDelayMs = 250;

/** API key and server URLs of a client. */
export interface DemoClientOptions {
  readonly key: string;
  /** Base URLs of the instances; the client uses them in turn, as a load balancer would. */
  readonly urls: readonly string[];
}

/** The parameters of a completion; `maxTokens` limits its length. */
export interface CompletionRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Final result of a request after all retries. */
export interface ClientResponse {
  /** HTTP status, or 0 if no attempt got a response. */
  readonly status: number;
  readonly text: string;
}

const completionSchema = z.object({
  choices: z.array(z.object({ text: z.string() })).min(1),
});

/** Sends completions and operations; makes at most 40 attempts for each request, 250 ms apart. */
export class DemoClient {
  #nextUrlIndex = 0;

  constructor(private readonly options: DemoClientOptions) {}

  /** Requests a completion without streaming; retries refused requests that were not run. */
  async requestCompletion(
    completion: CompletionRequest,
  ): Promise<ClientResponse> {
    const response = await this.#retryCall(() =>
      this.#fetchCompletion(completion, false),
    );
    if (response.status !== 200) return response;
    const body = completionSchema.parse(JSON.parse(response.text));
    return { status: 200, text: body.choices[0]?.text ?? '' };
  }

  /** Streams a completion and resumes it through another instance when the connection breaks. */
  async streamCompletion(
    completion: CompletionRequest,
    onChunk: (count: number) => void,
  ): Promise<ClientResponse> {
    const chunkTexts: string[] = [];
    let id: string | undefined;
    let lastError = '';
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      try {
        const response =
          id === undefined
            ? await this.#postCompletion(completion, true)
            : await this.#resumeStream(id, chunkTexts.length - 1);
        if (response.statusCode === 200) {
          id = String(response.headers['x-request-id'] ?? id);
          if (await this.#readStream(response, chunkTexts, onChunk)) {
            return { status: 200, text: chunkTexts.join('') };
          }
        } else {
          lastError = await response.body.text();
        }
      } catch (error) {
        lastError = String(error);
      }
      await sleep(retryDelayMs);
    }
    return { status: 0, text: lastError };
  }

  /** Calls an operation; the idempotency key makes retries safe. */
  callOperation(
    path: string,
    body: string,
    key: string,
  ): Promise<ClientResponse> {
    return this.#retryCall(async () => {
      const response = await request(
        `${this.#takeNextUrl()}/v1/services/${path}`,
        {
          method: 'POST',
          headers: { ...this.#createHeaders(), 'idempotency-key': key },
          body,
        },
      );
      return { status: response.statusCode, text: await response.body.text() };
    });
  }

  async #readStream(
    response: Dispatcher.ResponseData,
    chunkTexts: string[],
    onChunk: (count: number) => void,
  ): Promise<boolean> {
    for await (const item of readCompletionStream(
      response.body,
      chunkTexts.length,
    )) {
      if (item.kind === 'end') return true;
      this.#appendChunk(item, chunkTexts);
      onChunk(chunkTexts.length);
    }
    return false;
  }

  #appendChunk(item: StreamItem, chunkTexts: string[]): void {
    if (item.kind === 'chunk') chunkTexts.push(item.chunk.text);
  }

  async #retryCall(
    call: () => Promise<ClientResponse>,
  ): Promise<ClientResponse> {
    let lastResponse: ClientResponse = {
      status: 0,
      text: 'the request was not sent',
    };
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      try {
        lastResponse = await call();
        if (lastResponse.status === 200 || !this.#canRetry(lastResponse))
          return lastResponse;
      } catch (error) {
        lastResponse = { status: 0, text: String(error) };
      }
      await sleep(retryDelayMs);
    }
    return lastResponse;
  }

  #canRetry({ text }: ClientResponse): boolean {
    try {
      const { error } = errorBodySchema.parse(JSON.parse(text));
      return error.executed === 'no' || error.name === 'still_running';
    } catch {
      return false;
    }
  }

  async #fetchCompletion(
    completion: CompletionRequest,
    stream: boolean,
  ): Promise<ClientResponse> {
    const response = await this.#postCompletion(completion, stream);
    return { status: response.statusCode, text: await response.body.text() };
  }

  #postCompletion(
    completion: CompletionRequest,
    stream: boolean,
  ): Promise<Dispatcher.ResponseData> {
    const { model, prompt, maxTokens } = completion;
    return request(`${this.#takeNextUrl()}/v1/completions`, {
      method: 'POST',
      headers: this.#createHeaders(),
      body: JSON.stringify({ model, prompt, max_tokens: maxTokens, stream }),
    });
  }

  #resumeStream(
    id: string,
    lastIndex: number,
  ): Promise<Dispatcher.ResponseData> {
    const query =
      lastIndex < 0 ? 'stream=true' : `stream=true&starting_after=${lastIndex}`;
    const path = `/v1/responses/${encodeURIComponent(id)}?${query}`;
    return request(`${this.#takeNextUrl()}${path}`, {
      headers: this.#createHeaders(),
    });
  }

  #createHeaders() {
    return {
      authorization: `Bearer ${this.options.key}`,
      'content-type': 'application/json',
    };
  }

  #takeNextUrl(): string {
    const { urls } = this.options;
    const url = urls[this.#nextUrlIndex % urls.length] ?? '';
    this.#nextUrlIndex += 1;
    return url;
  }
}
