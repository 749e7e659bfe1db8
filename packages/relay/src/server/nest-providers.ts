/** Injection tokens of the callers' interface. */
export const relayToken = 'relay';
export const routesToken = 'routes';
export const requestDecoderToken = 'request-decoder';
export const bodyReaderToken = 'body-reader';
export const drainToken = 'drain';
export const loopDelayToken = 'loop-delay';
