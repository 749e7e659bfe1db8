/** Settings of a relay process, and those in force. */
import type { Log } from '@medlarlever/core';

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

export interface RelaySettings {
  /** Name of this instance. */
  readonly instance: string;
  readonly dataCenter: string;
  readonly callers: HostPort;
  readonly readiness: HostPort;
  /** Path on which the balancer asks for readiness. */
  readonly readinessPath: string;
  /** Where peers reach this instance. */
  readonly peers: HostPort;
  /** Metrics for operators. */
  readonly metrics: HostPort;
  /** Peer addresses at which another instance may listen. */
  readonly contacts: readonly string[];
  /** True when no earlier life of the system served requests. */
  readonly isFirstStart: boolean;
  /** Time from the request to stop until the forced end. */
  readonly gracePeriodMs: number;
  /** Retries that the deployment allows for each request of a service. */
  readonly retryRatio: number;
  /** Retries that it allows to all instances besides. */
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
  /**
   * How long the platform may hold a question for changes. A connection that
   * has gone silent is noticed when such a question is not answered.
   */
  readonly longPollMs: number;
  /** Time in which two instances must not both give orders to an engine. */
  readonly roleLeaseDurationMs: number;
}

export class SettingsHolder {
  #current: RelaySettings;

  constructor(
    first: RelaySettings,
    private readonly log: Log,
  ) {
    this.#current = first;
  }

  get current(): RelaySettings {
    return this.#current;
  }

  /**
   * Takes over what may change while the process runs: neighbours, the retry
   * budget and the time for a stop. Its own addresses hold until the next
   * start.
   */
  update(settings: RelaySettings): void {
    const { callers, readiness, peers, metrics } = this.#current;
    this.#current = { ...settings, callers, readiness, peers, metrics };
    this.log.writeEvent('settings_read', {
      contacts: settings.contacts.length,
      grace_ms: settings.gracePeriodMs,
      retry_ratio: settings.retryRatio,
      retry_allowance: settings.retryAllowance,
    });
  }
}
