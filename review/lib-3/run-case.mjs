/** Runs one case and ends with its exit code: 1 rule broken, 0 held, 2 could not run. */
import { Deployment } from './deployment.mjs';

const maxRunMs = 115_000;

/**
 * `play` gets the deployment and returns what was counted, and whether the rule was broken.
 * The record is written to `folder`.
 */
export const runCase = async (folder, play) => {
  const deployment = new Deployment();
  const timer = setTimeout(() => {
    console.log('the case took too long');
    process.exit(2);
  }, maxRunMs);
  let code = 2;
  try {
    const { isBroken, ...counts } = await play(deployment);
    deployment.record.add('result', { isBroken, ...counts });
    console.log(JSON.stringify(counts));
    console.log(isBroken ? 'rule broken' : 'rule held');
    code = isBroken ? 1 : 0;
  } catch (error) {
    console.log(`could not run: ${String(error)}`);
  }
  clearTimeout(timer);
  await deployment.close(folder);
  process.exit(code);
};

const limits = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

/** Configuration with one route to one plain service. */
export const createPlainConfiguration = ({ kind, prefix, timeoutMs }) => ({
  version: 1,
  routes: [
    {
      name: 'r-plain',
      host: 'desk.example',
      prefix,
      kind,
      timeout_ms: timeoutMs,
      target_latency_ms: 400,
      priority: 2,
      service: 'app',
      max_attempts: 2,
      session_affinity: false,
      resumable: false,
    },
  ],
  services: [
    {
      name: 'app',
      health_path: '/healthz',
      max_connections: 110,
      protocol: 'h1',
      tls: false,
    },
  ],
  limits,
});

/** Configuration with one resumable streaming route to one service of engines. */
export const createStreamConfiguration = () => ({
  version: 1,
  routes: [
    {
      name: 'r-ask',
      host: 'desk.example',
      prefix: '/ask/',
      kind: 'streaming',
      timeout_ms: 5_000,
      target_latency_ms: 800,
      target_gap_ms: 400,
      priority: 2,
      service: 'lm',
      max_attempts: 2,
      session_affinity: true,
      resumable: true,
    },
  ],
  services: [
    {
      name: 'lm',
      health_path: '/healthz',
      max_connections: 370,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 64,
        kv_capacity: 430_067,
        token_kv_bytes: 18_432,
        bandwidth_mbps: 370_000,
        handle_ttl_s: 5,
        switch_time_s: 3,
        models: [{ name: 'm' }],
      },
    },
  ],
  limits,
});

/** Headers of a prompt; `parts` are pairs of id and tokens. */
export const createPromptHeaders = (id, parts) => ({
  host: 'desk.example',
  'x-medlarlever-attempt-id': id,
  'x-medlarlever-deadline-ms': '5000',
  'x-medlarlever-model': 'm',
  'x-medlarlever-token-count': `${parts.reduce((sum, [, tokens]) => sum + tokens, 0)},80`,
  'x-medlarlever-prompt-prefix': parts
    .map(([part, tokens]) => `${part}:${tokens}`)
    .join(','),
});

/** Counts the items by the text that `describe` returns. */
export const countBy = (items, describe) => {
  const counts = {};
  for (const item of items) {
    const key = describe(item);
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
};

/** One instance in each of three zones. */
export const threeInstances = [
  { name: 'edge-a-1', zone: 'z-a' },
  { name: 'edge-b-1', zone: 'z-b' },
  { name: 'edge-c-1', zone: 'z-c' },
];
export const zones = ['z-a', 'z-b', 'z-c'];

/** Time after the start from which the instances are in touch. */
export const settlingMs = 4_000;
