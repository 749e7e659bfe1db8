/**
 * Stand-in of the platform's metadata store: rows in tables, conditional transactions, a feed
 * of changes, and the operator's and the runners' writes. Each instance may have a view of its
 * own, in which the addresses of runners are those of proxies.
 */
import { createServer } from 'node:http';

import { listen, sleep } from './tools.mjs';

const notFoundStatus = 404;

export class Store {
  version = 0;
  /** Delay of each answer in milliseconds. */
  delayMs = 0;
  #rows = new Map();
  #waiters = new Set();
  #servers = [];
  #sockets = new Set();
  #silentSockets = new WeakSet();

  /** Opens a view; `rewrite` maps a runner's entry to what the view's instance sees. */
  async openView(rewrite = entry => entry) {
    const server = createServer((request, response) => {
      this.#answer(request, response, rewrite).catch(() => {
        response.destroy();
      });
    });
    server.keepAliveTimeout = 60_000;
    server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    this.#servers.push(server);
    return `127.0.0.1:${await listen(server)}`;
  }

  close() {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Lets the connections that are open now stay silent for good, while new ones work. */
  silenceConnections() {
    for (const socket of this.#sockets) this.#silentSockets.add(socket);
  }

  /** Writes a row for the operator or a runner; undefined removes it. */
  put(table, key, value) {
    this.version += 1;
    this.#rows.set(`${table} ${key}`, {
      table,
      part: '',
      key,
      value:
        value === undefined
          ? undefined
          : Buffer.from(JSON.stringify(value)).toString('base64'),
      row_version: this.version,
    });
    this.#wake();
  }

  #wake() {
    for (const wake of this.#waiters) wake();
    this.#waiters.clear();
  }

  async #answer(request, response, rewrite) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const reply = await this.#handle(url, Buffer.concat(chunks), rewrite);
    if (this.delayMs > 0) await sleep(this.delayMs);
    if (this.#silentSockets.has(request.socket)) return;
    response.writeHead(reply.status, {
      'content-type': 'application/json',
      'store-era': '1',
    });
    response.end(
      JSON.stringify({
        row_version: this.version,
        now_ms: Math.round(performance.now()),
        ...reply.body,
      }),
    );
  }

  async #handle(url, body, rewrite) {
    const table = url.searchParams.get('table');
    if (url.pathname === '/api/rows-get') {
      const from = url.searchParams.get('from') ?? '';
      const to = url.searchParams.get('to');
      const rows = this.#list(table)
        .filter(row => row.value !== undefined)
        .filter(({ key }) => key >= from && (to === null || key < to))
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .map(row => view(row, rewrite));
      return { status: 200, body: { rows, has_more: false } };
    }
    if (url.pathname === '/api/rows-feed') {
      const after = Number(url.searchParams.get('after'));
      const endMs = performance.now() + Number(url.searchParams.get('wait_ms'));
      const changed = () =>
        this.#list(table).filter(row => row.row_version > after);
      while (changed().length === 0 && performance.now() < endMs)
        await this.#waitForChange(endMs - performance.now());
      const rows = changed()
        .sort((a, b) => a.row_version - b.row_version)
        .map(row => ({
          ...view(row, rewrite),
          tombstone: row.value === undefined,
        }));
      return { status: 200, body: { rows } };
    }
    if (url.pathname === '/api/rows-tx') return this.#commit(JSON.parse(body));
    return { status: notFoundStatus, body: {} };
  }

  #commit({ expected_revision: expected = [], put = [], remove = [] }) {
    const isMet = expected.every(({ table, key, row_version: version }) => {
      const row = this.#rows.get(`${table} ${key}`);
      return (row?.value === undefined ? 0 : row.row_version) === version;
    });
    if (!isMet) return { status: 412, body: { rows: [] } };
    this.version += 1;
    const written = [
      ...put,
      ...remove.map(row => ({ ...row, value: undefined })),
    ];
    for (const { table, key, value } of written)
      this.#rows.set(`${table} ${key}`, {
        table,
        part: '',
        key,
        value,
        row_version: this.version,
      });
    this.#wake();
    return { status: 200, body: {} };
  }

  #list(table) {
    return [...this.#rows.values()].filter(row => row.table === table);
  }

  #waitForChange(ms) {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, ms);
      this.#waiters.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

const view = (row, rewrite) => {
  if (row.table !== 'servers' || row.value === undefined) return row;
  const entry = JSON.parse(Buffer.from(row.value, 'base64').toString());
  const value = JSON.stringify(rewrite(entry, row.key));
  return { ...row, value: Buffer.from(value).toString('base64') };
};
