// Stands for undici's client of HTTP/2, which no connection of the daemon uses and
// which loads the runtime's modules for HTTP/2 and TLS.
module.exports = () => {
  throw new Error('HTTP/2 is not part of this bundle');
};
