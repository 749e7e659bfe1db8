/** Reads the fleet list in the format of Prometheus HTTP service discovery. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { request } from 'undici';
import { z } from 'zod';

import { readBoundedText } from '../shared/bounded-body.js';
import { Failure } from '../shared/failure.js';
import { describeError } from '../shared/http-errors.js';

import { FleetList, fleetMemberSchema } from './fleet-list.js';
import type { FleetMember } from './fleet-list.js';

const defaultCallTimeoutMs = 5_000;

/** Longest fleet list; an entry of a member takes a few hundred bytes. */
const maxListBytes = 16 * 1024 * 1024;

export interface HttpFleetListOptions {
  /** URL of the fleet list. */
  readonly url: string;
  /** Time limit of one call, in milliseconds. */
  readonly timeoutMs?: number;
}

/** Prometheus target groups: `[{"targets": ["ip:port"], "labels": {...}}]`. */
export const targetGroupsSchema = z.array(
  z.object({
    targets: z.array(z.string()),
    labels: z.record(z.string(), z.string()).default({}),
  }),
);
export type TargetGroups = z.infer<typeof targetGroupsSchema>;

const parseFleetMember = (address: string, labels: Record<string, string>) => {
  const { data_center: dataCenter, ...rest } = labels;
  return fleetMemberSchema.safeParse({ ...rest, dataCenter, address }).data;
};

/** Parses the groups; skips targets whose labels describe no fleet member. */
export const parseFleetMembers = (groups: TargetGroups): FleetMember[] =>
  groups.flatMap(({ targets, labels }) =>
    targets.flatMap(address => parseFleetMember(address, labels) ?? []),
  );

/** Formats the members as target groups, one group for each member. */
export const toTargetGroups = (members: readonly FleetMember[]): TargetGroups =>
  members.map(({ address, dataCenter, service, ...labels }) => ({
    targets: [address],
    labels: {
      ...labels,
      data_center: dataCenter,
      ...(service === undefined ? {} : { service }),
    },
  }));

/** Fetches the fleet list from a URL by HTTP GET. */
export class HttpFleetList extends FleetList {
  constructor(private readonly options: HttpFleetListOptions) {
    super();
  }

  override async listMembers(): Promise<
    Either<Failure, readonly FleetMember[]>
  > {
    try {
      const { url, timeoutMs = defaultCallTimeoutMs } = this.options;
      const signal = AbortSignal.timeout(timeoutMs);
      const { statusCode, body } = await request(url, { signal });
      if (statusCode !== 200) {
        await body.dump();
        return this.#createUnavailableResult(`status ${statusCode}`);
      }
      const text = await readBoundedText(body, { maxBytes: maxListBytes });
      return Right(
        parseFleetMembers(targetGroupsSchema.parse(JSON.parse(text))),
      );
    } catch (error) {
      return this.#createUnavailableResult(describeError(error));
    }
  }

  #createUnavailableResult(reason: string) {
    return Left(
      new Failure(
        'platform_unavailable',
        `reading the fleet list from ${this.options.url} failed: ${reason}`,
      ),
    );
  }
}
