/** Tests of the command line, run as a child process against a fake server. */
import { execFile } from 'node:child_process';
import { mkdtemp, readFile, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import test from 'ava';
import type { ExecutionContext } from 'ava';

const programPath = fileURLToPath(
  new URL('../bin/medlarlever.js', import.meta.url),
);
const examplePath = fileURLToPath(
  new URL(
    '../../../examples/guia-editorial-andina/template.toml',
    import.meta.url,
  ),
);

interface RunResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

const runCli = (...args: string[]): Promise<RunResult> =>
  new Promise(resolve => {
    const child = execFile(
      process.execPath,
      [programPath, ...args],
      (_error, stdout, stderr) => {
        resolve({
          exitCode: child.exitCode ?? -1,
          stdout,
          stderr,
        });
      },
    );
  });

type ResponsesByRoute = Record<string, { status: number; body: unknown }>;

/**
 * Starts a fake operators' API that returns fixed responses and records the method
 * and path of each request.
 */
const startServer = async (
  t: ExecutionContext,
  responses: ResponsesByRoute,
) => {
  const requestLines: string[] = [];
  const server = createServer((request, response) => {
    const requestLine = `${request.method ?? ''} ${request.url ?? ''}`;
    requestLines.push(requestLine);
    const { status, body } = responses[requestLine] ?? {
      status: 404,
      body: {},
    };
    request.resume();
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, requestLines };
};

const createOkResponse = (body: unknown) => ({ status: 200, body });

const configurationResponse = createOkResponse({
  revision: 4,
  operationId: 'o4',
  templates: {},
});

const createStatusResponse = (revision: number) =>
  createOkResponse({
    instance: 'entry-1',
    revision: 5,
    ready: true,
    instances: [{ name: 'entry-2', state: 'live', revision }],
  });

test('check reports the file and line of an invalid template and exits with 1', async t => {
  const directory = await mkdtemp(join(tmpdir(), 'medlarlever-'));
  const file = join(directory, 'broken.toml');
  const text = await readFile(examplePath, 'utf8');
  await writeFile(file, text.replace('priority = 5', 'priority = 50'));
  const { exitCode, stderr } = await runCli('check', file);
  t.is(exitCode, 1);
  t.regex(stderr, /broken\.toml:\d+: ranking\.priority: .*9/);
  t.is((await runCli('check')).exitCode, 2);
  t.is((await runCli('chek', file)).exitCode, 2);
});

test('apply waits for all instances and lists those without the revision', async t => {
  const responses: ResponsesByRoute = {
    'GET /operator/configuration': configurationResponse,
    'POST /operator/configuration': createOkResponse({
      revision: 5,
      operationId: 'x',
    }),
    'GET /operator/status': createStatusResponse(4),
  };
  const { url } = await startServer(t, responses);
  const args = ['apply', examplePath, '--json', '--server', url];
  const timedOut = await runCli(...args, '--wait-ms', '1');
  t.is(timedOut.exitCode, 5, timedOut.stderr);
  t.deepEqual(JSON.parse(timedOut.stdout), {
    revision: 5,
    inForce: false,
    lacking: ['entry-2'],
  });
  responses['GET /operator/status'] = createStatusResponse(5);
  t.is((await runCli(...args)).exitCode, 0);
});

test('apply with the id of a committed operation does not submit it again', async t => {
  const { url, requestLines } = await startServer(t, {
    'GET /operator/operations/op-7': createOkResponse({
      state: 'committed',
      revision: 5,
    }),
    'GET /operator/status': createStatusResponse(5),
  });
  const args = [
    'apply',
    examplePath,
    '--operation-id',
    'op-7',
    '--server',
    url,
  ];
  t.is((await runCli(...args)).exitCode, 0);
  t.false(requestLines.some(line => line.startsWith('POST')));
});

test('conflicts and unreachable servers have separate exit codes', async t => {
  const error = {
    number: 4001,
    name: 'revision_conflict',
    message: 'the configuration has a newer revision',
    executed: 'no',
    details: { head: 6 },
  };
  const { url } = await startServer(t, {
    'GET /operator/configuration': configurationResponse,
    'POST /operator/configuration': { status: 409, body: { error } },
  });
  const conflict = await runCli(
    'apply',
    examplePath,
    '--json',
    '--server',
    url,
  );
  t.is(conflict.exitCode, 3, conflict.stderr);
  t.like(JSON.parse(conflict.stdout), { error: { details: { head: 6 } } });
  t.is((await runCli('get', '--server', 'http://127.0.0.1:1')).exitCode, 4);
});

const formatLogLine = (
  instance: string,
  second: number,
  event: number,
  name: string,
  fields: Readonly<Record<string, unknown>>,
) =>
  JSON.stringify({
    event,
    name,
    ...fields,
    _meta: { name: instance, date: `2026-01-01T00:00:0${second}.000Z` },
  });

test('trace lists the events of one request from several log files by time', async t => {
  const directory = await mkdtemp(join(tmpdir(), 'trace-'));
  const firstLog = join(directory, 'one.log');
  const secondLog = join(directory, 'two.log');
  const failedAttempt = { request: 'r1', target: 'i-1', kind: 'broken' };
  await writeFile(
    firstLog,
    [
      formatLogLine('e1', 3, 502, 'request_ended', { request: 'r1' }),
      formatLogLine('e1', 2, 503, 'attempt_failed', failedAttempt),
      formatLogLine('e1', 2, 501, 'request_answered', { request: 'other' }),
      'not a line',
    ].join('\n'),
  );
  await writeFile(
    secondLog,
    `12.3 e2 ${formatLogLine('e2', 1, 401, 'target_leaving', { target: 'i-1' })}\n`,
  );
  const { exitCode, stdout } = await runCli(
    'trace',
    'r1',
    firstLog,
    secondLog,
    '--json',
  );
  t.is(exitCode, 0);
  const rows = JSON.parse(stdout) as { event: string; instance: string }[];
  t.deepEqual(
    rows.map(({ event }) => event),
    ['401 target_leaving', '503 attempt_failed', '502 request_ended'],
  );
  t.is((await runCli('trace', 'unknown', firstLog)).exitCode, 1);
  t.is((await runCli('trace', 'r1')).exitCode, 2);
});
