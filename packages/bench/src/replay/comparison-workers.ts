/** Runs comparisons in worker threads and prints them in order. */
import { availableParallelism } from 'node:os';
import { text } from 'node:stream/consumers';
import { Worker } from 'node:worker_threads';

const maxWorkerThreads = Math.min(8, availableParallelism());

/** What one comparison printed and how it ended. */
interface WorkerResult {
  readonly output: string;
  readonly exitCode: number;
}

/** Runs the replay program with these arguments in a thread. */
const runInWorker = async (
  program: URL,
  argv: readonly string[],
): Promise<WorkerResult> => {
  const worker = new Worker(program, { argv: [...argv], stdout: true });
  const ended = new Promise<number>((resolve, reject) => {
    worker.once('exit', resolve);
    worker.once('error', reject);
  });
  const output = await text(worker.stdout);
  return { output, exitCode: await ended };
};

/** Returns the number of comparisons that missed a target. */
export const runComparisons = async (
  program: URL,
  jobs: readonly (readonly string[])[],
): Promise<number> => {
  const results = new Map<number, Promise<WorkerResult>>();
  let next = 0;
  const work = async (): Promise<void> => {
    while (next < jobs.length) {
      const index = next;
      next += 1;
      const comparison = runInWorker(program, jobs[index] ?? []);
      results.set(index, comparison);
      await comparison;
    }
  };
  const workers = Array.from({ length: maxWorkerThreads }, work);
  await Promise.all(workers);
  let missed = 0;
  for (const index of jobs.keys()) {
    const { output, exitCode } = (await results.get(index)) ?? failedResult;
    process.stdout.write(output);
    if (exitCode !== 0) missed += 1;
  }
  return missed;
};

const failedResult: WorkerResult = { output: '', exitCode: 1 };
