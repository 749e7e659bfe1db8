/**
 * Time up to which this instance knows every configuration that the platform accepted.
 * It answers four failures that let a withdrawn key go on: a link to the platform that is
 * cut, a process or machine that stood still, a restart, and a store that was restored from a
 * backup which lacks the withdrawal.
 */
import { computeClockShiftMs } from '../shared/clock-reading.js';
import type { ClockReading } from '../shared/clock-reading.js';

/**
 * The clocks shift by less than this between two readings unless the machine was suspended
 * or its time of day set.
 */
const maxClockShiftMs = 250;

/** Proof that all configurations accepted up to a time are known. */
interface FreshnessProof {
  /** Monotonic time up to which they are known. */
  readonly asOfMs: number;
  /** Clocks when the call that brought the proof was sent. */
  readonly sentAt: ClockReading;
  /** Era of the store in which they were read. */
  readonly era: number;
}

/** A read of the operator's table that has been applied. */
export interface ConfigurationRead {
  /** Clocks when the read was sent; no earlier time is certain to be in the answer. */
  readonly sentAt: ClockReading;
  readonly era: number;
  /** Version up to which the table's changes are known, in the era. */
  readonly tableVersion: number;
  /** Version of the configuration's row, in the era; undefined if there is none. */
  readonly rowVersion: number | undefined;
}

/** What another instance stated about its configuration. */
export interface ReportedFreshness {
  /** Clocks when the question was sent. */
  readonly sentAt: ClockReading;
  /** Age of the other instance's proof when it answered. */
  readonly ageMs: number;
  /** Era of that proof. */
  readonly era: number;
}

/** Options of a {@link ConfigurationFreshness}. */
export interface ConfigurationFreshnessOptions {
  /**
   * Time after which a restored store is trusted although its configuration was not
   * written again.
   */
  readonly getRestoreSettlingMs: () => number;
  /** True if no request was served before this start, so that no key was withdrawn. */
  readonly isFirstStart: boolean;
}

/** Collects proofs and drops those that a suspension has made doubtful. */
export class ConfigurationFreshness {
  #proof: FreshnessProof | undefined;
  #era: number | undefined;
  #eraSeenAtMs = 0;
  /** Table version of the first read in the era. */
  #firstTableVersion: number | undefined;
  /**
   * Monotonic time from which reads in the era are proofs; undefined while the store may
   * lack what was accepted before it was restored.
   */
  #trustedFromMs: number | undefined;

  constructor(private readonly options: ConfigurationFreshnessOptions) {}

  /** Era of the proof in force; undefined without a proof. */
  getProofEra(now: ClockReading): number | undefined {
    this.#dropDoubtfulProof(now);
    return this.#proof?.era;
  }

  /** Monotonic time up to which all configurations are known; undefined if it is unknown. */
  getKnownAsOfMs(now: ClockReading): number | undefined {
    this.#dropDoubtfulProof(now);
    return this.#proof?.asOfMs;
  }

  /**
   * Milliseconds since then; Infinity if it is unknown. A shift of the clocks counts as a
   * suspension, since short ones would add up over instances that confirm each other's configuration.
   */
  getAgeMs(now: ClockReading): number {
    this.#dropDoubtfulProof(now);
    if (this.#proof === undefined) return Infinity;
    const { asOfMs, sentAt } = this.#proof;
    return now.monotonicMs - asOfMs + computeClockShiftMs(sentAt, now);
  }

  /**
   * Records the era of the store; returns false for one that has ended. `wasRestored` is
   * true if this process has seen the end of the era before.
   */
  observeEra(era: number, now: ClockReading, wasRestored = false): boolean {
    if (this.#era !== undefined && era <= this.#era) return era === this.#era;
    const isFirstEra = this.#era === undefined && !wasRestored;
    this.#era = era;
    this.#eraSeenAtMs = now.monotonicMs;
    this.#firstTableVersion = undefined;
    // Era 0 follows no restore. A later one may have begun just before this start.
    const isTrusted = isFirstEra && (era === 0 || this.options.isFirstStart);
    this.#trustedFromMs = isTrusted ? -Infinity : undefined;
    return true;
  }

  /** Records a read once its rows are in force. */
  recordRead(read: ConfigurationRead, now: ClockReading): void {
    const { sentAt, era } = read;
    if (!this.observeEra(era, now)) return;
    this.#trustedFromMs ??= this.#findTrustedFromMs(read);
    if (
      this.#trustedFromMs === undefined ||
      sentAt.monotonicMs < this.#trustedFromMs
    )
      return;
    this.#addProof({ asOfMs: sentAt.monotonicMs, sentAt, era }, now);
  }

  /** Records an answer of another instance whose configuration is in force here. */
  recordAnswer(
    { sentAt, ageMs, era }: ReportedFreshness,
    now: ClockReading,
  ): void {
    if (!this.observeEra(era, now)) return;
    // The other one knows the store to be up to date, so reads from now on are as well.
    this.#trustedFromMs ??= now.monotonicMs;
    this.#addProof({ asOfMs: sentAt.monotonicMs - ageMs, sentAt, era }, now);
  }

  #findTrustedFromMs(read: ConfigurationRead): number | undefined {
    const { sentAt, rowVersion, tableVersion } = read;
    const firstVersion = (this.#firstTableVersion ??= tableVersion);
    if (rowVersion !== undefined && rowVersion > firstVersion)
      return sentAt.monotonicMs;
    const settlingEndMs =
      this.#eraSeenAtMs + this.options.getRestoreSettlingMs();
    return sentAt.monotonicMs >= settlingEndMs ? settlingEndMs : undefined;
  }

  #addProof(proof: FreshnessProof, now: ClockReading): void {
    if (computeClockShiftMs(proof.sentAt, now) > maxClockShiftMs) return;
    this.#dropDoubtfulProof(now);
    if (this.#proof !== undefined && this.#proof.asOfMs >= proof.asOfMs) return;
    this.#proof = proof;
  }

  /** The shift is measured from the proof's call, so that short suspensions add up. */
  #dropDoubtfulProof(now: ClockReading): void {
    if (this.#proof === undefined) return;
    if (computeClockShiftMs(this.#proof.sentAt, now) > maxClockShiftMs)
      this.#proof = undefined;
  }
}
