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

const attempts = 40;
const pauseMs = 250;

export interface CallerOptions {
  readonly key: string;
  /** Entry addresses, as a balancer would choose among them. */
  readonly urls: readonly string[];
}

export interface GenerationAsk {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

export interface Reply {
  readonly status: number;
  readonly text: string;
}

const completionSchema = z.object({
  choices: z.array(z.object({ text: z.string() })).min(1),
});

export class Caller {
  #turn = 0;

  constructor(private readonly options: CallerOptions) {}

  /** One answer as a whole; a refusal that says it was not run is repeated. */
  async whole(ask: GenerationAsk): Promise<Reply> {
    const reply = await this.#repeat(() => this.#post(ask, false));
    if (reply.status !== 200) return reply;
    const body = completionSchema.parse(JSON.parse(reply.text));
    return { status: 200, text: body.choices[0]?.text ?? '' };
  }

  /** Streams an answer and rejoins it elsewhere when the stream breaks. */
  async streamed(
    ask: GenerationAsk,
    onChunk: (count: number) => void,
  ): Promise<Reply> {
    const parts: string[] = [];
    let id: string | undefined;
    let reason = '';
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      try {
        const answer =
          id === undefined
            ? await this.#send(ask, true)
            : await this.#rejoin(id, parts.length - 1);
        if (answer.statusCode === 200) {
          id = String(answer.headers['x-request-id'] ?? id);
          if (await this.#read(answer, parts, onChunk)) {
            return { status: 200, text: parts.join('') };
          }
        } else {
          reason = await answer.body.text();
        }
      } catch (error) {
        reason = String(error);
      }
      await sleep(pauseMs);
    }
    return { status: 0, text: reason };
  }

  /** Calls an operation; the key makes it safe to send it again. */
  operation(path: string, body: string, key: string): Promise<Reply> {
    return this.#repeat(async () => {
      const answer = await request(`${this.#url()}/v1/services/${path}`, {
        method: 'POST',
        headers: { ...this.#headers(), 'idempotency-key': key },
        body,
      });
      return { status: answer.statusCode, text: await answer.body.text() };
    });
  }

  async #read(
    answer: Dispatcher.ResponseData,
    parts: string[],
    onChunk: (count: number) => void,
  ): Promise<boolean> {
    for await (const item of readCompletionStream(answer.body, parts.length)) {
      if (item.kind === 'end') return true;
      this.#keep(item, parts);
      onChunk(parts.length);
    }
    return false;
  }

  #keep(item: StreamItem, parts: string[]): void {
    if (item.kind === 'chunk') parts.push(item.chunk.text);
  }

  async #repeat(call: () => Promise<Reply>): Promise<Reply> {
    let last: Reply = { status: 0, text: 'not sent' };
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      try {
        last = await call();
        if (last.status === 200 || !this.#mayRepeat(last)) return last;
      } catch (error) {
        last = { status: 0, text: String(error) };
      }
      await sleep(pauseMs);
    }
    return last;
  }

  #mayRepeat({ text }: Reply): boolean {
    try {
      const { error } = errorBodySchema.parse(JSON.parse(text));
      return error.executed === 'no' || error.name === 'still_running';
    } catch {
      return false;
    }
  }

  async #post(ask: GenerationAsk, stream: boolean): Promise<Reply> {
    const answer = await this.#send(ask, stream);
    return { status: answer.statusCode, text: await answer.body.text() };
  }

  #send(ask: GenerationAsk, stream: boolean): Promise<Dispatcher.ResponseData> {
    const { model, prompt, maxTokens } = ask;
    return request(`${this.#url()}/v1/completions`, {
      method: 'POST',
      headers: this.#headers(),
      body: JSON.stringify({ model, prompt, max_tokens: maxTokens, stream }),
    });
  }

  #rejoin(id: string, after: number): Promise<Dispatcher.ResponseData> {
    const query =
      after < 0 ? 'stream=true' : `stream=true&starting_after=${after}`;
    const path = `/v1/responses/${encodeURIComponent(id)}?${query}`;
    return request(`${this.#url()}${path}`, { headers: this.#headers() });
  }

  #headers() {
    return {
      authorization: `Bearer ${this.options.key}`,
      'content-type': 'application/json',
    };
  }

  #url(): string {
    const { urls } = this.options;
    const url = urls[this.#turn % urls.length] ?? '';
    this.#turn += 1;
    return url;
  }
}
