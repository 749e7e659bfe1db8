// The part of prom-client that the daemon uses. The whole package also loads its
// default metrics, which read files, and what sends metrics to other services.
module.exports = {
  Registry: require('prom-client/lib/registry.js'),
  Counter: require('prom-client/lib/counter.js'),
  Gauge: require('prom-client/lib/gauge.js'),
  Histogram: require('prom-client/lib/histogram.js'),
};
