/** Small helpers of the cases. */
import { createServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

export const sleep = ms => pause(Math.max(0, ms));

/** Listens on loopback at a port that the system gives; returns the port. */
export const listen = (server, port = 0) =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      resolve(server.address().port);
    });
  });

const tryListen = port =>
  new Promise(resolve => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

/** Below the ports that the system gives to outgoing connections. */
const firstPort = 20_000;
const portCount = 12_000;

/** Returns the first of `count` free ports in a row. */
export const findFreePort = async (count = 1) => {
  for (;;) {
    const port = firstPort + Math.floor(Math.random() * portCount);
    const results = [];
    for (let i = 0; i < count; i += 1) results.push(await tryListen(port + i));
    if (results.every(Boolean)) return port;
  }
};

let idCount = 0;
/** Returns an id that no other request of the run has. */
export const createId = () => {
  idCount += 1;
  const random = Math.floor(Math.random() * 2 ** 32);
  return `${random.toString(16).padStart(8, '0')}${idCount.toString(16).padStart(8, '0')}`;
};
