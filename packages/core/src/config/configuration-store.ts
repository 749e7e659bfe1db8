/** Reads and writes configurations at the platform, fetching what is lacking. */
import { LRUCache } from 'lru-cache';
import { Just, Left, Maybe, Nothing, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { ObjectStore } from '../object-store/object-store.js';
import { Failure, toFailure } from '../shared/failure.js';
import { runCatching } from '../shared/run-catching.js';
import { addJitter, sleep } from '../shared/time.js';
import type { Row, Table } from '../table/table.js';

import { toCanonicalJson, computeDigest } from './digest.js';
import {
  emptyHead,
  emptyManifestText,
  headRowKey,
  configurationHeadSchema,
  manifestSchema,
} from './revision-records.js';
import type { ConfigurationHead, Manifest } from './revision-records.js';
import { templateSchema } from './template.js';
import type { Configuration, Template } from './template.js';

const maxCachedBytes = 32 * 1024 * 1024;
const maxCachedTemplates = 10_000;

const maxPutAttempts = 3;
const putRetryDelayMs = 200;

export interface ConfigurationStoreOptions {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly random: () => number;
}

/** A revision with the bodies that a receiver lacks, by digest. */
export const configurationSnapshotSchema = z.object({
  head: configurationHeadSchema,
  bodies: z.record(z.string(), z.string()),
});
export type ConfigurationSnapshot = z.infer<typeof configurationSnapshotSchema>;

/** The head with the row that a change of it must be based on. */
export interface HeadRow {
  readonly head: ConfigurationHead;
  readonly row: Row | undefined;
}

const getObjectName = (digest: string) => `config/${digest}`;

export const parseHead = (row: Row | undefined): ConfigurationHead =>
  row === undefined ? emptyHead : configurationHeadSchema.parse(row.value);

export class ConfigurationStore {
  readonly #bodyCache = new LRUCache<string, string>({
    maxSize: maxCachedBytes,
    sizeCalculation: text => text.length + 1,
  });
  readonly #templateCache = new LRUCache<string, Template>({
    max: maxCachedTemplates,
  });

  readonly #options: ConfigurationStoreOptions;

  constructor(options: ConfigurationStoreOptions) {
    this.#options = options;
    this.#bodyCache.set(emptyHead.manifest, emptyManifestText);
  }

  async readHead(): Promise<Either<Failure, ConfigurationHead>> {
    const rows = await this.#options.table.readRows([headRowKey]);
    return rows.map(([row]) => parseHead(row));
  }

  /** The whole configuration of a head. */
  loadConfiguration(
    head: ConfigurationHead,
  ): Promise<Either<Failure, Configuration>> {
    return runCatching(async unwrap => {
      const manifest = await unwrap(this.loadManifest(head.manifest));
      const templates: Record<string, Template> = {};
      for (const [name, digest] of Object.entries(manifest)) {
        templates[name] = await unwrap(this.loadTemplate(digest));
      }
      const { revision, operationId } = head;
      return { revision, operationId, templates };
    });
  }

  async loadManifest(digest: string): Promise<Either<Failure, Manifest>> {
    const text = await this.#loadBody(digest);
    return text.map(body => manifestSchema.parse(JSON.parse(body)));
  }

  async loadTemplate(digest: string): Promise<Either<Failure, Template>> {
    const known = this.#templateCache.get(digest);
    if (known !== undefined) return Right(known);
    const text = await this.#loadBody(digest);
    return text.map(body => {
      const template = templateSchema.parse(JSON.parse(body));
      this.#templateCache.set(digest, template);
      return template;
    });
  }

  /** Stores a value under the digest of its text; repeating is harmless. */
  async saveObject(value: unknown): Promise<Either<Failure, string>> {
    const text = toCanonicalJson(value);
    const digest = computeDigest(text);
    for (let attempt = 1; ; attempt += 1) {
      const stored = await this.#putBody(digest, text);
      if (stored.isRight() || attempt === maxPutAttempts) return stored;
      await sleep(addJitter(putRetryDelayMs * attempt, this.#options.random));
    }
  }

  async #putBody(
    digest: string,
    text: string,
  ): Promise<Either<Failure, string>> {
    const { objects } = this.#options;
    const stored = await objects.putObject(
      getObjectName(digest),
      Buffer.from(text),
    );
    return stored.map(() => {
      this.#bodyCache.set(digest, text);
      return digest;
    });
  }

  /**
   * What a peer with the manifest `base` lacks of a head; `Nothing` when this
   * cache lacks a part of it.
   */
  createSnapshot(
    head: ConfigurationHead,
    base: string,
  ): Maybe<ConfigurationSnapshot> {
    const bodies: Record<string, string> = {};
    const have = new Set(this.#getCachedDigests(base).orDefault([]));
    const wanted = this.#getCachedDigests(head.manifest);
    if (wanted.isNothing()) return Nothing;
    for (const digest of [head.manifest, ...wanted.orDefault([])]) {
      if (have.has(digest)) continue;
      const text = this.#bodyCache.get(digest);
      if (text === undefined) return Nothing;
      bodies[digest] = text;
    }
    return Just({ head, bodies });
  }

  /** Takes bodies from a peer; those that differ from their digest are dropped. */
  cacheSnapshot(snapshot: ConfigurationSnapshot): void {
    for (const [digest, text] of Object.entries(snapshot.bodies)) {
      if (computeDigest(text) === digest) this.#bodyCache.set(digest, text);
    }
  }

  #getCachedDigests(manifest: string): Maybe<readonly string[]> {
    return Maybe.fromNullable(this.#bodyCache.get(manifest))
      .map(text => manifestSchema.parse(JSON.parse(text)))
      .map(Object.values<string>);
  }

  async #loadBody(digest: string): Promise<Either<Failure, string>> {
    const known = this.#bodyCache.get(digest);
    if (known !== undefined) return Right(known);
    const found = await this.#options.objects.getObject(getObjectName(digest));
    return found.chain(maybe =>
      maybe
        .map(body => Buffer.from(body).toString('utf8'))
        .toEither(new Failure('not_found', `object ${digest} is missing`))
        .chain(text => this.#verifyBody(digest, text)),
    );
  }

  #verifyBody(digest: string, text: string): Either<Failure, string> {
    if (computeDigest(text) !== digest) {
      return Left(toFailure(new Error(`object ${digest} is damaged`)));
    }
    this.#bodyCache.set(digest, text);
    return Right(text);
  }
}
