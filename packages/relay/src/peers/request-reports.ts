/** What load reports say of requests that may crash targets. */
import {
  decodeAnsweredRequest,
  decodeRequestCrash,
  encodeAnsweredRequest,
  encodeRequestCrash,
} from '../crashes/request-crash.js';
import type { RequestCrash } from '../crashes/request-crash.js';
import type { RequestQuarantine } from '../crashes/request-quarantine.js';
import { unknownStartMs } from '../targets/target-record.js';

import type { LoadReport } from './load-report.js';

type RequestReports = Pick<
  LoadReport,
  'crashes' | 'requestCrashes' | 'answeredRequests'
>;

/**
 * Takes what the other instances are to be told, in the fields of a load report; also of
 * refused requests that they know of, for instances that start, if `includesRefused`.
 */
export const takeRequestReports = (
  requests: RequestQuarantine,
  includesRefused: boolean,
): RequestReports => {
  const crashes = requests.listCrashes(includesRefused);
  return {
    crashes: crashes.map(({ fingerprint, target }) => [fingerprint, target]),
    requestCrashes: crashes.map(encodeRequestCrash),
    answeredRequests: requests.takeAnswers().map(encodeAnsweredRequest),
  };
};

/** Applies the report of another instance, which may be of an earlier version. */
export const applyRequestReports = (
  requests: RequestQuarantine,
  { crashes, requestCrashes, answeredRequests }: RequestReports,
): void => {
  const known = new Set(
    requestCrashes.map(([fingerprint, target]) => `${fingerprint} ${target}`),
  );
  const earlierCrashes = crashes
    .filter(([fingerprint, target]) => !known.has(`${fingerprint} ${target}`))
    .map(([fingerprint, target]): RequestCrash => ({
      fingerprint,
      target,
      startedAtMs: unknownStartMs,
      atMs: performance.now(),
      lastUseMs: performance.now(),
    }));
  requests.apply(
    [...requestCrashes.map(decodeRequestCrash), ...earlierCrashes],
    answeredRequests.map(decodeAnsweredRequest),
  );
};
