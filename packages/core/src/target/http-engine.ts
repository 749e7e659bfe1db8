/** A model engine over HTTP, as `docs/design/outside-protocols.md` says. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import type { Dispatcher } from 'undici';
import { z } from 'zod';

import type { Failure } from '../shared/failure.js';

import { readCompletion, toCompletionRequest } from './completion-stream.js';
import { failureOfAnswer, parseAnswer } from './http-responses.js';
import {
  defaultConnectionSettings,
  failureOfError,
  HttpConnections,
} from './http-connections.js';
import type { ConnectionSettings } from './http-connections.js';
import {
  cacheEventSchema,
  Engine,
  loadReportSchema,
  orderStatusSchema,
} from './target.js';
import type {
  CacheEvent,
  Generation,
  LoadReport,
  Order,
  OrderStatus,
  StreamItem,
} from './target.js';

export interface HttpTargetOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCenter: string;
  /** `host:port` */
  readonly address: string;
  readonly settings?: Partial<ConnectionSettings>;
}

const cacheEventsSchema = z.object({ events: z.array(cacheEventSchema) });

const jsonHeaders = { 'content-type': 'application/json' };

type StreamRequest = Pick<
  Dispatcher.RequestOptions,
  'method' | 'path' | 'headers' | 'body'
>;

export class HttpEngine extends Engine {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCenter: string;
  readonly address: string;
  readonly #connections: HttpConnections;

  constructor({ settings, ...member }: HttpTargetOptions) {
    super();
    this.name = member.name;
    this.incarnation = member.incarnation;
    this.dataCenter = member.dataCenter;
    this.address = member.address;
    this.#connections = new HttpConnections(member.address, {
      ...defaultConnectionSettings,
      ...settings,
    });
  }

  override generate(
    generation: Generation,
    signal: AbortSignal,
  ): AsyncIterable<StreamItem> {
    const request: StreamRequest = {
      method: 'POST',
      path: '/v1/completions',
      headers: { ...jsonHeaders, 'x-request-id': generation.id },
      body: JSON.stringify(toCompletionRequest(generation)),
    };
    return this.#stream(request, generation.continuation?.tokens ?? 0, signal);
  }

  override resume(
    id: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<StreamItem> {
    const query = `stream=true&starting_after=${after}`;
    const path = `${this.#responsePath(id)}?${query}`;
    return this.#stream({ method: 'GET', path }, after + 1, signal);
  }

  override cancel(id: string): Promise<Either<Failure, void>> {
    return this.#post(`${this.#responsePath(id)}/cancel`);
  }

  override load(): Promise<Either<Failure, LoadReport>> {
    return this.#call({ method: 'GET', path: '/load' }, loadReportSchema);
  }

  override async cacheEvents(
    after: number,
  ): Promise<Either<Failure, readonly CacheEvent[]>> {
    const path = `/cache/events?after=${after}`;
    const answer = await this.#call({ method: 'GET', path }, cacheEventsSchema);
    return answer.map(({ events }) => events);
  }

  override order(order: Order): Promise<Either<Failure, OrderStatus>> {
    const { id, fencing, action } = order;
    const request: StreamRequest = {
      method: 'PUT',
      path: `/orders/${encodeURIComponent(id)}`,
      headers: jsonHeaders,
      body: JSON.stringify({ fencing, action }),
    };
    return this.#call(request, orderStatusSchema);
  }

  override orderStatus(id: string): Promise<Either<Failure, OrderStatus>> {
    const path = `/orders/${encodeURIComponent(id)}`;
    return this.#call({ method: 'GET', path }, orderStatusSchema);
  }

  override exportStream(id: string): Promise<Either<Failure, void>> {
    return this.#post(`${this.#responsePath(id)}/export`);
  }

  override probe(timeoutMs: number): Promise<Either<Failure, void>> {
    return this.#connections.probe(timeoutMs);
  }

  override reset(): void {
    this.#connections.reset();
  }

  async *#stream(
    request: StreamRequest,
    firstIndex: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamItem, void, undefined> {
    const { heartbeatLimitMs } = this.#connections.settings;
    const given = () => signal.aborted;
    let end: StreamItem | undefined;
    try {
      if (given()) return;
      const answer = await this.#connections.streams.request({
        ...request,
        signal,
        headersTimeout: heartbeatLimitMs,
        bodyTimeout: heartbeatLimitMs,
      });
      if (answer.statusCode !== 200) {
        yield { kind: 'failure', failure: await failureOfAnswer(answer) };
        return;
      }
      // The body is read to its end so that the connection can be used again.
      for await (const item of readCompletion(answer.body, firstIndex)) {
        if (item.kind === 'end') end = item;
        else yield item;
      }
      if (end === undefined) throw new Error('the stream broke off');
    } catch (error) {
      if (given()) return;
      end ??= { kind: 'failure', failure: failureOfError(error) };
    }
    yield end;
  }

  async #call<S extends z.ZodType>(
    request: StreamRequest,
    schema: S,
  ): Promise<Either<Failure, z.output<S>>> {
    try {
      const answer = await this.#connections.control.request({
        ...request,
        signal: AbortSignal.timeout(this.#connections.settings.callTimeoutMs),
      });
      return await parseAnswer(answer, schema);
    } catch (error) {
      return Left(failureOfError(error));
    }
  }

  async #post(path: string): Promise<Either<Failure, void>> {
    const answer = await this.#call({ method: 'POST', path }, z.unknown());
    return answer.chain(() => Right(undefined));
  }

  #responsePath(id: string): string {
    return `/v1/responses/${encodeURIComponent(id)}`;
  }
}
