/** Memory of the process that bodies of requests may take. */

/** Maximum number of bytes for all bodies of an interface, whatever the process has. */
const maxBufferedBytes = 64 * 1024 * 1024;

/** Returns the bytes that bodies may take, given the memory of the process if it is known. */
export const getMaxBodyMemory = (
  memoryBytes: number | undefined,
  share: number,
): number => Math.min(maxBufferedBytes, (memoryBytes ?? Infinity) * share);
