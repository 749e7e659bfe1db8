/** Reads and writes configurations at the platform, fetching what is lacking. */
import { LRUCache } from 'lru-cache';
import { Just, Left, Maybe, Nothing, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { ObjectStore } from '../object-store/object-store.js';
import { Failure, toFailure } from '../shared/failure.js';
import { runSteps } from '../shared/run-catching.js';
import { jittered, sleep } from '../shared/time.js';
import type { Row, Table } from '../table/table.js';

import { canonicalJson, digestOf } from './digest.js';
import {
  emptyHead,
  emptyManifestText,
  headKey,
  headSchema,
  manifestSchema,
} from './revision-records.js';
import type { Head, Manifest } from './revision-records.js';
import { templateSchema } from './template.js';
import type { Configuration, Template } from './template.js';

const cachedBytes = 32 * 1024 * 1024;
const cachedTemplates = 10_000;

const putAttempts = 3;
const putPauseMs = 200;

export interface ConfigurationStoreOptions {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly random: () => number;
}

/** A revision with the bodies that a receiver lacks, by digest. */
export const snapshotSchema = z.object({
  head: headSchema,
  bodies: z.record(z.string(), z.string()),
});
export type Snapshot = z.infer<typeof snapshotSchema>;

/** The head with the row that a change of it must be based on. */
export interface HeadRow {
  readonly head: Head;
  readonly row: Row | undefined;
}

const objectName = (digest: string) => `config/${digest}`;

export const toHead = (row: Row | undefined): Head =>
  row === undefined ? emptyHead : headSchema.parse(row.value);

export class ConfigurationStore {
  readonly #bodies = new LRUCache<string, string>({
    maxSize: cachedBytes,
    sizeCalculation: text => text.length + 1,
  });
  readonly #templates = new LRUCache<string, Template>({
    max: cachedTemplates,
  });

  readonly #options: ConfigurationStoreOptions;

  constructor(options: ConfigurationStoreOptions) {
    this.#options = options;
    this.#bodies.set(emptyHead.manifest, emptyManifestText);
  }

  async head(): Promise<Either<Failure, Head>> {
    const rows = await this.#options.table.read([headKey]);
    return rows.map(([row]) => toHead(row));
  }

  /** The whole configuration of a head. */
  load(head: Head): Promise<Either<Failure, Configuration>> {
    return runSteps(async unwrap => {
      const manifest = await unwrap(this.manifest(head.manifest));
      const templates: Record<string, Template> = {};
      for (const [name, digest] of Object.entries(manifest)) {
        templates[name] = await unwrap(this.template(digest));
      }
      const { revision, operationId } = head;
      return { revision, operationId, templates };
    });
  }

  async manifest(digest: string): Promise<Either<Failure, Manifest>> {
    const text = await this.#body(digest);
    return text.map(body => manifestSchema.parse(JSON.parse(body)));
  }

  async template(digest: string): Promise<Either<Failure, Template>> {
    const known = this.#templates.get(digest);
    if (known !== undefined) return Right(known);
    const text = await this.#body(digest);
    return text.map(body => {
      const template = templateSchema.parse(JSON.parse(body));
      this.#templates.set(digest, template);
      return template;
    });
  }

  /** Stores a value under the digest of its text; repeating is harmless. */
  async save(value: unknown): Promise<Either<Failure, string>> {
    const text = canonicalJson(value);
    const digest = digestOf(text);
    for (let attempt = 1; ; attempt += 1) {
      const stored = await this.#put(digest, text);
      if (stored.isRight() || attempt === putAttempts) return stored;
      await sleep(jittered(putPauseMs * attempt, this.#options.random));
    }
  }

  async #put(digest: string, text: string): Promise<Either<Failure, string>> {
    const { objects } = this.#options;
    const stored = await objects.put(objectName(digest), Buffer.from(text));
    return stored.map(() => {
      this.#bodies.set(digest, text);
      return digest;
    });
  }

  /**
   * What a peer with the manifest `base` lacks of a head; `Nothing` when this
   * cache lacks a part of it.
   */
  snapshot(head: Head, base: string): Maybe<Snapshot> {
    const bodies: Record<string, string> = {};
    const have = new Set(this.#cachedDigests(base).orDefault([]));
    const wanted = this.#cachedDigests(head.manifest);
    if (wanted.isNothing()) return Nothing;
    for (const digest of [head.manifest, ...wanted.orDefault([])]) {
      if (have.has(digest)) continue;
      const text = this.#bodies.get(digest);
      if (text === undefined) return Nothing;
      bodies[digest] = text;
    }
    return Just({ head, bodies });
  }

  /** Takes bodies from a peer; those that differ from their digest are dropped. */
  take(snapshot: Snapshot): void {
    for (const [digest, text] of Object.entries(snapshot.bodies)) {
      if (digestOf(text) === digest) this.#bodies.set(digest, text);
    }
  }

  #cachedDigests(manifest: string): Maybe<readonly string[]> {
    return Maybe.fromNullable(this.#bodies.get(manifest))
      .map(text => manifestSchema.parse(JSON.parse(text)))
      .map(Object.values<string>);
  }

  async #body(digest: string): Promise<Either<Failure, string>> {
    const known = this.#bodies.get(digest);
    if (known !== undefined) return Right(known);
    const found = await this.#options.objects.get(objectName(digest));
    return found.chain(maybe =>
      maybe
        .map(body => Buffer.from(body).toString('utf8'))
        .toEither(new Failure('not_found', `object ${digest} is missing`))
        .chain(text => this.#verified(digest, text)),
    );
  }

  #verified(digest: string, text: string): Either<Failure, string> {
    if (digestOf(text) !== digest) {
      return Left(toFailure(new Error(`object ${digest} is damaged`)));
    }
    this.#bodies.set(digest, text);
    return Right(text);
  }
}
