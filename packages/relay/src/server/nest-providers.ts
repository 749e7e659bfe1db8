/** Nest injection tokens of the caller server. */
export const relayProvider = 'relay';
export const routesProvider = 'routes';
export const requestDecoderProvider = 'request-decoder';
export const bodyReaderProvider = 'body-reader';
export const requestDrainerProvider = 'drain';
export const eventLoopDelayMonitorProvider = 'loop-delay';
export const overloadGuardProvider = 'overload-guard';
export const callerConnectionsProvider = 'caller-connections';
