/** Settings of a relay process and the holder of the current settings. */
import type { Log } from '@medlarlever/core';

/** Address on which a server listens. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** How long a withdrawn key may still be used. */
export interface RevocationSettings {
  /** Longest time from the acceptance of a configuration without the key, in milliseconds. */
  readonly maxDelayMs: number;
}

/** Usage reports to the platform. */
export interface UsageSettings {
  /** Length of the windows; window 0 begins at the Unix epoch. */
  readonly windowMs: number;
  /** Time after the end of a window within which its report is due, in milliseconds. */
  readonly maxDelayMs: number;
}

/** The platform's interface for calls that one instance at a time may send. */
export interface DutySettings {
  /** Calls a second that the platform accepts from all instances together. */
  readonly callsPerSecond: number;
  /** True if the platform takes usage reports. */
  readonly reportsUsage: boolean;
  /** True if the platform takes orders for targets. */
  readonly ordersTargets: boolean;
}

/** Settings of one relay process. */
export interface RelaySettings {
  /** Name of this instance. */
  readonly instance: string;
  readonly dataCenter: string;
  /** Address of the callers' interface. */
  readonly callers: HostPort;
  /** Address of the readiness endpoint. */
  readonly readiness: HostPort;
  /** Path that the load balancer requests to check readiness. */
  readonly readinessPath: string;
  /** Address at which peers reach this instance. */
  readonly peers: HostPort;
  /** Address of the metrics endpoint for operators. */
  readonly metrics: HostPort;
  /** Peer addresses at which other instances may listen, as `host:port`. */
  readonly contacts: readonly string[];
  /** True if the system has never served requests before this start. */
  readonly isFirstStart: boolean;
  /** Milliseconds from the stop signal until the process is killed. */
  readonly gracePeriodMs: number;
  /** Retries allowed in the deployment, as a fraction of a service's requests. */
  readonly retryRatio: number;
  /** Retries allowed to all instances together in addition to `retryRatio`. */
  readonly retryAllowance: number;
  /** Length of the window over which requests and retries are counted. */
  readonly retryWindowMs: number;
  /**
   * Maximum time that the platform may hold a long poll for changes. A poll that
   * gets no response by then reveals an unresponsive connection.
   */
  readonly longPollMs: number;
  /**
   * Duration of the role lease. Two instances must not both send commands to an
   * engine within this time.
   */
  readonly roleLeaseDurationMs: number;
  /** Memory limit of the process in bytes; undefined if none is known. */
  readonly memoryBytes?: number;
  /** Limit on open descriptors of the process; undefined if none is known. */
  readonly maxDescriptors?: number;
  /**
   * True if engines end when their requests exceed their memory, and callers and targets
   * may read slowly.
   */
  readonly hasMemoryPressure?: boolean;
  /** Undefined if the platform sets no limit for withdrawn keys. */
  readonly revocation?: RevocationSettings;
  /** Undefined if the platform states no reporting windows. */
  readonly usage?: UsageSettings;
  /** Undefined if the platform has no interface for duties. */
  readonly duties?: DutySettings;
}

/** Holds the settings in force and applies updates. */
export class SettingsHolder {
  #current: RelaySettings;

  constructor(
    initial: RelaySettings,
    private readonly log: Log,
  ) {
    this.#current = initial;
  }

  get current(): RelaySettings {
    return this.#current;
  }

  /**
   * Applies new settings while the process runs, for example contacts, the retry
   * budget and the grace period. Its own listen addresses stay until the next
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
