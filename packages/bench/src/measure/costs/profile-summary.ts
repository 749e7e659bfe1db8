/** Sums the self time of V8 processor profiles by package or feature folder. */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

interface ProfileNode {
  readonly id: number;
  readonly callFrame: { readonly functionName: string; readonly url: string };
}

interface Profile {
  readonly nodes: readonly ProfileNode[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

const idleName = '(idle)';

/** Returns the package, feature folder or part of the runtime of a frame. */
const nameOwner = ({ functionName, url }: ProfileNode['callFrame']): string => {
  const packageName = /.*node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(url)?.[1];
  if (packageName !== undefined) return packageName;
  const folder = /\/(packages\/[^/]+|platform)\/dist\/([^/]+)/.exec(url);
  if (folder !== null) return `${folder[1]}/${folder[2]}`;
  if (url.startsWith('node:')) return url;
  return functionName === '' ? '(native)' : functionName;
};

/** Returns the share of the busy time by owner, in percent, greatest first. */
export const summarizeProfiles = (
  folder: string,
  fromFraction: number,
): [string, number][] => {
  const timeByOwner = new Map<string, number>();
  let busyTime = 0;
  for (const file of readdirSync(folder)) {
    const text = readFileSync(join(folder, file), 'utf8');
    const { nodes, samples, timeDeltas } = JSON.parse(text) as Profile;
    const owners = new Map(
      nodes.map(({ id, callFrame }) => [id, nameOwner(callFrame)]),
    );
    const first = Math.floor(samples.length * fromFraction);
    for (let i = first; i < samples.length; i += 1) {
      const owner = owners.get(samples[i] ?? 0) ?? '';
      if (owner === idleName) continue;
      const time = timeDeltas[i] ?? 0;
      busyTime += time;
      timeByOwner.set(owner, (timeByOwner.get(owner) ?? 0) + time);
    }
  }
  return [...timeByOwner]
    .map(([owner, time]): [string, number] => [owner, (100 * time) / busyTime])
    .sort((a, b) => b[1] - a[1]);
};
