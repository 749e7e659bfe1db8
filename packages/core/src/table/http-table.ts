/** The platform's table over DynamoDB's JSON API, API version 2012-08-10. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Pool } from 'undici';
import { z } from 'zod';

import { Failure } from '../shared/failure.js';
import { describeError, isUnsentError } from '../shared/http-errors.js';

import {
  dynamoItemSchema,
  toDynamoKey,
  parseDynamoItem,
  toTransactItem,
} from './dynamo-items.js';
import { Table } from './table.js';
import type {
  CommitResult,
  Row,
  RowKey,
  ScanOptions,
  Transaction,
} from './table.js';

const defaultCallTimeoutMs = 5_000;
const maxConnections = 16;
const maxKeysPerRead = 100;

export interface HttpTableOptions {
  /** Origin of the service, `http://ip:port`. */
  readonly url: string;
  readonly tableName: string;
  readonly timeoutMs?: number;
}

type DynamoAction = 'TransactWriteItems' | 'TransactGetItems' | 'Query';

/** Answer of the service that came whole. */
interface DynamoResponse {
  readonly status: number;
  readonly body: unknown;
}

const errorSchema = z.object({
  __type: z.string(),
  message: z.string().optional(),
  Message: z.string().optional(),
});

const transactGetResponseSchema = z.object({
  Responses: z.array(z.object({ Item: dynamoItemSchema.optional() })),
});

const queryResponseSchema = z.object({
  Items: z.array(dynamoItemSchema),
  LastEvaluatedKey: z.unknown().optional(),
});

/** Errors by which the service says that it did nothing. */
const rejectionErrorNames: ReadonlySet<string> = new Set([
  'ThrottlingException',
  'ProvisionedThroughputExceededException',
  'RequestLimitExceeded',
  'ValidationException',
  'ResourceNotFoundException',
  'AccessDeniedException',
  'IdempotentParameterMismatchException',
]);

const createUnavailableFailure = (message: string) =>
  new Failure('platform_unavailable', message);

const createUnknownFailure = (message: string, cause?: unknown) =>
  new Failure('platform_unknown', message, { executed: 'unknown', cause });

export class HttpTable extends Table {
  readonly #pool: Pool;
  readonly #timeoutMs: number;

  constructor(private readonly options: HttpTableOptions) {
    super();
    this.#timeoutMs = options.timeoutMs ?? defaultCallTimeoutMs;
    this.#pool = new Pool(options.url, {
      connections: maxConnections,
      connectTimeout: this.#timeoutMs,
    });
  }

  override async readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    const rows: (Row | undefined)[] = [];
    for (let start = 0; start < keys.length; start += maxKeysPerRead) {
      const batch = await this.#readRows(
        keys.slice(start, start + maxKeysPerRead),
      );
      const found = batch.extract();
      if (found instanceof Failure) return Left(found);
      rows.push(...found);
    }
    return Right(rows);
  }

  override async scanPartition(
    partition: string,
    options: ScanOptions = {},
  ): Promise<Either<Failure, readonly Row[]>> {
    const rows: Row[] = [];
    const limit = options.limit ?? Number.MAX_SAFE_INTEGER;
    const query = this.#createQuery(partition, options);
    let start: unknown = query.ExclusiveStartKey;
    do {
      const answer = await this.#sendRead('Query', {
        ...query,
        Limit: options.limit === undefined ? undefined : limit - rows.length,
        ExclusiveStartKey: start,
      });
      const page = answer.chain(body =>
        this.#parseResponse(queryResponseSchema, body),
      );
      const found = page.extract();
      if (found instanceof Failure) return Left(found);
      rows.push(...found.Items.map(parseDynamoItem));
      start = found.LastEvaluatedKey;
    } while (start !== undefined && rows.length < limit);
    return Right(rows);
  }

  override async commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const { token, writes } = transaction;
    const answer = await this.#sendRequest('TransactWriteItems', {
      ClientRequestToken: token,
      TransactItems: writes
        .filter(
          write => write.kind !== 'check' || write.condition.kind !== 'any',
        )
        .map(write => toTransactItem(this.options.tableName, write, token)),
    });
    const sent = answer.extract();
    if (sent instanceof Failure) return Left(sent);
    if (sent.status === 200) return Right({ kind: 'committed' });
    return this.#toCommitResult(sent, transaction);
  }

  /** Closes the connections; running calls end first. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  async #toCommitResult(
    { status, body }: DynamoResponse,
    { writes }: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const error = errorSchema.safeParse(body).data;
    const name = error?.__type.split('#').at(-1) ?? `status ${status}`;
    if (name === 'TransactionCanceledException') {
      if (!JSON.stringify(body).includes('ConditionalCheckFailed')) {
        return Left(
          createUnavailableFailure('the transaction met another one'),
        );
      }
      const rows = await this.readRows(writes.map(write => write.key));
      return rows.map(found => ({ kind: 'conflict', rows: found }));
    }
    if (rejectionErrorNames.has(name))
      return Left(createUnavailableFailure(name));
    return Left(createUnknownFailure(`the table answered ${name}`));
  }

  async #readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, (Row | undefined)[]>> {
    const answer = await this.#sendRead('TransactGetItems', {
      TransactItems: keys.map(key => ({
        Get: { TableName: this.options.tableName, Key: toDynamoKey(key) },
      })),
    });
    return answer
      .chain(body => this.#parseResponse(transactGetResponseSchema, body))
      .map(found =>
        found.Responses.map(({ Item }) =>
          Item === undefined ? undefined : parseDynamoItem(Item),
        ),
      );
  }

  #createQuery(partition: string, { after, prefix }: ScanOptions) {
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
      TableName: this.options.tableName,
      ConsistentRead: true,
      KeyConditionExpression: expression,
      ExpressionAttributeValues: values,
      ExclusiveStartKey: startsInside
        ? toDynamoKey({ partition, sort: after })
        : undefined,
    };
  }

  /** A read: without an answer it simply had no effect. */
  async #sendRead(
    action: DynamoAction,
    body: unknown,
  ): Promise<Either<Failure, unknown>> {
    const answer = await this.#sendRequest(action, body);
    return answer
      .mapLeft(failure => createUnavailableFailure(failure.message))
      .chain(({ status, body: found }) =>
        status === 200
          ? Right(found)
          : Left(
              createUnavailableFailure(
                `the table answered with status ${status}`,
              ),
            ),
      );
  }

  async #sendRequest(
    action: DynamoAction,
    body: unknown,
  ): Promise<Either<Failure, DynamoResponse>> {
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
      const message = `no answer of the table: ${describeError(error)}`;
      if (isUnsentError(error)) return Left(createUnavailableFailure(message));
      return Left(createUnknownFailure(message, error));
    }
  }

  #parseResponse<S extends z.ZodType>(
    schema: S,
    body: unknown,
  ): Either<Failure, z.output<S>> {
    const parsed = schema.safeParse(body);
    if (parsed.success) return Right(parsed.data);
    return Left(createUnavailableFailure('the table gave a malformed answer'));
  }
}
