import { once } from 'node:events';
import { connect } from 'node:net';
import { Worker } from 'node:worker_threads';

import test from 'ava';
import type { ExecutionContext } from 'ava';

const heapMegabytes = 64;
const textBytes = 2_000_000;

/** Starts a server on a thread with a small heap; resolves to its port. */
const startServer = async (t: ExecutionContext): Promise<number> => {
  const worker = new Worker(
    new URL('../fixtures/body-server-worker.js', import.meta.url),
    { resourceLimits: { maxOldGenerationSizeMb: heapMegabytes } },
  );
  t.teardown(() => worker.terminate());
  // A thread without memory ends with an error.
  worker.on('error', () => undefined);
  const [port] = (await once(worker, 'message')) as [number];
  return port;
};

/** Sends the head and the body; resolves to what came back. */
const exchange = (port: number, head: string, body: Buffer): Promise<string> =>
  new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(text);
    });
    socket.write(
      'POST / HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n' +
        `Content-Type: application/json\r\n${head}\r\n`,
    );
    socket.write(body);
  });

// Guards against chunks that are kept one by one, which take many times their length.
test('a long body in chunks of one byte is read with a small heap', async t => {
  const port = await startServer(t);
  const quote = '1\r\n"\r\n';
  const chunk = '1\r\nx\r\n';
  const body = Buffer.concat([
    Buffer.from(quote),
    Buffer.alloc(textBytes * chunk.length, chunk),
    Buffer.from(`${quote}0\r\n\r\n`),
  ]);
  const answer = await exchange(port, 'Transfer-Encoding: chunked\r\n', body);
  t.regex(answer, /^HTTP\/1\.1 200 /);
  t.true(answer.endsWith(`{"length":${textBytes + 2}}`), answer);
});

test('a body over the limit is refused with an answer', async t => {
  const port = await startServer(t);
  const bytes = 9 * 1024 * 1024;
  const body = Buffer.alloc(bytes, 'x');
  const answer = await exchange(port, `Content-Length: ${bytes}\r\n`, body);
  t.regex(answer, /longer than 8388608 bytes/);
});
