/** Tells the other instances of own work at the targets, and learns of theirs. */
import { Right } from 'purify-ts';

import { sleep } from '@medlarlever/core';
import type { Kernel } from '@medlarlever/core';

import type { PromptSegment } from '../requests/relay-request.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { CrashTracker } from '../retries/crash-tracker.js';
import type { ReadingDemand } from '../roles/prefill-demand.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import { noLoad } from '../targets/target-state.js';

import { HeardLoads } from './peer-loads.js';
import { NewsHub } from './load-aggregator.js';
import type { NewsTopology } from './peer-topology.js';
import {
  dataCenterNewsMethod,
  newsMethod,
  newsSchema,
  reportMethod,
} from './load-report.js';
import type { News } from './load-report.js';
import { OwnWork } from './own-load.js';

/** How often changed loads are told; engines change within such times. */
const newsPeriodMs = 150;

/**
 * New work is told sooner, so that instances do not all choose the engine that
 * was idle a moment ago. What is placed within this time is told together.
 */
const newWorkMs = 8;

/** Unchanged loads are told again before they are no longer believed. */
const repeatAfterMs = 600;

export interface LoadNewsOptions {
  readonly self: string;
  readonly topology: NewsTopology;
  readonly targets: TargetRegistry;
  readonly crashes: CrashTracker;
  readonly services: ServiceStates;
  readonly demand: ReadingDemand;
  readonly revision: () => number;
  /** A neighbour has a newer configuration. */
  readonly onNewer: (from: string, revision: number) => void;
}

export class LoadNews {
  readonly #options: LoadNewsOptions;
  readonly #heard = new HeardLoads();
  readonly #hub: NewsHub;
  readonly #own: OwnWork;
  #toldText = '[]';
  #toldAtMs = 0;
  #tellingSoon = false;

  constructor(options: LoadNewsOptions) {
    this.#options = options;
    this.#own = new OwnWork(options.targets);
    this.#hub = new NewsHub({
      topology: options.topology,
      ownNews: () => this.#ownNews(this.#own.loads()),
    });
  }

  /** Notes parts that a target begins to read. */
  reading(
    target: string,
    parts: readonly PromptSegment[],
    expectedMs: number,
  ): void {
    if (parts.length === 0) return;
    this.#own.reading(target, parts, expectedMs);
    if (this.#tellingSoon || this.#options.topology.large) return;
    this.#tellingSoon = true;
    setTimeout(() => {
      this.#tellingSoon = false;
      this.#tell();
    }, newWorkMs);
  }

  /** Instances that rely on this one as their hub; most have none. */
  members(): readonly string[] {
    return this.#hub.members();
  }

  register(kernel: Kernel): void {
    kernel.method(newsMethod, params => {
      this.#hear(newsSchema.parse(params));
      return Promise.resolve(Right(null));
    });
    kernel.method(reportMethod, params => {
      const news = newsSchema.parse(params);
      this.#hub.report(news);
      this.#hear(news);
      return Promise.resolve(Right(null));
    });
    kernel.method(dataCenterNewsMethod, params => {
      const news = newsSchema.parse(params);
      this.#hear(news);
      this.#hub.tellMembers(news);
      return Promise.resolve(Right(null));
    });
  }

  /** Tells until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    void this.#hub.run(signal);
    while (await sleep(newsPeriodMs, signal)) {
      this.#tell();
      this.#apply();
    }
  }

  #tell(): void {
    const { topology, self } = this.#options;
    const hub = topology.large ? topology.hub() : undefined;
    // What a hub has to tell goes out with what it gathers.
    if (hub === self && this.members().length > 0) return;
    const loads = this.#own.loads();
    if (!this.#isDue(loads, hub !== undefined)) return;
    const news = this.#ownNews(loads);
    if (hub === undefined || hub === self) {
      topology.broadcast(newsMethod, news);
      return;
    }
    this.#heard.reported(hub, loads);
    topology.toldHub(hub);
    topology.tell(hub, reportMethod, news);
  }

  /** True when the sums of a hub contain what this instance tells. */
  get #isMember(): boolean {
    const { topology, self } = this.#options;
    return topology.large && topology.hub() !== self;
  }

  /** Changes are due at once; members of a hub report when idle as well. */
  #isDue(loads: News['loads'], toHub: boolean): boolean {
    const text = JSON.stringify(loads.map(load => load.slice(0, 3)));
    const changed =
      text !== this.#toldText ||
      this.#own.hasReading ||
      this.#options.crashes.hasUnreportedCrashes;
    const nowMs = performance.now();
    const repeats = loads.length > 0 || toHub;
    const late = nowMs - this.#toldAtMs >= repeatAfterMs;
    if (!changed && !(repeats && late)) return false;
    this.#toldText = text;
    this.#toldAtMs = nowMs;
    return true;
  }

  #ownNews(loads: News['loads']): News {
    const { self, crashes, revision, services, demand } = this.#options;
    const placed = services.listAssignedPrefillTokens();
    if (!this.#isMember) demand.heard(self, placed);
    return {
      from: self,
      revision: revision(),
      loads,
      placed,
      ...this.#own.take(),
      crashes: crashes.takeUnreportedCrashes(),
    };
  }

  #hear(news: News): void {
    const { targets, crashes, topology, demand } = this.#options;
    topology.heardFrom(news.from);
    demand.heard(news.from, news.placed);
    this.#heard.heard(news.from, news.loads);
    for (const [id, , , silentMs] of news.loads) {
      targets.findTarget(id)?.recordActivity(silentMs);
    }
    for (const [id, parts, expectedMs] of news.read) {
      const cached = parts.map(([part, tokens]) => ({ id: part, tokens }));
      targets.findTarget(id)?.prefixCache.addSegments(cached, expectedMs);
    }
    for (const [id, ratio, samples] of news.pace) {
      targets
        .findTarget(id)
        ?.mergeSlownessSamples({ meanRatio: ratio, sampleCount: samples });
    }
    for (const [fingerprint, target] of news.crashes) {
      crashes.recordCrash(fingerprint, target);
    }
    const { revision, onNewer } = this.#options;
    if (news.revision > revision()) onNewer(news.from, news.revision);
    this.#apply();
  }

  /** Sets at each target what the others told. */
  #apply(): void {
    const sums = this.#heard.sums();
    for (const state of this.#options.targets.listTargets()) {
      state.setOtherInstancesLoad(sums.get(state.record.id) ?? noLoad);
    }
  }
}
