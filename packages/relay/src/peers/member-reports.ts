/** The news of a data centre at the instance that gathers them. */
import { believedMs } from './load-report.js';
import type { News } from './load-report.js';

/** A member that reported within this time goes on being told. */
const memberMs = 3_000;

interface Report {
  readonly atMs: number;
  readonly loads: News['loads'];
}

/** Reports of the members, until they are told as one. */
export class GatheredNews {
  readonly #reports = new Map<string, Report>();
  /** Running totals by member and service, as last reported. */
  readonly #placed = new Map<string, Map<string, number>>();
  /** Sum of what the members' totals rose by, by service. */
  readonly #placedSum = new Map<string, number>();
  #read: News['read'] = [];
  #pace: News['pace'] = [];
  #crashes: News['crashes'] = [];

  /** Takes in the report of a member. */
  report(news: News): void {
    const { from, loads, placed, read, pace, crashes } = news;
    this.#reports.set(from, { atMs: performance.now(), loads });
    this.#count(from, placed);
    this.#read.push(...read);
    this.#pace.push(...pace);
    this.#crashes.push(...crashes);
  }

  /** Members that are told the sum. */
  members(): string[] {
    const nowMs = performance.now();
    for (const [from, { atMs }] of this.#reports) {
      if (nowMs - atMs > memberMs) this.#reports.delete(from);
    }
    return [...this.#reports.keys()];
  }

  /** Own news and those gathered as one; what is told once is taken out. */
  take(own: News): News {
    this.#count(own.from, own.placed);
    const news = {
      ...own,
      loads: this.#sum(own.loads),
      placed: [...this.#placedSum],
      read: [...own.read, ...this.#read],
      pace: [...own.pace, ...this.#pace],
      crashes: [...own.crashes, ...this.#crashes],
    };
    this.#read = [];
    this.#pace = [];
    this.#crashes = [];
    return news;
  }

  /** A first total, and one that fell, say only from where to count. */
  #count(from: string, placed: News['placed']): void {
    const before = this.#placed.get(from) ?? new Map<string, number>();
    this.#placed.set(from, before);
    for (const [service, total] of placed) {
      const rise = Math.max(0, total - (before.get(service) ?? total));
      before.set(service, total);
      const sum = this.#placedSum.get(service) ?? 0;
      this.#placedSum.set(service, sum + rise);
    }
  }

  #sum(own: News['loads']): News['loads'] {
    const nowMs = performance.now();
    const believed = [...this.#reports.values()]
      .filter(({ atMs }) => nowMs - atMs <= believedMs)
      .map(({ loads }) => loads);
    const sums = new Map<string, News['loads'][number]>();
    for (const [id, unread, running, silentMs] of [own, ...believed].flat()) {
      const sum = sums.get(id);
      sums.set(id, [
        id,
        unread + (sum?.[1] ?? 0),
        running + (sum?.[2] ?? 0),
        Math.min(silentMs, sum?.[3] ?? Infinity),
      ]);
    }
    return [...sums.values()];
  }
}
