/** Memory and descriptors of a process, as the kernel counts them. */
import { readFile, readdir } from 'node:fs/promises';

const kilobytesPerMegabyte = 1_000;
const pollIntervalMs = 20;

/** Counts the open descriptors; 0 if the process has ended. */
const countDescriptors = (pid: number): Promise<number> =>
  readdir(`/proc/${pid}/fd`).then(
    names => names.length,
    () => 0,
  );

/** Most resident memory so far; 0 if the process has ended. */
const readPeakMegabytes = (pid: number): Promise<number> =>
  readFile(`/proc/${pid}/status`, 'utf8').then(
    status =>
      (Number(/VmHWM:\s*(\d+) kB/.exec(status)?.[1] ?? 0) * 1_024) /
      (kilobytesPerMegabyte * 1_000),
    () => 0,
  );

/** Follows a process from the start of a crowd to its end. */
export class ProcessUsage {
  #maxDescriptors = 0;
  #peakMegabytes = 0;
  readonly #timer: NodeJS.Timeout;

  constructor(private readonly pid: number) {
    this.#timer = setInterval(() => void this.update(), pollIntervalMs);
  }

  /** Most descriptors that were seen open at once. */
  get maxDescriptors(): number {
    return this.#maxDescriptors;
  }

  /** Most resident memory that the process has had, in MB. */
  get peakMegabytes(): number {
    return this.#peakMegabytes;
  }

  async update(): Promise<void> {
    const [descriptors, megabytes] = await Promise.all([
      countDescriptors(this.pid),
      readPeakMegabytes(this.pid),
    ]);
    this.#maxDescriptors = Math.max(this.#maxDescriptors, descriptors);
    this.#peakMegabytes = Math.max(this.#peakMegabytes, megabytes);
  }

  close(): void {
    clearInterval(this.#timer);
  }
}
