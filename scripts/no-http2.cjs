// Stands for undici's client of HTTP/2 and for the runtime's module that Fastify loads for
// it. No connection of the daemon uses HTTP/2, and to load it takes a part of each start.
module.exports = () => {
  throw new Error('HTTP/2 is not part of this bundle');
};
