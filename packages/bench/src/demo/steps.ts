/** The steps of the demo; each step returns one outcome for each check. */
import { createHash } from 'node:crypto';

import type { ModelId } from '@medlarlever/core';
import { createCompletionText } from '@medlarlever/stand-ins';
import { request } from 'undici';
import { z } from 'zod';

import { DemoClient } from './demo-client.js';
import type { CompletionRequest, ClientResponse } from './demo-client.js';
import { operatorKey, postFleetMembers } from './deployment.js';
import type { DemoDeployment } from './deployment.js';
import { DemoProcess, resolveProgramPath } from './demo-process.js';

const templatePath = '../examples/guia-editorial-andina/template.toml';
const chunksBeforeKill = 10;

/** Result of one check, as `npm run demo -- --json` prints it. */
export interface DemoOutcome {
  /** The customer or role that made the request. */
  readonly who: string;
  /** Description of the request or action. */
  readonly what: string;
  /** Description of the observed result. */
  readonly got: string;
  /** Whether the result is the expected one. */
  readonly ok: boolean;
}

const modelsByAlias: Record<string, ModelId> = {
  'style-check': { name: 'style-base', version: '1', adapter: 'bogota' },
  'style-base': { name: 'style-base', version: '1' },
};

/** Creates a client that uses the daemons in turn, beginning with the daemon at `firstIndex`. */
const createClient = (
  deployment: DemoDeployment,
  firstIndex = 0,
): DemoClient => {
  const urls = deployment.daemons.map(({ callerUrl }) => callerUrl);
  const rotatedUrls = [...urls.slice(firstIndex), ...urls.slice(0, firstIndex)];
  return new DemoClient({ key: 'demo-key-el-faro', urls: rotatedUrls });
};

const checkResponse = (
  description: string,
  completion: CompletionRequest,
  response: ClientResponse,
): DemoOutcome => {
  const model = modelsByAlias[completion.model];
  const expected =
    model === undefined
      ? ''
      : createCompletionText(completion.prompt, model, completion.maxTokens);
  const ok = response.status === 200 && response.text === expected;
  const got = ok
    ? `the complete answer (${completion.maxTokens} tokens)`
    : `status ${response.status}: ${response.text.slice(0, 300)}`;
  return { who: 'el-faro', what: description, got, ok };
};

/** Applies the example template with the command-line tool. */
export const applyTemplate = async (
  { daemons }: DemoDeployment,
  startedProcesses: DemoProcess[],
): Promise<DemoOutcome> => {
  const servers = daemons.flatMap(({ operatorUrl }) => [
    '--server',
    operatorUrl,
  ]);
  const command = new DemoProcess({
    name: 'medlarlever apply',
    programPath: 'cli/bin/medlarlever.js',
    args: [
      'apply',
      resolveProgramPath(templatePath),
      '--key',
      operatorKey,
      ...servers,
    ],
  });
  startedProcesses.push(command);
  const exitCode = await command.waitForExit();
  const got = `exit ${exitCode ?? 'by signal'}: ${command.outputLines.at(-1) ?? ''}`;
  const what = 'apply the template';
  return { who: 'operator', what, got, ok: exitCode === 0 };
};

/** Requests one completion without and one with streaming, through different instances. */
export const requestWithoutFaults = async (
  deployment: DemoDeployment,
): Promise<DemoOutcome[]> => {
  const completion = {
    model: 'style-check',
    prompt: '¿Se escribe "Bogota" sin tilde?',
    maxTokens: 24,
  };
  const streamedCompletion = {
    ...completion,
    prompt: '¿Es "la Alcaldía" o "la alcaldía"?',
  };
  const responses = await Promise.all([
    createClient(deployment, 0).requestCompletion(completion),
    createClient(deployment, 1).streamCompletion(
      streamedCompletion,
      () => undefined,
    ),
  ]);
  return [
    checkResponse('a completion without streaming', completion, responses[0]),
    checkResponse('a streamed completion', streamedCompletion, responses[1]),
  ];
};

const executionsSchema = z.object({
  executions: z.array(z.looseObject({ key: z.string().optional() })),
});

const countExecutions = async (
  { targets }: DemoDeployment,
  key: string,
): Promise<number> => {
  let executionCount = 0;
  for (const { member, process } of targets) {
    if (member.kind !== 'service' || !process.isRunning) continue;
    const { body } = await request(`http://${member.address}/executions`);
    const { executions } = executionsSchema.parse(await body.json());
    executionCount += executions.filter(
      execution => execution.key === key,
    ).length;
  }
  return executionCount;
};

/** Publishes the same amendment twice with one idempotency key, through two instances. */
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
  const executionCount = await countExecutions(deployment, key);
  const isSameResponse = first.text === second.text && first.status === 200;
  return [
    {
      who: 'el-faro',
      what: 'publish an amendment twice with one key',
      got: `${first.status} and ${second.status}, ${isSameResponse ? 'the same answer' : `${first.text} / ${second.text}`}; run ${executionCount} time(s) by the service`,
      ok: isSameResponse && second.status === 200 && executionCount === 1,
    },
  ];
};

const digestText = (text: string) =>
  createHash('sha256').update(text).digest('hex').slice(0, 6);

/** Streams six completions through all instances and kills a process when one has received ten chunks. */
const streamDuringKill = async (
  deployment: DemoDeployment,
  what: string,
  killProcess: () => Promise<unknown>,
): Promise<DemoOutcome[]> => {
  const completions = Array.from({ length: 6 }, (_, n) => ({
    model: n % 2 === 0 ? 'style-check' : 'style-base',
    prompt: `Artículo ${n} ${digestText(what)}: revise el titular.`,
    maxTokens: 120,
  }));
  let killPromise: Promise<unknown> | undefined;
  const onChunk = (count: number) => {
    if (count >= chunksBeforeKill) killPromise ??= killProcess();
  };
  const responses = await Promise.all(
    completions.map((completion, n) =>
      createClient(deployment, n % 3).streamCompletion(completion, onChunk),
    ),
  );
  await killPromise;
  return completions.map((completion, n) =>
    checkResponse(
      `${what}, stream ${n + 1}`,
      completion,
      responses[n] ?? { status: 0, text: '' },
    ),
  );
};

/** Kills an engine while it generates. */
export const killEngineDuringStreams = async (
  deployment: DemoDeployment,
): Promise<DemoOutcome[]> => {
  const engine = deployment.targets.find(
    ({ member }) => member.kind === 'engine',
  );
  const name = engine?.member.name ?? '';
  return streamDuringKill(deployment, `engine ${name} killed`, async () =>
    engine?.process.kill(),
  );
};

/** Kills the instance through which a third of the callers stream. */
export const killDaemonDuringStreams = async (
  deployment: DemoDeployment,
): Promise<DemoOutcome[]> => {
  const [daemon] = deployment.daemons;
  const name = daemon?.process.name ?? '';
  return streamDuringKill(deployment, `instance ${name} killed`, async () =>
    daemon?.process.kill(),
  );
};

/** Stops the daemons first, then the targets and the platform. */
export const stopDeployment = async ({
  daemons,
  targets,
  platform,
  platformUrl,
}: DemoDeployment): Promise<DemoOutcome[]> => {
  const runningDaemons = daemons.filter(({ process }) => process.isRunning);
  const daemonExitCodes = await Promise.all(
    runningDaemons.map(({ process }) => process.stop()),
  );
  await postFleetMembers(platformUrl, []);
  const otherProcesses = [...targets.map(({ process }) => process), platform];
  const otherExitCodes = await Promise.all(
    otherProcesses
      .filter(({ isRunning }) => isRunning)
      .map(process => process.stop()),
  );
  const exitCodes = [...daemonExitCodes, ...otherExitCodes];
  const gracefulCount = exitCodes.filter(code => code === 0).length;
  return [
    {
      who: 'operator',
      what: 'graceful shutdown of every process',
      got: `${gracefulCount} of ${exitCodes.length} exited with 0`,
      ok: gracefulCount === exitCodes.length,
    },
  ];
};
