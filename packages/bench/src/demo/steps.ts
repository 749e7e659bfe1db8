/** What the demo does, scene by scene. */
import { createHash } from 'node:crypto';

import type { ModelId } from '@medlarlever/core';
import { createCompletionText } from '@medlarlever/stand-ins';
import { request } from 'undici';
import { z } from 'zod';

import { Caller } from './demo-client.js';
import type { GenerationAsk, Reply } from './demo-client.js';
import { operatorKey, tellFleet } from './deployment.js';
import type { Deployment } from './deployment.js';
import { DemoProcess, programPath } from './demo-process.js';

const template = '../examples/guia-editorial-andina/template.toml';
const chunksBeforeKill = 10;

/** What one caller or operator got. */
export interface Outcome {
  readonly who: string;
  readonly what: string;
  readonly got: string;
  readonly ok: boolean;
}

const models: Record<string, ModelId> = {
  'style-check': { name: 'style-base', version: '1', adapter: 'bogota' },
  'style-base': { name: 'style-base', version: '1' },
};

const callerOf = (deployment: Deployment, first = 0): Caller => {
  const urls = deployment.daemons.map(({ callerUrl }) => callerUrl);
  const turned = [...urls.slice(first), ...urls.slice(0, first)];
  return new Caller({ key: 'demo-key-el-faro', urls: turned });
};

const judge = (what: string, ask: GenerationAsk, reply: Reply): Outcome => {
  const model = models[ask.model];
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
  { daemons }: Deployment,
  started: DemoProcess[],
): Promise<Outcome> => {
  const servers = daemons.flatMap(({ operatorUrl }) => [
    '--server',
    operatorUrl,
  ]);
  const command = new DemoProcess({
    name: 'medlarlever apply',
    program: 'cli/bin/medlarlever.js',
    args: ['apply', programPath(template), '--key', operatorKey, ...servers],
  });
  started.push(command);
  const code = await command.ended();
  const got = `exit ${code ?? 'by signal'}: ${command.output.at(-1) ?? ''}`;
  const what = 'apply the template';
  return { who: 'operator', what, got, ok: code === 0 };
};

/** An answer as a whole and one streamed, through different instances. */
export const askQuietly = async (
  deployment: Deployment,
): Promise<Outcome[]> => {
  const whole = {
    model: 'style-check',
    prompt: '¿Se escribe "Bogota" sin tilde?',
    maxTokens: 24,
  };
  const streamed = { ...whole, prompt: '¿Es "la Alcaldía" o "la alcaldía"?' };
  const replies = await Promise.all([
    callerOf(deployment, 0).whole(whole),
    callerOf(deployment, 1).streamed(streamed, () => undefined),
  ]);
  return [
    judge('a question, answered as a whole', whole, replies[0]),
    judge('a question, answered as a stream', streamed, replies[1]),
  ];
};

const executionsSchema = z.object({
  executions: z.array(z.looseObject({ key: z.string().optional() })),
});

const runsOfKey = async (
  { targets }: Deployment,
  key: string,
): Promise<number> => {
  let runs = 0;
  for (const { member, process } of targets) {
    if (member.kind !== 'service' || !process.running) continue;
    const { body } = await request(`http://${member.address}/executions`);
    const { executions } = executionsSchema.parse(await body.json());
    runs += executions.filter(run => run.key === key).length;
  }
  return runs;
};

/** The same amendment twice, through two instances. */
export const publishTwice = async (
  deployment: Deployment,
): Promise<Outcome[]> => {
  const key = 'amendment-2026-118';
  const body = JSON.stringify({ rule: 'toponyms', text: 'Bogotá, con tilde' });
  const path = 'style-guide/publish-amendment';
  const first = await callerOf(deployment, 0).operation(path, body, key);
  const second = await callerOf(deployment, 1).operation(path, body, key);
  const runs = await runsOfKey(deployment, key);
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

const digest = (text: string) =>
  createHash('sha256').update(text).digest('hex').slice(0, 6);

/** Streams through the first instance while a process is killed. */
const streamWhile = async (
  deployment: Deployment,
  what: string,
  kill: () => Promise<unknown>,
): Promise<Outcome[]> => {
  const asks = Array.from({ length: 6 }, (_, n) => ({
    model: n % 2 === 0 ? 'style-check' : 'style-base',
    prompt: `Artículo ${n} ${digest(what)}: revise el titular.`,
    maxTokens: 120,
  }));
  let killed: Promise<unknown> | undefined;
  const onChunk = (count: number) => {
    if (count >= chunksBeforeKill) killed ??= kill();
  };
  const replies = await Promise.all(
    asks.map((ask, n) => callerOf(deployment, n % 3).streamed(ask, onChunk)),
  );
  await killed;
  return asks.map((ask, n) =>
    judge(
      `${what}, stream ${n + 1}`,
      ask,
      replies[n] ?? { status: 0, text: '' },
    ),
  );
};

/** Kills an engine that is generating. */
export const loseEngine = async (
  deployment: Deployment,
): Promise<Outcome[]> => {
  const lost = deployment.targets.find(
    ({ member }) => member.kind === 'engine',
  );
  const name = lost?.member.name ?? '';
  return streamWhile(deployment, `engine ${name} killed`, async () =>
    lost?.process.kill(),
  );
};

/** Kills the instance through which a third of the callers stream. */
export const loseDaemon = async (
  deployment: Deployment,
): Promise<Outcome[]> => {
  const [lost] = deployment.daemons;
  const name = lost?.process.name ?? '';
  return streamWhile(deployment, `instance ${name} killed`, async () =>
    lost?.process.kill(),
  );
};

/** Stops daemons first, then targets, then the platform. */
export const stopAll = async ({
  daemons,
  targets,
  platform,
  platformUrl,
}: Deployment): Promise<Outcome[]> => {
  const running = daemons.filter(({ process }) => process.running);
  const codes = await Promise.all(running.map(({ process }) => process.stop()));
  await tellFleet(platformUrl, []);
  const others = [...targets.map(({ process }) => process), platform];
  const rest = await Promise.all(
    others.filter(({ running: alive }) => alive).map(each => each.stop()),
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
