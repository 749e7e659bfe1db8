/** The crashes that an instance knows of, its own and those that others reported. */
import type { CrashCause } from './crash-cause.js';
import { getIncarnationKey, mergeSuspects } from './target-crash.js';
import type {
  ReportedCrash,
  SharedParts,
  TargetCrash,
} from './target-crash.js';

/** Crashes that are remembered, apart from those that show a cause. */
const maxCrashes = 128;

/** Crashes without a known cause are forgotten after this time. */
const crashTtlMs = 60_000;

/** A cause is forgotten once no request with its parts has come for this long. */
const causeTtlMs = 600_000;

/** A crash and how it came to be known. */
export interface RecordedCrash {
  readonly crash: TargetCrash;
  /** True if this instance saw the crash itself. */
  readonly isOwn: boolean;
  /** Monotonic time at which a request was last refused because of the crash. */
  readonly lastRefusalMs: number;
}

/** One record for each incarnation of a target, oldest first. */
export class RecordedCrashes {
  readonly #records = new Map<string, RecordedCrash>();

  get size(): number {
    return this.#records.size;
  }

  list(): RecordedCrash[] {
    return [...this.#records.values()];
  }

  find(crash: TargetCrash): RecordedCrash | undefined {
    return this.#records.get(getIncarnationKey(crash));
  }

  /** Adds a crash to what is known of it; those of the causes are kept in any case. */
  add(record: RecordedCrash, causes: readonly CrashCause[]): void {
    const key = getIncarnationKey(record.crash);
    this.#records.set(key, mergeRecords(this.#records.get(key), record));
    if (this.#records.size <= maxCrashes) return;
    const explained = listKeys(causes);
    const oldest = [...this.#records.keys()].find(item => !explained.has(item));
    if (oldest !== undefined) this.#records.delete(oldest);
  }

  /** Removes the crash of the incarnation; false if it is not known. */
  delete(incarnationKey: string): boolean {
    return this.#records.delete(incarnationKey);
  }

  /** Records that a request was refused because of the crashes. */
  recordRefusal(crashes: readonly TargetCrash[], nowMs: number): void {
    for (const crash of crashes) {
      const record = this.find(crash);
      if (record !== undefined)
        this.#records.set(getIncarnationKey(crash), {
          ...record,
          lastRefusalMs: nowMs,
        });
    }
  }

  /** Forgets what is too old, which takes longer for crashes of the causes. */
  forgetOld(causes: readonly CrashCause[], nowMs: number): void {
    const explained = listKeys(causes);
    for (const [key, { crash, lastRefusalMs }] of this.#records) {
      const lastUseMs = Math.max(crash.atMs, lastRefusalMs);
      const ttlMs = explained.has(key) ? causeTtlMs : crashTtlMs;
      if (nowMs - lastUseMs > ttlMs) this.#records.delete(key);
    }
  }
}

/** Creates what the other instances are told of the crash, with the suspects. */
export const createCrashReport = (
  { crash, lastRefusalMs }: RecordedCrash,
  suspects: readonly SharedParts[],
  nowMs: number,
): ReportedCrash => {
  const { target, startedAtMs, atMs } = crash;
  const idleMs = nowMs - Math.max(atMs, lastRefusalMs);
  return [
    target,
    startedAtMs,
    Math.floor(nowMs - atMs),
    Math.floor(idleMs),
    suspects.map(parts => [...parts]),
  ];
};

const listKeys = (causes: readonly CrashCause[]): Set<string> =>
  new Set(causes.flatMap(({ crashes }) => crashes.map(getIncarnationKey)));

const mergeRecords = (
  known: RecordedCrash | undefined,
  added: RecordedCrash,
): RecordedCrash => {
  if (known === undefined) return added;
  const { target, startedAtMs } = known.crash;
  return {
    crash: {
      target,
      startedAtMs,
      atMs: Math.min(known.crash.atMs, added.crash.atMs),
      suspects: mergeSuspects(known.crash.suspects, added.crash.suspects),
    },
    isOwn: known.isOwn || added.isOwn,
    lastRefusalMs: Math.max(known.lastRefusalMs, added.lastRefusalMs),
  };
};
