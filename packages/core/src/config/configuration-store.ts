/** Reads and writes configurations at the platform, with a cache of bodies. */
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

/** A head with the bodies that the receiving peer lacks, by digest. */
export const configurationSnapshotSchema = z.object({
  head: configurationHeadSchema,
  bodies: z.record(z.string(), z.string()),
});
export type ConfigurationSnapshot = z.infer<typeof configurationSnapshotSchema>;

/** The head, and its row for compare-and-set; `undefined` if none is stored. */
export interface HeadRow {
  readonly head: ConfigurationHead;
  readonly row: Row | undefined;
}

const getObjectName = (digest: string) => `config/${digest}`;

/** Parses the head row; without a row, returns the empty head of revision 0. */
export const parseHead = (row: Row | undefined): ConfigurationHead =>
  row === undefined ? emptyHead : configurationHeadSchema.parse(row.value);

/**
 * Stores templates and manifests as immutable objects named by their digest,
 * and caches them.
 */
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

  /** Reads the head row from the table. */
  async readHead(): Promise<Either<Failure, ConfigurationHead>> {
    const rows = await this.#options.table.readRows([headRowKey]);
    return rows.map(([row]) => parseHead(row));
  }

  /** Loads the manifest of a head and all templates that it lists. */
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

  /** Loads the manifest from the cache or the object store by its digest. */
  async loadManifest(digest: string): Promise<Either<Failure, Manifest>> {
    const text = await this.#loadBody(digest);
    return text.map(body => manifestSchema.parse(JSON.parse(body)));
  }

  /** Loads a template from the cache or the object store by its digest. */
  async loadTemplate(digest: string): Promise<Either<Failure, Template>> {
    const cached = this.#templateCache.get(digest);
    if (cached !== undefined) return Right(cached);
    const text = await this.#loadBody(digest);
    return text.map(body => {
      const template = templateSchema.parse(JSON.parse(body));
      this.#templateCache.set(digest, template);
      return template;
    });
  }

  /**
   * Stores a value as JSON under its digest and returns the digest; idempotent.
   */
  async saveObject(value: unknown): Promise<Either<Failure, string>> {
    const text = toCanonicalJson(value);
    const digest = computeDigest(text);
    for (let attempt = 1; ; attempt += 1) {
      const result = await this.#putBody(digest, text);
      if (result.isRight() || attempt === maxPutAttempts) return result;
      await sleep(addJitter(putRetryDelayMs * attempt, this.#options.random));
    }
  }

  async #putBody(
    digest: string,
    text: string,
  ): Promise<Either<Failure, string>> {
    const { objects } = this.#options;
    const result = await objects.putObject(
      getObjectName(digest),
      Buffer.from(text),
    );
    return result.map(() => {
      this.#bodyCache.set(digest, text);
      return digest;
    });
  }

  /**
   * Collects the bodies of `head` that a peer with the manifest `base` lacks.
   * `Nothing` if this cache lacks a body of `head` that the peer needs.
   */
  createSnapshot(
    head: ConfigurationHead,
    base: string,
  ): Maybe<ConfigurationSnapshot> {
    const bodies: Record<string, string> = {};
    const heldDigests = new Set(this.#getCachedDigests(base).orDefault([]));
    const neededDigests = this.#getCachedDigests(head.manifest);
    if (neededDigests.isNothing()) return Nothing;
    for (const digest of [head.manifest, ...neededDigests.orDefault([])]) {
      if (heldDigests.has(digest)) continue;
      const text = this.#bodyCache.get(digest);
      if (text === undefined) return Nothing;
      bodies[digest] = text;
    }
    return Just({ head, bodies });
  }

  /** Caches a peer's bodies; ignores those that don't match their digest. */
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
    const cached = this.#bodyCache.get(digest);
    if (cached !== undefined) return Right(cached);
    const result = await this.#options.objects.getObject(getObjectName(digest));
    return result.chain(body =>
      body
        .map(bytes => Buffer.from(bytes).toString('utf8'))
        .toEither(
          new Failure(
            'not_found',
            `configuration object ${digest} does not exist in the object store`,
          ),
        )
        .chain(text => this.#verifyBody(digest, text)),
    );
  }

  #verifyBody(digest: string, text: string): Either<Failure, string> {
    if (computeDigest(text) !== digest) {
      return Left(
        toFailure(
          new Error(
            `content of configuration object ${digest} does not match its digest`,
          ),
        ),
      );
    }
    this.#bodyCache.set(digest, text);
    return Right(text);
  }
}
