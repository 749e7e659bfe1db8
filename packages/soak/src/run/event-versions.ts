/** Reads which software versions made the events of an answer. */
import { versionComment } from '@medlarlever/platform/stand-ins';

import type { Attempt } from './run-record.js';

const versionPattern = new RegExp(`^${versionComment}(.*)\n`, 'gm');

/** Software versions that made the events that the caller received. */
export const listEventVersions = ({ end }: Attempt): string[] => [
  ...new Set(
    [...(end?.body ?? '').matchAll(versionPattern)].map(
      ([, version]) => version ?? '',
    ),
  ),
];

/** Removes the lines that name software versions. */
export const removeVersions = (body: string): string =>
  body.replace(versionPattern, '');
