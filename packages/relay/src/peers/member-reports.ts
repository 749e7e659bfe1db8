/** The news of a data centre at the instance that gathers them. */
import { loadReportTtlMs } from './load-report.js';
import type { LoadReport } from './load-report.js';

/** A member that reported within this time goes on being told. */
const memberTtlMs = 3_000;

interface MemberReport {
  readonly receivedAtMs: number;
  readonly loads: LoadReport['loads'];
}

/** Reports of the members, until they are told as one. */
export class MemberReports {
  readonly #reportsByMember = new Map<string, MemberReport>();
  /** Running totals by member and service, as last reported. */
  readonly #prefillTokensByMember = new Map<string, Map<string, number>>();
  /** Sum of what the members' totals rose by, by service. */
  readonly #prefillTokensByService = new Map<string, number>();
  #startedPrefills: LoadReport['read'] = [];
  #latencyRatios: LoadReport['pace'] = [];
  #crashes: LoadReport['crashes'] = [];

  /** Takes in the report of a member. */
  addReport(news: LoadReport): void {
    const { from, loads, placed, read, pace, crashes } = news;
    this.#reportsByMember.set(from, { receivedAtMs: performance.now(), loads });
    this.#countPrefillTokens(from, placed);
    this.#startedPrefills.push(...read);
    this.#latencyRatios.push(...pace);
    this.#crashes.push(...crashes);
  }

  /** Members that are told the sum. */
  listMembers(): string[] {
    const nowMs = performance.now();
    for (const [from, { receivedAtMs: atMs }] of this.#reportsByMember) {
      if (nowMs - atMs > memberTtlMs) this.#reportsByMember.delete(from);
    }
    return [...this.#reportsByMember.keys()];
  }

  /** Own news and those gathered as one; what is told once is taken out. */
  takeCombinedReport(own: LoadReport): LoadReport {
    this.#countPrefillTokens(own.from, own.placed);
    const news = {
      ...own,
      loads: this.#sumLoads(own.loads),
      placed: [...this.#prefillTokensByService],
      read: [...own.read, ...this.#startedPrefills],
      pace: [...own.pace, ...this.#latencyRatios],
      crashes: [...own.crashes, ...this.#crashes],
    };
    this.#startedPrefills = [];
    this.#latencyRatios = [];
    this.#crashes = [];
    return news;
  }

  /** A first total, and one that fell, say only from where to count. */
  #countPrefillTokens(from: string, placed: LoadReport['placed']): void {
    const before =
      this.#prefillTokensByMember.get(from) ?? new Map<string, number>();
    this.#prefillTokensByMember.set(from, before);
    for (const [service, total] of placed) {
      const rise = Math.max(0, total - (before.get(service) ?? total));
      before.set(service, total);
      const sum = this.#prefillTokensByService.get(service) ?? 0;
      this.#prefillTokensByService.set(service, sum + rise);
    }
  }

  #sumLoads(own: LoadReport['loads']): LoadReport['loads'] {
    const nowMs = performance.now();
    const believed = [...this.#reportsByMember.values()]
      .filter(({ receivedAtMs: atMs }) => nowMs - atMs <= loadReportTtlMs)
      .map(({ loads }) => loads);
    const sums = new Map<string, LoadReport['loads'][number]>();
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
