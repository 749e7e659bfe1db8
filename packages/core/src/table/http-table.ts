/** The platform's table over DynamoDB's JSON API, API version 2012-08-10. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Pool } from 'undici';
import { z } from 'zod';

import { Failure } from '../shared/failure.js';
import { errorText, neverSent } from '../shared/http-errors.js';

import {
  dynamoItemSchema,
  toKey,
  toRow,
  toTransactItem,
} from './dynamo-items.js';
import { Table } from './table.js';
import type { Commit, Row, RowKey, ScanOptions, Transaction } from './table.js';

const callTimeoutMs = 5_000;
const maxConnections = 16;
const readBatch = 100;

export interface HttpTableOptions {
  /** Origin of the service, `http://ip:port`. */
  readonly url: string;
  readonly table: string;
  readonly timeoutMs?: number;
}

type Action = 'TransactWriteItems' | 'TransactGetItems' | 'Query';

/** Answer of the service that came whole. */
interface Answer {
  readonly status: number;
  readonly body: unknown;
}

const errorSchema = z.object({
  __type: z.string(),
  message: z.string().optional(),
  Message: z.string().optional(),
});

const transactGetSchema = z.object({
  Responses: z.array(z.object({ Item: dynamoItemSchema.optional() })),
});

const querySchema = z.object({
  Items: z.array(dynamoItemSchema),
  LastEvaluatedKey: z.unknown().optional(),
});

/** Errors by which the service says that it did nothing. */
const refusals: ReadonlySet<string> = new Set([
  'ThrottlingException',
  'ProvisionedThroughputExceededException',
  'RequestLimitExceeded',
  'ValidationException',
  'ResourceNotFoundException',
  'AccessDeniedException',
  'IdempotentParameterMismatchException',
]);

const unavailable = (message: string) =>
  new Failure('platform_unavailable', message);

const unknown = (message: string, cause?: unknown) =>
  new Failure('platform_unknown', message, { executed: 'unknown', cause });

export class HttpTable extends Table {
  readonly #pool: Pool;
  readonly #timeoutMs: number;

  constructor(private readonly options: HttpTableOptions) {
    super();
    this.#timeoutMs = options.timeoutMs ?? callTimeoutMs;
    this.#pool = new Pool(options.url, {
      connections: maxConnections,
      connectTimeout: this.#timeoutMs,
    });
  }

  override async read(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    const rows: (Row | undefined)[] = [];
    for (let start = 0; start < keys.length; start += readBatch) {
      const batch = await this.#readBatch(keys.slice(start, start + readBatch));
      const found = batch.extract();
      if (found instanceof Failure) return Left(found);
      rows.push(...found);
    }
    return Right(rows);
  }

  override async scan(
    partition: string,
    options: ScanOptions = {},
  ): Promise<Either<Failure, readonly Row[]>> {
    const rows: Row[] = [];
    const limit = options.limit ?? Number.MAX_SAFE_INTEGER;
    const query = this.#queryBody(partition, options);
    let start: unknown = query.ExclusiveStartKey;
    do {
      const answer = await this.#readCall('Query', {
        ...query,
        Limit: options.limit === undefined ? undefined : limit - rows.length,
        ExclusiveStartKey: start,
      });
      const page = answer.chain(body => this.#parse(querySchema, body));
      const found = page.extract();
      if (found instanceof Failure) return Left(found);
      rows.push(...found.Items.map(toRow));
      start = found.LastEvaluatedKey;
    } while (start !== undefined && rows.length < limit);
    return Right(rows);
  }

  override async commit(
    transaction: Transaction,
  ): Promise<Either<Failure, Commit>> {
    const { token, writes } = transaction;
    const answer = await this.#call('TransactWriteItems', {
      ClientRequestToken: token,
      TransactItems: writes
        .filter(
          write => write.kind !== 'check' || write.condition.kind !== 'any',
        )
        .map(write => toTransactItem(this.options.table, write, token)),
    });
    const sent = answer.extract();
    if (sent instanceof Failure) return Left(sent);
    if (sent.status === 200) return Right({ kind: 'committed' });
    return this.#refused(sent, transaction);
  }

  /** Closes the connections; running calls end first. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  async #refused(
    { status, body }: Answer,
    { writes }: Transaction,
  ): Promise<Either<Failure, Commit>> {
    const error = errorSchema.safeParse(body).data;
    const name = error?.__type.split('#').at(-1) ?? `status ${status}`;
    if (name === 'TransactionCanceledException') {
      if (!JSON.stringify(body).includes('ConditionalCheckFailed')) {
        return Left(unavailable('the transaction met another one'));
      }
      const rows = await this.read(writes.map(write => write.key));
      return rows.map(found => ({ kind: 'conflict', rows: found }));
    }
    if (refusals.has(name)) return Left(unavailable(name));
    return Left(unknown(`the table answered ${name}`));
  }

  async #readBatch(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, (Row | undefined)[]>> {
    const answer = await this.#readCall('TransactGetItems', {
      TransactItems: keys.map(key => ({
        Get: { TableName: this.options.table, Key: toKey(key) },
      })),
    });
    return answer
      .chain(body => this.#parse(transactGetSchema, body))
      .map(found =>
        found.Responses.map(({ Item }) =>
          Item === undefined ? undefined : toRow(Item),
        ),
      );
  }

  #queryBody(partition: string, { after, prefix }: ScanOptions) {
    const values: Record<string, { S: string }> = { ':pk': { S: partition } };
    let expression = 'pk = :pk';
    if (prefix !== undefined && prefix !== '') {
      expression += ' AND begins_with(sk, :prefix)';
      values[':prefix'] = { S: prefix };
    } else if (after !== undefined) {
      expression += ' AND sk > :after';
      values[':after'] = { S: after };
    }
    const startsInside = after !== undefined && values[':prefix'] !== undefined;
    return {
      TableName: this.options.table,
      ConsistentRead: true,
      KeyConditionExpression: expression,
      ExpressionAttributeValues: values,
      ExclusiveStartKey: startsInside
        ? toKey({ partition, sort: after })
        : undefined,
    };
  }

  /** A read: without an answer it simply had no effect. */
  async #readCall(
    action: Action,
    body: unknown,
  ): Promise<Either<Failure, unknown>> {
    const answer = await this.#call(action, body);
    return answer
      .mapLeft(failure => unavailable(failure.message))
      .chain(({ status, body: found }) =>
        status === 200
          ? Right(found)
          : Left(unavailable(`the table answered with status ${status}`)),
      );
  }

  async #call(action: Action, body: unknown): Promise<Either<Failure, Answer>> {
    try {
      const answer = await this.#pool.request({
        method: 'POST',
        path: '/',
        headers: {
          'content-type': 'application/x-amz-json-1.0',
          'x-amz-target': `DynamoDB_20120810.${action}`,
        },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const text = await answer.body.text();
      const parsed: unknown = JSON.parse(text);
      return Right({ status: answer.statusCode, body: parsed });
    } catch (error) {
      const message = `no answer of the table: ${errorText(error)}`;
      if (neverSent(error)) return Left(unavailable(message));
      return Left(unknown(message, error));
    }
  }

  #parse<S extends z.ZodType>(
    schema: S,
    body: unknown,
  ): Either<Failure, z.output<S>> {
    const parsed = schema.safeParse(body);
    if (parsed.success) return Right(parsed.data);
    return Left(unavailable('the table gave a malformed answer'));
  }
}
