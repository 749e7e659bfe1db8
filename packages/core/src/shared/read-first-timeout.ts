/**
 * Timeouts that do not overtake data. After a standstill of the process, timers that are due
 * run before the sockets are read, so that an answer which has arrived counts as missing.
 */

/**
 * Calls back after `delayMs` milliseconds, once the data that has arrived by then has been
 * read. The returned function cancels the call.
 */
export const startReadFirstTimeout = (
  callback: () => void,
  delayMs: number,
): (() => void) => {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(callback);
  }, delayMs);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
};
