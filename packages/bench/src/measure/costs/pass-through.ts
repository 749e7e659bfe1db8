/**
 * A bare pass-through: the least that a proxy of `node:http` can do for a request.
 * Runs as a process of its own: `node pass-through.js PORT TARGET_PORT`.
 */
import { Agent, createServer, request } from 'node:http';

const [port, targetPort] = process.argv.slice(2).map(Number);
const agent = new Agent({ keepAlive: true });

createServer((incoming, response) => {
  const outgoing = request(
    {
      host: '127.0.0.1',
      port: targetPort,
      method: incoming.method,
      path: incoming.url,
      headers: incoming.headers,
      agent,
    },
    answer => {
      response.writeHead(answer.statusCode ?? 502, answer.headers);
      answer.pipe(response);
    },
  );
  incoming.pipe(outgoing);
}).listen(port, '127.0.0.1');
