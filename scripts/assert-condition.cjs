// The one assertion that undici and Fastify use. The runtime's own module also loads what
// prints the difference of two values, which takes a part of each start.
module.exports = (condition, message) => {
  if (condition) return;
  throw message instanceof Error
    ? message
    : new Error(message ?? 'an assertion failed');
};
