/** The operators' command line, as a library. */
export * from './exit-codes.js';
export * from './operator-client.js';
