/**
 * Reads what a process has used so far from `/proc`: the usage of a child process
 * that is still running is available nowhere else.
 */
import { readFileSync, readdirSync } from 'node:fs';

/** What a process has used since it started. */
export interface ProcessUsage {
  readonly cpuMs: number;
  /** Times that a thread gave up the processor, as it does to wait for an event. */
  readonly wakeups: number;
  /** Read and write calls, which are most system calls beside waiting. */
  readonly readWriteCalls: number;
  readonly residentMegabytes: number;
}

const nsPerMs = 1_000_000;
const kilobytesPerMegabyte = 1_024;

const readNumber = (text: string, name: string): number =>
  Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/** Reads the usage of the process, summed over its threads. */
export const readProcessUsage = (pid: number): ProcessUsage => {
  const folder = `/proc/${pid}`;
  const threadFolders = readdirSync(`${folder}/task`).map(
    thread => `${folder}/task/${thread}`,
  );
  const ioText = readFileSync(`${folder}/io`, 'utf8');
  const statusText = readFileSync(`${folder}/status`, 'utf8');
  return {
    cpuMs: sum(
      threadFolders.map(
        thread =>
          Number(readFileSync(`${thread}/schedstat`, 'utf8').split(' ')[0]) /
          nsPerMs,
      ),
    ),
    wakeups: sum(
      threadFolders.map(thread =>
        readNumber(
          readFileSync(`${thread}/status`, 'utf8'),
          'voluntary_ctxt_switches',
        ),
      ),
    ),
    readWriteCalls: readNumber(ioText, 'syscr') + readNumber(ioText, 'syscw'),
    residentMegabytes: readNumber(statusText, 'VmRSS') / kilobytesPerMegabyte,
  };
};

/** Returns what was used between two readings; memory is that of the second. */
export const subtractUsage = (
  after: ProcessUsage,
  before: ProcessUsage,
): ProcessUsage => ({
  cpuMs: after.cpuMs - before.cpuMs,
  wakeups: after.wakeups - before.wakeups,
  readWriteCalls: after.readWriteCalls - before.readWriteCalls,
  residentMegabytes: after.residentMegabytes,
});
