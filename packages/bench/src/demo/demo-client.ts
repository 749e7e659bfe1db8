/** A caller of the demo, who reconnects to any instance as a client does. */
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

export interface DemoClientOptions {
  readonly key: string;
  /** Entry addresses, as a balancer would choose among them. */
  readonly urls: readonly string[];
}

export interface CompletionRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

export interface ClientResponse {
  readonly status: number;
  readonly text: string;
}

const completionSchema = z.object({
  choices: z.array(z.object({ text: z.string() })).min(1),
});

export class DemoClient {
  #nextUrlIndex = 0;

  constructor(private readonly options: DemoClientOptions) {}

  /** One answer as a whole; a refusal that says it was not run is repeated. */
  async requestCompletion(ask: CompletionRequest): Promise<ClientResponse> {
    const reply = await this.#retryCall(() =>
      this.#fetchCompletion(ask, false),
    );
    if (reply.status !== 200) return reply;
    const body = completionSchema.parse(JSON.parse(reply.text));
    return { status: 200, text: body.choices[0]?.text ?? '' };
  }

  /** Streams an answer and rejoins it elsewhere when the stream breaks. */
  async streamCompletion(
    ask: CompletionRequest,
    onChunk: (count: number) => void,
  ): Promise<ClientResponse> {
    const parts: string[] = [];
    let id: string | undefined;
    let reason = '';
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      try {
        const answer =
          id === undefined
            ? await this.#postCompletion(ask, true)
            : await this.#resumeStream(id, parts.length - 1);
        if (answer.statusCode === 200) {
          id = String(answer.headers['x-request-id'] ?? id);
          if (await this.#readStream(answer, parts, onChunk)) {
            return { status: 200, text: parts.join('') };
          }
        } else {
          reason = await answer.body.text();
        }
      } catch (error) {
        reason = String(error);
      }
      await sleep(retryDelayMs);
    }
    return { status: 0, text: reason };
  }

  /** Calls an operation; the key makes it safe to send it again. */
  callOperation(
    path: string,
    body: string,
    key: string,
  ): Promise<ClientResponse> {
    return this.#retryCall(async () => {
      const answer = await request(
        `${this.#takeNextUrl()}/v1/services/${path}`,
        {
          method: 'POST',
          headers: { ...this.#createHeaders(), 'idempotency-key': key },
          body,
        },
      );
      return { status: answer.statusCode, text: await answer.body.text() };
    });
  }

  async #readStream(
    answer: Dispatcher.ResponseData,
    parts: string[],
    onChunk: (count: number) => void,
  ): Promise<boolean> {
    for await (const item of readCompletionStream(answer.body, parts.length)) {
      if (item.kind === 'end') return true;
      this.#appendChunk(item, parts);
      onChunk(parts.length);
    }
    return false;
  }

  #appendChunk(item: StreamItem, parts: string[]): void {
    if (item.kind === 'chunk') parts.push(item.chunk.text);
  }

  async #retryCall(
    call: () => Promise<ClientResponse>,
  ): Promise<ClientResponse> {
    let last: ClientResponse = { status: 0, text: 'not sent' };
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      try {
        last = await call();
        if (last.status === 200 || !this.#canRetry(last)) return last;
      } catch (error) {
        last = { status: 0, text: String(error) };
      }
      await sleep(retryDelayMs);
    }
    return last;
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
    ask: CompletionRequest,
    stream: boolean,
  ): Promise<ClientResponse> {
    const answer = await this.#postCompletion(ask, stream);
    return { status: answer.statusCode, text: await answer.body.text() };
  }

  #postCompletion(
    ask: CompletionRequest,
    stream: boolean,
  ): Promise<Dispatcher.ResponseData> {
    const { model, prompt, maxTokens } = ask;
    return request(`${this.#takeNextUrl()}/v1/completions`, {
      method: 'POST',
      headers: this.#createHeaders(),
      body: JSON.stringify({ model, prompt, max_tokens: maxTokens, stream }),
    });
  }

  #resumeStream(id: string, after: number): Promise<Dispatcher.ResponseData> {
    const query =
      after < 0 ? 'stream=true' : `stream=true&starting_after=${after}`;
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
