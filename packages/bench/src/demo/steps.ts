/** What the demo does, scene by scene. */
import { createHash } from 'node:crypto';

import type { ModelId } from '@medlarlever/core';
import { createCompletionText } from '@medlarlever/stand-ins';
import { request } from 'undici';
import { z } from 'zod';

import { DemoClient } from './demo-client.js';
import type { CompletionRequest, ClientResponse } from './demo-client.js';
import { operatorKey, postFleetMembers } from './deployment.js';
import type { DemoDeployment } from './deployment.js';
import { DemoProcess, programPath } from './demo-process.js';

const templatePath = '../examples/guia-editorial-andina/template.toml';
const chunksBeforeKill = 10;

/** What one caller or operator got. */
export interface DemoOutcome {
  readonly who: string;
  readonly what: string;
  readonly got: string;
  readonly ok: boolean;
}

const modelsByAlias: Record<string, ModelId> = {
  'style-check': { name: 'style-base', version: '1', adapter: 'bogota' },
  'style-base': { name: 'style-base', version: '1' },
};

const createClient = (deployment: DemoDeployment, first = 0): DemoClient => {
  const urls = deployment.daemons.map(({ callerUrl }) => callerUrl);
  const turned = [...urls.slice(first), ...urls.slice(0, first)];
  return new DemoClient({ key: 'demo-key-el-faro', urls: turned });
};

const checkResponse = (
  what: string,
  ask: CompletionRequest,
  reply: ClientResponse,
): DemoOutcome => {
  const model = modelsByAlias[ask.model];
  const expected =
    model === undefined
      ? ''
      : createCompletionText(ask.prompt, model, ask.maxTokens);
  const ok = reply.status === 200 && reply.text === expected;
  const got = ok
    ? `the whole answer (${ask.maxTokens} tokens)`
    : `status ${reply.status}: ${reply.text.slice(0, 300)}`;
  return { who: 'el-faro', what, got, ok };
};

/** Applies the example template with the command line. */
export const applyTemplate = async (
  { daemons }: DemoDeployment,
  started: DemoProcess[],
): Promise<DemoOutcome> => {
  const servers = daemons.flatMap(({ operatorUrl }) => [
    '--server',
    operatorUrl,
  ]);
  const command = new DemoProcess({
    name: 'medlarlever apply',
    resolveProgramPath: 'cli/bin/medlarlever.js',
    args: [
      'apply',
      programPath(templatePath),
      '--key',
      operatorKey,
      ...servers,
    ],
  });
  started.push(command);
  const code = await command.waitForExit();
  const got = `exit ${code ?? 'by signal'}: ${command.outputLines.at(-1) ?? ''}`;
  const what = 'apply the template';
  return { who: 'operator', what, got, ok: code === 0 };
};

/** An answer as a whole and one streamed, through different instances. */
export const requestWithoutFaults = async (
  deployment: DemoDeployment,
): Promise<DemoOutcome[]> => {
  const whole = {
    model: 'style-check',
    prompt: '¿Se escribe "Bogota" sin tilde?',
    maxTokens: 24,
  };
  const streamed = { ...whole, prompt: '¿Es "la Alcaldía" o "la alcaldía"?' };
  const replies = await Promise.all([
    createClient(deployment, 0).requestCompletion(whole),
    createClient(deployment, 1).streamCompletion(streamed, () => undefined),
  ]);
  return [
    checkResponse('a question, answered as a whole', whole, replies[0]),
    checkResponse('a question, answered as a stream', streamed, replies[1]),
  ];
};

const executionsSchema = z.object({
  executions: z.array(z.looseObject({ key: z.string().optional() })),
});

const countExecutions = async (
  { targets }: DemoDeployment,
  key: string,
): Promise<number> => {
  let runs = 0;
  for (const { member, process } of targets) {
    if (member.kind !== 'service' || !process.isRunning) continue;
    const { body } = await request(`http://${member.address}/executions`);
    const { executions } = executionsSchema.parse(await body.json());
    runs += executions.filter(run => run.key === key).length;
  }
  return runs;
};

/** The same amendment twice, through two instances. */
export const publishAmendmentTwice = async (
  deployment: DemoDeployment,
): Promise<DemoOutcome[]> => {
  const key = 'amendment-2026-118';
  const body = JSON.stringify({ rule: 'toponyms', text: 'Bogotá, con tilde' });
  const path = 'style-guide/publish-amendment';
  const first = await createClient(deployment, 0).callOperation(
    path,
    body,
    key,
  );
  const second = await createClient(deployment, 1).callOperation(
    path,
    body,
    key,
  );
  const runs = await countExecutions(deployment, key);
  const same = first.text === second.text && first.status === 200;
  return [
    {
      who: 'el-faro',
      what: 'publish an amendment twice with one key',
      got: `${first.status} and ${second.status}, ${same ? 'the same answer' : `${first.text} / ${second.text}`}; run ${runs} time(s) by the service`,
      ok: same && second.status === 200 && runs === 1,
    },
  ];
};

const digestText = (text: string) =>
  createHash('sha256').update(text).digest('hex').slice(0, 6);

/** Streams through the first instance while a process is killed. */
const streamDuringKill = async (
  deployment: DemoDeployment,
  what: string,
  kill: () => Promise<unknown>,
): Promise<DemoOutcome[]> => {
  const asks = Array.from({ length: 6 }, (_, n) => ({
    model: n % 2 === 0 ? 'style-check' : 'style-base',
    prompt: `Artículo ${n} ${digestText(what)}: revise el titular.`,
    maxTokens: 120,
  }));
  let killed: Promise<unknown> | undefined;
  const onChunk = (count: number) => {
    if (count >= chunksBeforeKill) killed ??= kill();
  };
  const replies = await Promise.all(
    asks.map((ask, n) =>
      createClient(deployment, n % 3).streamCompletion(ask, onChunk),
    ),
  );
  await killed;
  return asks.map((ask, n) =>
    checkResponse(
      `${what}, stream ${n + 1}`,
      ask,
      replies[n] ?? { status: 0, text: '' },
    ),
  );
};

/** Kills an engine that is generating. */
export const killEngineDuringStreams = async (
  deployment: DemoDeployment,
): Promise<DemoOutcome[]> => {
  const lost = deployment.targets.find(
    ({ member }) => member.kind === 'engine',
  );
  const name = lost?.member.name ?? '';
  return streamDuringKill(deployment, `engine ${name} killed`, async () =>
    lost?.process.kill(),
  );
};

/** Kills the instance through which a third of the callers stream. */
export const killDaemonDuringStreams = async (
  deployment: DemoDeployment,
): Promise<DemoOutcome[]> => {
  const [lost] = deployment.daemons;
  const name = lost?.process.name ?? '';
  return streamDuringKill(deployment, `instance ${name} killed`, async () =>
    lost?.process.kill(),
  );
};

/** Stops daemons first, then targets, then the platform. */
export const stopDeployment = async ({
  daemons,
  targets,
  platform,
  platformUrl,
}: DemoDeployment): Promise<DemoOutcome[]> => {
  const running = daemons.filter(({ process }) => process.isRunning);
  const codes = await Promise.all(running.map(({ process }) => process.stop()));
  await postFleetMembers(platformUrl, []);
  const others = [...targets.map(({ process }) => process), platform];
  const rest = await Promise.all(
    others.filter(({ isRunning: alive }) => alive).map(each => each.stop()),
  );
  const all = [...codes, ...rest];
  const graceful = all.filter(code => code === 0).length;
  return [
    {
      who: 'operator',
      what: 'graceful shutdown of every process',
      got: `${graceful} of ${all.length} exited with 0`,
      ok: graceful === all.length,
    },
  ];
};
