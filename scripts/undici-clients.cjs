// The part of undici that the daemon uses. The whole package also loads its fetch,
// WebSocket and cache, which takes a third of the daemon's start.
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');

// The package's own index adds the methods of its API to each client like this.
Object.assign(Dispatcher.prototype, {
  request: require('undici/lib/api/api-request.js'),
  upgrade: require('undici/lib/api/api-upgrade.js'),
});

module.exports = {
  Client: require('undici/lib/dispatcher/client.js'),
  Pool: require('undici/lib/dispatcher/pool.js'),
  buildConnector: require('undici/lib/core/connect.js'),
  errors: require('undici/lib/core/errors.js'),
};
