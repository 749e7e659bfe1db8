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
export const isolationSlotSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  token: z.string(),
  untilMs: z.number(),
});
export type IsolationSlot = z.infer<typeof isolationSlotSchema>;

/** Crashes that name a request as their cause. */
const poisonCrashCount = 2;

export const suspectPartition = 'quarantine';
export const suspectSortPrefix = 'suspect/';

export const createSuspectKey = (fingerprint: string): RowKey => ({
  partition: suspectPartition,
  sort: `${suspectSortPrefix}${fingerprint}`,
});

export const createSlotKey = (index: number): RowKey => ({
  partition: suspectPartition,
  sort: `lane/${index}`,
});

const isSameSite = (a: CrashSite, b: CrashSite): boolean =>
  a.target === b.target && a.incarnation === b.incarnation;

export const hasCrashSite = ({ crashes }: Suspect, site: CrashSite): boolean =>
  crashes.some(other => isSameSite(other, site));

/** The suspect after a further crash; the same crash counts once. */
export const addCrash = (
  fingerprint: string,
  suspect: Suspect | undefined,
  site: CrashSite,
): Suspect => {
  if (suspect === undefined || suspect.state === 'cleared') {
    if (suspect !== undefined && hasCrashSite(suspect, site)) return suspect;
    return { fingerprint, state: 'suspect', crashes: [site] };
  }
  if (hasCrashSite(suspect, site)) return suspect;
  const crashes = [...suspect.crashes, site];
  const poison = crashes.length >= poisonCrashCount;
  return { ...suspect, crashes, state: poison ? 'poison' : 'suspect' };
};
