/** HTTP client of a model engine; see `docs/design/outside-protocols.md`. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import type { Dispatcher } from 'undici';
import { z } from 'zod';

import type { Failure } from '../shared/failure.js';

import {
  readCompletionStream,
  toCompletionRequest,
} from './completion-stream.js';
import { readFailure, parseResponse } from './http-responses.js';
import {
  defaultConnectionSettings,
  toTargetFailure,
  HttpConnections,
} from './http-connections.js';
import type { ConnectionSettings } from './http-connections.js';
import {
  cacheEventSchema,
  Engine,
  loadReportSchema,
  engineCommandStatusSchema,
} from './target.js';
import type {
  CacheEvent,
  GenerationTask,
  LoadReport,
  EngineCommand,
  EngineCommandStatus,
  StreamItem,
} from './target.js';

/** Identity and address of a target, with its connection settings. */
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

type HttpRequest = Pick<
  Dispatcher.RequestOptions,
  'method' | 'path' | 'headers' | 'body'
>;

/** Sends generations and commands to one engine. */
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
    generation: GenerationTask,
    signal: AbortSignal,
  ): AsyncIterable<StreamItem> {
    const request: HttpRequest = {
      method: 'POST',
      path: '/v1/completions',
      headers: { ...jsonHeaders, 'x-request-id': generation.id },
      body: JSON.stringify(toCompletionRequest(generation)),
    };
    return this.#openStream(
      request,
      generation.continuation?.tokens ?? 0,
      signal,
    );
  }

  override resumeStream(
    id: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<StreamItem> {
    const query = `stream=true&starting_after=${after}`;
    const path = `${this.#getResponsePath(id)}?${query}`;
    return this.#openStream({ method: 'GET', path }, after + 1, signal);
  }

  override cancelGeneration(id: string): Promise<Either<Failure, void>> {
    return this.#postControlRequest(`${this.#getResponsePath(id)}/cancel`);
  }

  override getLoadReport(): Promise<Either<Failure, LoadReport>> {
    return this.#sendControlRequest(
      { method: 'GET', path: '/load' },
      loadReportSchema,
    );
  }

  override async listCacheEvents(
    after: number,
  ): Promise<Either<Failure, readonly CacheEvent[]>> {
    const path = `/cache/events?after=${after}`;
    const response = await this.#sendControlRequest(
      { method: 'GET', path },
      cacheEventsSchema,
    );
    return response.map(({ events }) => events);
  }

  override sendCommand(
    command: EngineCommand,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    const { id, fencing, action } = command;
    const request: HttpRequest = {
      method: 'PUT',
      path: `/orders/${encodeURIComponent(id)}`,
      headers: jsonHeaders,
      body: JSON.stringify({ fencing, action }),
    };
    return this.#sendControlRequest(request, engineCommandStatusSchema);
  }

  override getCommandStatus(
    id: string,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    const path = `/orders/${encodeURIComponent(id)}`;
    return this.#sendControlRequest(
      { method: 'GET', path },
      engineCommandStatusSchema,
    );
  }

  override exportStream(id: string): Promise<Either<Failure, void>> {
    return this.#postControlRequest(`${this.#getResponsePath(id)}/export`);
  }

  override probeHealth(timeoutMs: number): Promise<Either<Failure, void>> {
    return this.#connections.probeHealth(timeoutMs);
  }

  override resetConnections(): void {
    this.#connections.closeAll();
  }

  /**
   * Yields the items of a stream and ends with one `end` or `failure` item, or
   * with neither when the signal aborts.
   */
  async *#openStream(
    request: HttpRequest,
    firstIndex: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamItem, void, undefined> {
    const { heartbeatTimeoutMs } = this.#connections.settings;
    const isAborted = () => signal.aborted;
    let end: StreamItem | undefined;
    try {
      if (isAborted()) return;
      const response = await this.#connections.streamDispatcher.request({
        ...request,
        signal,
        headersTimeout: heartbeatTimeoutMs,
        bodyTimeout: heartbeatTimeoutMs,
      });
      if (response.statusCode !== 200) {
        yield { kind: 'failure', failure: await readFailure(response) };
        return;
      }
      // Reads the body to its end, so that the connection can be reused.
      for await (const item of readCompletionStream(
        response.body,
        firstIndex,
      )) {
        if (item.kind === 'end') end = item;
        else yield item;
      }
      if (end === undefined)
        throw new Error('the stream closed before its end item');
    } catch (error) {
      if (isAborted()) return;
      end ??= { kind: 'failure', failure: toTargetFailure(error) };
    }
    yield end;
  }

  async #sendControlRequest<S extends z.ZodType>(
    request: HttpRequest,
    schema: S,
  ): Promise<Either<Failure, z.output<S>>> {
    try {
      const response = await this.#connections.controlDispatcher.request({
        ...request,
        signal: AbortSignal.timeout(this.#connections.settings.callTimeoutMs),
      });
      return await parseResponse(response, schema);
    } catch (error) {
      return Left(toTargetFailure(error));
    }
  }

  async #postControlRequest(path: string): Promise<Either<Failure, void>> {
    const response = await this.#sendControlRequest(
      { method: 'POST', path },
      z.unknown(),
    );
    return response.chain(() => Right(undefined));
  }

  #getResponsePath(id: string): string {
    return `/v1/responses/${encodeURIComponent(id)}`;
  }
}
