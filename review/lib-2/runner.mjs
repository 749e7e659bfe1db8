/** Stand-in of a runner: a plain server or a model runner, as PROTOCOL.md describes it. */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';

import { pause } from './store.mjs';

const readBody = async request => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/** One runner; `start` begins an incarnation, `crash` ends it without a word. */
export class Runner {
  born = 0;
  sequence = 0;
  state = 'ready';
  isUp = false;
  handles = new Set();
  #server;
  #sockets = new Set();
  #beatTimer;
  #port = 0;

  /**
   * `options.work` runs one request: it gets the runner, the request, its body and the
   * response, and writes the answer. `options.onArrival` is told of each request.
   */
  constructor(options) {
    this.options = options;
    this.id = options.id;
    this.version = options.version ?? 'v1';
  }

  get address() {
    return `${this.options.host ?? '127.0.0.1'}:${this.#port}`;
  }

  /** Listens, then reports itself to the store. */
  async start() {
    this.born = Date.now();
    this.sequence = 0;
    this.handles.clear();
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => request.socket.destroy());
    });
    this.#server.keepAliveTimeout = 20_000;
    const sockets = new Set();
    this.#sockets = sockets;
    this.#server.on('connection', socket => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise((done, fail) => {
      this.#server.once('error', fail);
      this.#server.listen(this.#port, this.options.host ?? '127.0.0.1', done);
    });
    this.#port = this.#server.address().port;
    this.isUp = true;
    this.#beat();
    this.#beatTimer = setInterval(() => this.#beat(), this.options.heartbeatMs);
  }

  /** Reports that it leaves; it serves on until `crash`. */
  drain() {
    this.state = 'draining';
    this.#beat();
  }

  #beat() {
    if (!this.isUp) return;
    const { store, service, zone, slots, stage } = this.options;
    this.sequence += 1;
    store.beat(this.id, {
      service,
      address: this.address,
      zone,
      version: this.version,
      slots,
      state: this.state,
      cold_left_ms: 0,
      ...(stage === undefined ? {} : { stage, models: this.#models }),
      sequence: this.sequence,
      born: this.born,
    });
  }

  get #models() {
    return [{ name: 'm', version: 1, adapters: [] }];
  }

  /** The process ends: its connections are reset, and nothing listens any more. */
  crash() {
    this.isUp = false;
    clearInterval(this.#beatTimer);
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#server.close();
  }

  async #serve(request, response) {
    const { headers, method, url } = request;
    const body = await readBody(request);
    const expected = headers['x-medlarlever-expect-instance'];
    const echo = headers['x-medlarlever-attempt-id'];
    if (echo !== undefined)
      response.setHeader('X-Medlarlever-Attempt-Id', echo);
    if (expected !== undefined && expected !== this.id) {
      response.setHeader('X-Medlarlever-Instance-Id', this.id);
      response.writeHead(421).end();
      return;
    }
    if (url === '/api/report') {
      this.#json(response, 200, this.#report());
      return;
    }
    if (url.startsWith('/api/kv-list')) {
      this.#json(response, 200, { epoch: 'e', next: 0, held: [] });
      return;
    }
    if (url.startsWith('/api/kv-handle/') && method === 'DELETE') {
      response.writeHead(200).end();
      return;
    }
    if (url === '/healthz') {
      response.setHeader('X-Medlarlever-Instance-Id', this.id);
      response.writeHead(200).end();
      return;
    }
    if (echo === undefined) {
      response.setHeader('X-Medlarlever-Not-Executed', '1');
      response.writeHead(400).end();
      return;
    }
    if (headers['x-medlarlever-stage'] === 'prefill') {
      const handle = randomBytes(6).toString('hex');
      this.handles.add(handle);
      const tokens = Number(
        String(headers['x-medlarlever-token-count']).split(',')[0],
      );
      this.options.onPrefill?.(this, request);
      await pause(5);
      this.#json(response, 200, { kv_handle: handle, tokens, version: 1 });
      return;
    }
    this.options.onArrival?.(this, request, body);
    response.setHeader(
      'X-Medlarlever-Server-Seal',
      `${this.id}.${randomBytes(4).toString('hex')}`,
    );
    await this.options.work(this, request, body, response);
  }

  #report() {
    const { stage } = this.options;
    return {
      ...(stage === undefined ? {} : { stage, models: this.#models }),
      busy: false,
      sequence: 0,
      queued: 0,
      running: 0,
      kv_used: 0,
      kv_total: 400_000,
      handles: 0,
      born: this.born,
    };
  }

  #json(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}
