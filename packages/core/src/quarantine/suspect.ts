/**
 * Schemas, keys and transitions of suspects, which are requests that were in
 * flight at the crash of a target.
 */
import { z } from 'zod';

import type { RowKey } from '../table/table.js';

const crashSiteSchema = z.object({
  target: z.string(),
  incarnation: z.string(),
});
/** Identifies a crash by the incarnation of the target that crashed. */
export type CrashSite = z.infer<typeof crashSiteSchema>;

const suspectRunSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  token: z.string(),
  /**
   * Target incarnation on which the suspect runs; absent until the target is
   * reserved.
   */
  site: crashSiteSchema.optional(),
});
/** An isolated run that has started and not ended. */
export type SuspectRun = z.infer<typeof suspectRunSchema>;

/** Row of a suspect in the table. */
export const suspectSchema = z.object({
  fingerprint: z.string(),
  /**
   * A cleared suspect keeps its crashes, so that a late report of one of them
   * does not make it a suspect again.
   */
  state: z.enum(['suspect', 'poison', 'cleared']),
  crashes: z.array(crashSiteSchema),
  run: suspectRunSchema.optional(),
});
/**
 * A request that was in flight at a crash, with its crashes and its isolated
 * run.
 */
export type Suspect = z.infer<typeof suspectSchema>;

/**
 * Row of an isolation slot, which is a lease of the right to run one suspect.
 * `untilMs` is the end of the lease in epoch milliseconds.
 */
export const isolationSlotSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  token: z.string(),
  untilMs: z.number(),
});
export type IsolationSlot = z.infer<typeof isolationSlotSchema>;

/** Number of different crashes after which a request counts as their cause. */
const poisonCrashCount = 2;

/** Table partition that holds the suspects and the isolation slots. */
export const suspectPartition = 'quarantine';
/** Prefix of the sort key of a suspect; the fingerprint follows it. */
export const suspectSortPrefix = 'suspect/';

/** Creates the row key of a suspect. */
export const createSuspectKey = (fingerprint: string): RowKey => ({
  partition: suspectPartition,
  sort: `${suspectSortPrefix}${fingerprint}`,
});

/** Creates the row key of an isolation slot. */
export const createSlotKey = (index: number): RowKey => ({
  partition: suspectPartition,
  sort: `lane/${index}`,
});

const isSameSite = (a: CrashSite, b: CrashSite): boolean =>
  a.target === b.target && a.incarnation === b.incarnation;

/** Returns true if the suspect includes the crash. */
export const hasCrashSite = ({ crashes }: Suspect, site: CrashSite): boolean =>
  crashes.some(knownSite => isSameSite(knownSite, site));

/**
 * Returns the suspect with the crash added; a crash that it already includes
 * does not count again.
 */
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
  const isPoison = crashes.length >= poisonCrashCount;
  return { ...suspect, crashes, state: isPoison ? 'poison' : 'suspect' };
};
