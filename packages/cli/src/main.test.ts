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
      (_error, out, errors) => {
        resolve({
          exitCode: child.exitCode ?? -1,
          stdout: out,
          stderr: errors,
        });
      },
    );
  });

type ResponsesByRoute = Record<string, { status: number; body: unknown }>;

/** A server of the operators' interface with fixed answers. */
const startServer = async (t: ExecutionContext, answers: ResponsesByRoute) => {
  const asked: string[] = [];
  const server = createServer((request, response) => {
    const name = `${request.method ?? ''} ${request.url ?? ''}`;
    asked.push(name);
    const { status, body } = answers[name] ?? { status: 404, body: {} };
    request.resume();
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, asked };
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

test('a broken template is named by line and exits with 1', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'medlarlever-'));
  const file = join(folder, 'broken.toml');
  const text = await readFile(examplePath, 'utf8');
  await writeFile(file, text.replace('priority = 5', 'priority = 50'));
  const { exitCode: code, stderr: errors } = await runCli('check', file);
  t.is(code, 1);
  t.regex(errors, /broken\.toml:\d+: ranking\.priority: .*9/);
  t.is((await runCli('check')).exitCode, 2);
  t.is((await runCli('chek', file)).exitCode, 2);
});

test('an apply waits for every instance and names who lacks it', async t => {
  const answers: ResponsesByRoute = {
    'GET /operator/configuration': configurationResponse,
    'POST /operator/configuration': createOkResponse({
      revision: 5,
      operationId: 'x',
    }),
    'GET /operator/status': createStatusResponse(4),
  };
  const { url } = await startServer(t, answers);
  const args = ['apply', examplePath, '--json', '--server', url];
  const late = await runCli(...args, '--wait-ms', '1');
  t.is(late.exitCode, 5, late.stderr);
  t.deepEqual(JSON.parse(late.stdout), {
    revision: 5,
    inForce: false,
    lacking: ['entry-2'],
  });
  answers['GET /operator/status'] = createStatusResponse(5);
  t.is((await runCli(...args)).exitCode, 0);
});

test('an interrupted apply is not submitted again', async t => {
  const { url, asked } = await startServer(t, {
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
  t.false(asked.some(name => name.startsWith('POST')));
});

test('conflicts and absent servers have codes of their own', async t => {
  const error = {
    number: 4001,
    name: 'revision_conflict',
    message: 'the configuration has moved on',
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
  facts: Readonly<Record<string, unknown>>,
) =>
  JSON.stringify({
    event,
    name,
    ...facts,
    _meta: { name: instance, date: `2026-01-01T00:00:0${second}.000Z` },
  });

test('trace tells one request from several log files in order of time', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'trace-'));
  const one = join(folder, 'one.log');
  const two = join(folder, 'two.log');
  const failed = { request: 'r1', target: 'i-1', kind: 'broken' };
  await writeFile(
    one,
    [
      formatLogLine('e1', 3, 502, 'request_ended', { request: 'r1' }),
      formatLogLine('e1', 2, 503, 'attempt_failed', failed),
      formatLogLine('e1', 2, 501, 'request_answered', { request: 'other' }),
      'not a line',
    ].join('\n'),
  );
  await writeFile(
    two,
    `12.3 e2 ${formatLogLine('e2', 1, 401, 'target_leaving', { target: 'i-1' })}\n`,
  );
  const { exitCode: code, stdout: out } = await runCli(
    'trace',
    'r1',
    one,
    two,
    '--json',
  );
  t.is(code, 0);
  const rows = JSON.parse(out) as { event: string; instance: string }[];
  t.deepEqual(
    rows.map(({ event }) => event),
    ['401 target_leaving', '503 attempt_failed', '502 request_ended'],
  );
  t.is((await runCli('trace', 'unknown', one)).exitCode, 1);
  t.is((await runCli('trace', 'r1')).exitCode, 2);
});
