/** The part of an instance that gathers the news of its data centre. */
import { sleep } from '@medlarlever/core';

import { GatheredNews } from './member-reports.js';
import type { NewsTopology } from './peer-topology.js';
import { dataCenterNewsMethod, newsMethod } from './load-report.js';
import type { News } from './load-report.js';

/** How often a hub tells its members, and after how many times the other hubs. */
const hubPeriodMs = 200;
const otherHubsPeriods = 2;

/** What is told once, and gathered until then. */
const nothingUnsaid = (): Pick<News, 'read' | 'pace' | 'crashes'> => ({
  read: [],
  pace: [],
  crashes: [],
});

export interface NewsHubOptions {
  readonly topology: NewsTopology;
  /** The news of this instance itself, told once. */
  readonly ownNews: () => News;
}

/** Sums what members report, and tells them and the other hubs. */
export class NewsHub {
  readonly #options: NewsHubOptions;
  readonly #gathered = new GatheredNews();
  #periods = 0;
  /** News of this data centre that the other hubs have not been told. */
  #unsaid = nothingUnsaid();

  constructor(options: NewsHubOptions) {
    this.#options = options;
  }

  /** Instances that rely on this one as their hub; most have none. */
  members(): readonly string[] {
    return this.#gathered.members();
  }

  /** Takes in the report of a member. */
  report(news: News): void {
    this.#gathered.report(news);
  }

  tellMembers(news: News): void {
    const { topology } = this.#options;
    for (const member of this.members()) {
      topology.tell(member, newsMethod, news);
    }
  }

  /** Tells what was gathered until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (await sleep(hubPeriodMs, signal)) {
      if (this.members().length > 0) this.#publish();
    }
  }

  #publish(): void {
    const { topology, ownNews } = this.#options;
    const news = this.#gathered.take(ownNews());
    this.tellMembers(news);
    this.#unsaid.read.push(...news.read);
    this.#unsaid.pace.push(...news.pace);
    this.#unsaid.crashes.push(...news.crashes);
    this.#periods += 1;
    if (this.#periods % otherHubsPeriods !== 0) return;
    for (const hub of topology.otherHubs()) {
      topology.tell(hub, dataCenterNewsMethod, { ...news, ...this.#unsaid });
    }
    this.#unsaid = nothingUnsaid();
  }
}
