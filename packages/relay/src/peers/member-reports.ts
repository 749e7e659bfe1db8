/** Collects the load reports of a data centre's instances at its aggregator. */

import { mergeLimits } from './limit-reports.js';
import { addEvents, createNoEvents, loadReportTtlMs } from './load-report.js';
import type { LoadReport } from './load-report.js';

/** A member gets combined reports until this long after its last report. */
const memberTtlMs = 3_000;

/** Loads and limits that one member reported, with their receipt time on the monotonic clock. */
interface MemberReport {
  readonly receivedAtMs: number;
  readonly loads: LoadReport['loads'];
  readonly held: LoadReport['held'];
  readonly limits: LoadReport['limits'];
  readonly cutOff: LoadReport['cutOff'];
  readonly acceptsRemote: boolean;
}

/** Collects member reports and combines them into one report. */
export class MemberReports {
  readonly #reportsByMember = new Map<string, MemberReport>();
  /** Running totals of prompt tokens by member and service, as last reported. */
  readonly #prefillTokensByMember = new Map<string, Map<string, number>>();
  /** Sum of the increases of all members' totals, by service. */
  readonly #prefillTokensByService = new Map<string, number>();
  #events = createNoEvents();

  /** Records the report of a member. */
  addReport(report: LoadReport): void {
    const { from, loads, held, limits, cutOff, placed, acceptsRemote } = report;
    const receivedAtMs = performance.now();
    this.#reportsByMember.set(from, {
      receivedAtMs,
      loads,
      held,
      limits,
      cutOff,
      acceptsRemote,
    });
    this.#countPrefillTokens(from, placed);
    addEvents(this.#events, report);
  }

  /** True if the member accepts the optional fields of an aggregator's report. */
  acceptsRemote(member: string): boolean {
    return this.#reportsByMember.get(member)?.acceptsRemote === true;
  }

  /** Lists the members that receive combined reports; drops expired members. */
  listMembers(): string[] {
    const nowMs = performance.now();
    for (const [from, { receivedAtMs }] of this.#reportsByMember) {
      if (nowMs - receivedAtMs > memberTtlMs)
        this.#reportsByMember.delete(from);
    }
    return [...this.#reportsByMember.keys()];
  }

  /**
   * Combines this instance's report with the collected ones. Clears the events,
   * because each event is reported once.
   */
  takeCombinedReport(ownReport: LoadReport): LoadReport {
    this.#countPrefillTokens(ownReport.from, ownReport.placed);
    const events = this.#events;
    this.#events = createNoEvents();
    addEvents(events, ownReport);
    return {
      ...ownReport,
      ...events,
      loads: this.#sumLoads(ownReport.loads),
      held: this.#sumHeldTokens(ownReport.held),
      limits: mergeLimits([
        { receivedAtMs: performance.now(), limits: ownReport.limits },
        ...this.#reportsByMember.values(),
      ]),
      cutOff: this.#listCutOff(ownReport.cutOff),
      placed: [...this.#prefillTokensByService],
    };
  }

  /**
   * Adds the increase of each total since the member's last report. The first
   * total of a member and a decreased total, which follows a restart, add nothing
   * and only set the baseline.
   */
  #countPrefillTokens(from: string, placed: LoadReport['placed']): void {
    const previousTotals =
      this.#prefillTokensByMember.get(from) ?? new Map<string, number>();
    this.#prefillTokensByMember.set(from, previousTotals);
    for (const [service, total] of placed) {
      const increase = Math.max(
        0,
        total - (previousTotals.get(service) ?? total),
      );
      previousTotals.set(service, total);
      const sum = this.#prefillTokensByService.get(service) ?? 0;
      this.#prefillTokensByService.set(service, sum + increase);
    }
  }

  #listCutOff(own: LoadReport['cutOff']): LoadReport['cutOff'] {
    const nowMs = performance.now();
    const members = [...this.#reportsByMember.values()]
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs <= loadReportTtlMs)
      .flatMap(({ cutOff }) => cutOff);
    return [...own, ...members];
  }

  /** Sums the tokens that members report; those of older versions report none. */
  #sumHeldTokens(own: LoadReport['held'] = []): LoadReport['held'] {
    const nowMs = performance.now();
    const current = [...this.#reportsByMember.values()]
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs <= loadReportTtlMs)
      .map(({ held = [] }) => held);
    const sums = new Map<string, [string, number, number]>();
    for (const [id, tokens, requests] of [own, ...current].flat()) {
      const [, sumTokens = 0, sumRequests = 0] = sums.get(id) ?? [];
      sums.set(id, [id, sumTokens + tokens, sumRequests + requests]);
    }
    return [...sums.values()];
  }

  #sumLoads(ownLoads: LoadReport['loads']): LoadReport['loads'] {
    const nowMs = performance.now();
    const currentLoads = [...this.#reportsByMember.values()]
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs <= loadReportTtlMs)
      .map(({ loads }) => loads);
    const sums = new Map<string, LoadReport['loads'][number]>();
    for (const [id, prefillTokens, running, silentMs] of [
      ownLoads,
      ...currentLoads,
    ].flat()) {
      const sum = sums.get(id);
      sums.set(id, [
        id,
        prefillTokens + (sum?.[1] ?? 0),
        running + (sum?.[2] ?? 0),
        Math.min(silentMs, sum?.[3] ?? Infinity),
      ]);
    }
    return [...sums.values()];
  }
}
