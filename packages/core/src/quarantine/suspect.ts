/** What is known of a request that was in flight at a crash. */
import { z } from 'zod';

import type { RowKey } from '../table/table.js';

const crashSiteSchema = z.object({
  target: z.string(),
  incarnation: z.string(),
});
/** One crash of one incarnation of a target. */
export type CrashSite = z.infer<typeof crashSiteSchema>;

const suspectRunSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  token: z.string(),
  /** Where it runs; absent until the target is reserved. */
  site: crashSiteSchema.optional(),
});
/** A run apart that has begun and not ended. */
export type SuspectRun = z.infer<typeof suspectRunSchema>;

export const suspectSchema = z.object({
  fingerprint: z.string(),
  /** `cleared` keeps its crashes, so that a late report of one is known. */
  state: z.enum(['suspect', 'poison', 'cleared']),
  crashes: z.array(crashSiteSchema),
  run: suspectRunSchema.optional(),
});
export type Suspect = z.infer<typeof suspectSchema>;

/** Lease of the right to run one suspect apart. */
export const laneSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  token: z.string(),
  untilMs: z.number(),
});
export type Lane = z.infer<typeof laneSchema>;

/** Crashes that name a request as their cause. */
const poisonCrashes = 2;

export const suspectPartition = 'quarantine';
export const suspectPrefix = 'suspect/';

export const suspectKey = (fingerprint: string): RowKey => ({
  partition: suspectPartition,
  sort: `${suspectPrefix}${fingerprint}`,
});

export const laneKey = (index: number): RowKey => ({
  partition: suspectPartition,
  sort: `lane/${index}`,
});

const sameSite = (a: CrashSite, b: CrashSite): boolean =>
  a.target === b.target && a.incarnation === b.incarnation;

export const hasSite = ({ crashes }: Suspect, site: CrashSite): boolean =>
  crashes.some(other => sameSite(other, site));

/** The suspect after a further crash; the same crash counts once. */
export const withCrash = (
  fingerprint: string,
  suspect: Suspect | undefined,
  site: CrashSite,
): Suspect => {
  if (suspect === undefined || suspect.state === 'cleared') {
    if (suspect !== undefined && hasSite(suspect, site)) return suspect;
    return { fingerprint, state: 'suspect', crashes: [site] };
  }
  if (hasSite(suspect, site)) return suspect;
  const crashes = [...suspect.crashes, site];
  const poison = crashes.length >= poisonCrashes;
  return { ...suspect, crashes, state: poison ? 'poison' : 'suspect' };
};
