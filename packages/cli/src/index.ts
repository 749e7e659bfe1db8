/** Public exports of the operators' command line: the HTTP client and the exit codes. */
export * from './exit-codes.js';
export * from './operator-client.js';
