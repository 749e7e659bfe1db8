import { PassThrough, Readable } from 'node:stream';
import type { IncomingMessage } from 'node:http';

import test from 'ava';

import { BlockPool } from '../shared/block-pool.js';
import { ByteBlocks } from '../shared/byte-blocks.js';

import { BodyReader } from './body-reader.js';

const createMessage = (bytes: number): IncomingMessage =>
  Readable.from([Buffer.alloc(bytes)]) as unknown as IncomingMessage;

const limits = { maxBytes: 1_000_000, maxPauseMs: 1_000 };

test('bodies that targets read slowly are bounded by the memory of the process', async t => {
  const reader = new BodyReader(() => 200_000);
  const first = await reader.readBody(createMessage(150_000), limits);
  t.true(first.isRight());
  const second = await reader.readBody(createMessage(100_000), limits);
  t.like(second.extract(), { code: 'overloaded', executed: 'no' });
  t.is(reader.bufferedBytes, 150_000);
  reader.releaseBytes(150_000);
  const third = await reader.readBody(createMessage(100_000), limits);
  t.true(third.isRight());
});

/** Lets what was written reach its reader. */
const settle = () => new Promise(resolve => setImmediate(resolve));

// Guards against clients that stop in the middle of their bodies and shut out all others.
test('the body that has not grown for longest gives way to one that arrives', async t => {
  const reader = new BodyReader(() => 500_000);
  const stalled = new PassThrough();
  const growing = new PassThrough();
  const results = [stalled, growing].map(body => reader.readBody(body, limits));
  growing.write(Buffer.alloc(100_000));
  await settle();
  stalled.write(Buffer.alloc(100_000));
  await settle();
  growing.write(Buffer.alloc(40_000));
  const arriving = reader.readBody(createMessage(250_000), limits);
  t.like((await results[0])?.extract(), { code: 'overloaded', executed: 'no' });
  t.true((await arriving).isRight());
  growing.end();
  t.true((await results[1])?.isRight());
  t.is(reader.bufferedBytes, 390_000);
});

test('blocks of bodies that were given up are used again', t => {
  const pool = new BlockPool();
  const blocks = new ByteBlocks(pool);
  blocks.append(Buffer.alloc(200_000, 'x'));
  const { allocatedBytes } = blocks;
  blocks.clear();
  const freeBytes = pool.freeBytes;
  t.true(freeBytes > 0 && freeBytes <= allocatedBytes);
  const next = new ByteBlocks(pool);
  next.append(Buffer.alloc(200_000, 'y'));
  t.is(pool.freeBytes, 0);
  t.true(next.take().equals(Buffer.alloc(200_000, 'y')));
  t.is(pool.freeBytes, freeBytes);
  pool.trim(0);
  t.is(pool.freeBytes, 0);
});
