/** Stand-in of the platform's store, as PROTOCOL.md describes it. */
import { createServer } from 'node:http';

const encode = value =>
  Buffer.from(
    typeof value === 'string' ? value : JSON.stringify(value),
  ).toString('base64');

const rowId = ({ table, part = '', key }) => JSON.stringify([table, part, key]);

const byKey = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

/** Rows in memory behind the store's HTTP interface. */
export class Store {
  /** Milliseconds that each answer takes, after what was asked for is done. */
  answerMs = 4;
  era = 0;
  version = 0;
  #rows = new Map();
  #waiters = new Set();
  /** Runners by id: what they wrote last and when. */
  #beats = new Map();
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => request.socket.destroy());
  });
  #sweeper;

  /** `heartbeatMs` is the runners' interval; an entry lapses after three of them. */
  constructor(heartbeatMs) {
    this.heartbeatMs = heartbeatMs;
  }

  async listen(host = '127.0.0.1') {
    await new Promise(done => this.#server.listen(0, host, done));
    this.#sweeper = setInterval(() => this.#sweep(), 100);
    return this;
  }

  get address() {
    const { address, port } = this.#server.address();
    return `${address}:${port}`;
  }

  close() {
    clearInterval(this.#sweeper);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row on behalf of the operator. */
  put(table, key, value) {
    this.#write([{ table, key, value: encode(value) }], []);
  }

  /** A runner reports itself; the row changes only if more than `sequence` does. */
  beat(id, entry) {
    const { sequence: _, ...rest } = entry;
    const text = JSON.stringify(rest);
    const known = this.#beats.get(id);
    const row = this.#rows.get(rowId({ table: 'servers', key: id }));
    const isUnchanged = known?.text === text && row?.value === known.value;
    if (!isUnchanged) this.put('servers', id, entry);
    const value = isUnchanged ? known.value : encode(entry);
    this.#beats.set(id, { text, value, atMs: performance.now() });
  }

  /** Removes a runner's entry. */
  removeEntry(id) {
    this.#beats.delete(id);
    this.#write([], [{ table: 'servers', key: id }]);
  }

  #sweep() {
    const limitMs = performance.now() - 3 * this.heartbeatMs;
    for (const [id, { atMs }] of this.#beats)
      if (atMs < limitMs) this.removeEntry(id);
  }

  #write(puts, removes) {
    this.version += 1;
    const row_version = this.version;
    for (const { table, part = '', key, value } of puts)
      this.#rows.set(rowId({ table, part, key }), {
        table,
        part,
        key,
        value,
        row_version,
      });
    for (const { table, part = '', key } of removes)
      this.#rows.set(rowId({ table, part, key }), {
        table,
        part,
        key,
        row_version,
        tombstone: true,
      });
    for (const wake of [...this.#waiters]) wake();
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const query = name => url.searchParams.get(name) ?? undefined;
    const table = query('table');
    const part = query('part') ?? '';
    if (url.pathname === '/api/rows-get') {
      const [from, to] = [query('from') ?? '', query('to')];
      const limit = Math.min(500, Number(query('limit') ?? 500));
      const rows = [...this.#rows.values()]
        .filter(row => row.table === table && row.part === part)
        .filter(row => row.tombstone !== true)
        .filter(row => byKey(row, { key: from }) >= 0)
        .filter(row => to === undefined || byKey(row, { key: to }) < 0)
        .sort(byKey);
      this.#answer(response, 200, {
        rows: rows.slice(0, limit),
        has_more: rows.length > limit,
      });
      return;
    }
    if (url.pathname === '/api/rows-feed') {
      await this.#feed(response, table, query);
      return;
    }
    if (url.pathname === '/api/rows-tx') {
      this.#transact(response, JSON.parse(Buffer.concat(chunks).toString()));
      return;
    }
    this.#answer(response, 404, {});
  }

  async #feed(response, table, query) {
    const after = Number(query('after'));
    const endMs =
      performance.now() + Math.min(30_000, Number(query('wait_ms') ?? 0));
    const list = () =>
      [...this.#rows.values()]
        .filter(row => row.table === table && row.row_version > after)
        .sort((a, b) => a.row_version - b.row_version);
    if (after > this.version) {
      this.#answer(response, 410, {});
      return;
    }
    while (list().length === 0 && performance.now() < endMs)
      await this.#change(endMs - performance.now());
    this.#answer(response, 200, { rows: list() });
  }

  #change(waitMs) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, waitMs));
      this.#waiters.add(wake);
    });
  }

  #transact(response, { expected_revision = [], put = [], remove = [] }) {
    const current = expected_revision.map(entry =>
      this.#rows.get(rowId(entry)),
    );
    const holds = expected_revision.every(({ row_version }, i) => {
      const row = current[i];
      const known =
        row === undefined || row.tombstone === true ? 0 : row.row_version;
      return known === row_version;
    });
    if (!holds) {
      this.#answer(response, 412, { rows: current.filter(Boolean) });
      return;
    }
    this.#write(put, remove);
    this.#answer(response, 200, {});
  }

  /** What is answered is as of now; it takes its time to arrive. */
  #answer(response, status, body) {
    const text = JSON.stringify({
      ...body,
      row_version: this.version,
      now_ms: Math.round(performance.now()),
    });
    const headers = {
      'content-type': 'application/json',
      'store-era': String(this.era),
    };
    setTimeout(() => {
      response.writeHead(status, headers);
      response.end(text);
    }, this.answerMs);
  }
}

export const pause = ms => new Promise(done => setTimeout(done, ms));
