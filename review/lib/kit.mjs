/**
 * Small stand-ins of the platform for the cases of this review: the store, runners, and
 * the processes of the system itself, which are started with the command of
 * `deploy/system.toml`. Everything listens on loopback addresses and on free ports. Only
 * modules of Node.js are used.
 */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const repository = fileURLToPath(new URL('../..', import.meta.url));
export const isTroubled = process.env.TROUBLE !== '0';
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const startMs = performance.now();
/** Seconds since the start of the case. */
export const elapsedS = () => (performance.now() - startMs) / 1000;

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
export class Recorder {
  constructor(folder) {
    this.path = fileURLToPath(new URL('record.txt', folder));
    writeFileSync(this.path, '');
  }

  write(...parts) {
    appendFileSync(this.path, `${elapsedS().toFixed(3)} ${parts.join(' ')}\n`);
  }
}

const listen = (server, host, port = 0) =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve(server.address().port);
    });
  });

const isFree = async (host, port) => {
  const server = net.createServer();
  try {
    await listen(server, host, port);
    await new Promise(resolve => server.close(resolve));
    return true;
  } catch {
    return false;
  }
};

/** Finds `count` ports in a row that are free on all hosts, below the ephemeral ones. */
const findPorts = async (hosts, count) => {
  for (;;) {
    const first = 10_000 + Math.floor(Math.random() * 20_000);
    const ports = Array.from({ length: count }, (_, i) => first + i);
    const checks = hosts.flatMap(host => ports.map(p => isFree(host, p)));
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
};

const readBody = async message => {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const toBase64 = value =>
  Buffer.from(
    typeof value === 'string' ? value : JSON.stringify(value),
  ).toString('base64');

/** Most rows of one answer, as the page on the store says. */
const pageRows = 500;

/**
 * The platform's store: rows with conditions, reads in pages, and a feed of changes. Each
 * view is a server of its own on the same rows.
 */
export class Store {
  version = 0;
  rows = new Map();
  waiters = new Set();
  views = [];
  /** Positions before this one get 410. */
  oldestPosition = 0;

  /** Adds a server; `rewrite` changes the text of registrations, for a proxy of a link. */
  async addView(rewrite = text => text) {
    const view = { rewrite, delayMs: 0, behavior: 'serving', onPage: () => {} };
    view.server = http.createServer((request, response) => {
      this.#handle(view, request, response).catch(() => response.destroy());
    });
    const port = await listen(view.server, '127.0.0.1');
    view.address = `127.0.0.1:${port}`;
    this.views.push(view);
    return view;
  }

  put(table, key, value) {
    this.#set(table, key, toBase64(value));
    this.#notify();
  }

  remove(table, key) {
    this.#set(table, key, undefined);
    this.#notify();
  }

  stop() {
    for (const { server } of this.views) {
      server.closeAllConnections();
      server.close();
    }
  }

  #set(table, key, value, version = (this.version += 1)) {
    const id = `${table}/${key}`;
    this.rows.set(id, { table, part: '', key, value, row_version: version });
  }

  #notify() {
    for (const waiter of this.waiters) waiter();
    this.waiters.clear();
  }

  async #handle(view, request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    if (view.delayMs > 0) await sleep(view.delayMs);
    if (view.behavior === 'silent') return;
    if (view.behavior === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (url.pathname === '/api/rows-get') this.#sendRows(view, url, response);
    else if (url.pathname === '/api/rows-feed')
      await this.#sendFeed(view, url, response);
    else if (url.pathname === '/api/rows-tx')
      this.#transact(JSON.parse(body.toString()), response);
    else this.#send(response, 404, {});
  }

  #list(view, table) {
    return [...this.rows.values()]
      .filter(row => row.table === table)
      .map(row => {
        if (row.value === undefined || table !== 'servers') return row;
        const text = Buffer.from(row.value, 'base64').toString();
        return { ...row, value: toBase64(view.rewrite(text)) };
      });
  }

  #sendRows(view, url, response) {
    const query = url.searchParams;
    const from = query.get('from') ?? '';
    const to = query.get('to') ?? '\uffff';
    const limit = Math.min(pageRows, Number(query.get('limit') ?? pageRows));
    const rows = this.#list(view, query.get('table'))
      .filter(
        ({ value, key }) => value !== undefined && key >= from && key < to,
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    this.#send(response, 200, {
      rows: rows.slice(0, limit),
      has_more: rows.length > limit,
      row_version: this.version,
    });
    view.onPage(query.get('table'), from, rows.length > limit);
  }

  async #sendFeed(view, url, response) {
    const table = url.searchParams.get('table');
    const after = Number(url.searchParams.get('after'));
    const untilMs = performance.now() + Number(url.searchParams.get('wait_ms'));
    for (;;) {
      if (after < this.oldestPosition) {
        this.#send(response, 410, {});
        return;
      }
      if (view.behavior !== 'serving') {
        response.destroy();
        return;
      }
      const rows = this.#list(view, table)
        .filter(({ row_version: version }) => version > after)
        .sort((a, b) => a.row_version - b.row_version)
        .map(row => ({ ...row, tombstone: row.value === undefined }));
      const remainingMs = untilMs - performance.now();
      if (rows.length > 0 || remainingMs <= 0) {
        this.#send(response, 200, { rows, row_version: this.version });
        return;
      }
      await new Promise(resolve => {
        const timer = setTimeout(resolve, remainingMs);
        this.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  /** Ends the long polls, so that they see a changed behaviour or a lost history. */
  wake() {
    this.#notify();
  }

  #transact(
    { expected_revision: expected = [], put = [], remove = [] },
    response,
  ) {
    const isMet = expected.every(({ table, key, row_version: version }) => {
      const row = this.rows.get(`${table}/${key}`);
      return (row?.value === undefined ? 0 : row.row_version) === version;
    });
    if (!isMet) {
      this.#send(response, 412, { rows: [] });
      return;
    }
    this.version += 1;
    for (const { table, key, value } of put)
      this.#set(table, key, value, this.version);
    for (const { table, key } of remove)
      this.#set(table, key, undefined, this.version);
    this.#notify();
    this.#send(response, 200, { row_version: this.version });
  }

  #send(response, status, body) {
    const now = { now_ms: Math.round(performance.now()) };
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ ...body, ...now }));
  }
}

let sealCount = 0;

/**
 * A runner: answers reports and misdirected requests as the pages say, and passes all
 * other requests to `run`. It may end and start again at its address.
 */
export class Runner {
  constructor({ id, service, zone, slots = 6, stage, version = 'v1', run }) {
    Object.assign(this, { id, service, zone, slots, stage, version, run });
    this.running = 0;
    this.state = 'ready';
  }

  async start(port = 0) {
    this.born = Date.now();
    this.server = http.createServer((request, response) => {
      this.#handle(request, response).catch(() => request.socket.destroy());
    });
    this.port = await listen(this.server, '127.0.0.1', port);
    return this;
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  get registration() {
    const { service, address, zone, version, slots, state, stage, born } = this;
    return {
      ...{ service, address, zone, version, slots, state, cold_left_ms: 0 },
      ...{ sequence: 0, born, ...(stage !== undefined && { stage }) },
    };
  }

  /** Ends at once, as a crash does: all connections are closed, new ones refused. */
  async crash() {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  /** Answers with a body and a seal of this run. */
  answer(request, response, body, headers = {}) {
    response.writeHead(200, {
      ...this.createHeaders(request),
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(body),
      ...headers,
    });
    response.end(body);
  }

  createHeaders(request) {
    sealCount += 1;
    return {
      'x-medlarlever-attempt-id': request.headers['x-medlarlever-attempt-id'],
      'x-medlarlever-server-seal': `${this.id}.${sealCount}`,
    };
  }

  async #handle(request, response) {
    const expected = request.headers['x-medlarlever-expect-instance'];
    const send = (status, body, headers = {}) => {
      response.writeHead(status, {
        'content-type': 'application/json',
        ...headers,
      });
      response.end(JSON.stringify(body));
    };
    const body = await readBody(request);
    if (expected !== undefined && expected !== this.id) {
      send(421, {}, { 'x-medlarlever-instance-id': this.id });
      return;
    }
    if (request.url === '/api/report') {
      const { stage, running } = this;
      send(200, {
        ...{ stage, models: [], busy: false, sequence: 0, queued: 0, running },
        ...{ kv_used: 0, kv_total: 430_000, handles: 0 },
      });
    } else if (request.url === '/api/kv-list') {
      send(200, { epoch: 1, next: 0, held: [] });
    } else if (request.url === '/api/order') {
      send(409, {});
    } else if (request.url === '/healthz') {
      send(200, {}, { 'x-medlarlever-instance-id': this.id });
    } else if (this.running >= 4 * this.slots) {
      send(503, {}, { 'x-medlarlever-not-executed': '1' });
    } else {
      this.running += 1;
      try {
        await this.run(this, request, response, body);
      } finally {
        this.running -= 1;
      }
    }
  }
}

/** The command of the role in the deploy file. */
const readCommand = () => {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text);
  return command.split(' ');
};

/** The processes of the system, each with a loopback address of its own. */
export class System {
  constructor({ store, zones, contracts, grace = 8, bounds = {} }) {
    Object.assign(this, { store, zones, grace, bounds });
    this.contracts = contracts ?? [
      ...['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split'],
      ...['stream', 'engine', 'platform'],
    ];
    this.folder = mkdtempSync(join(tmpdir(), 'medlarlever-review-'));
    this.instances = [];
    this.exits = [];
    for (const signal of ['SIGINT', 'SIGTERM'])
      process.once(signal, () => process.exit(2));
    process.once('exit', () => {
      this.killAll();
    });
  }

  killAll() {
    for (const { child } of this.instances) child?.kill('SIGKILL');
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Starts one process in each zone of the list. */
  async start(rewrites = []) {
    const hosts = this.zones.map((_, i) => `127.0.0.${i + 2}`);
    const port = await findPorts(hosts, 20);
    for (const [i, zone] of this.zones.entries()) {
      const view = await this.store.addView(rewrites[i]);
      const host = hosts[i];
      const file = join(this.folder, `${i}.json`);
      const name = `edge-${zone}-${i + 1}`;
      this.instances.push({ name, zone, host, port, file, view, hosts });
    }
    for (const instance of this.instances) this.spawn(instance, true);
    await this.waitUntilReady();
  }

  spawn(instance, isFirst = false) {
    const { name, zone, host, port, file, view, hosts } = instance;
    const settings = {
      ...{ node_name: name, role: 'relay', machine_class: 'edge' },
      ...{ serves: ['edge', 'control'], ip: host, zone, region: 'r' },
      listen: {
        frontend: `${host}:${port + 16}`,
        readiness: `${host}:${port + 17}`,
        control: `${host}:${port + 18}`,
      },
      internal_ports: [port, port + 15],
      seeds: hosts.map(each => `${each}:${port + 18}`),
      bootstrap: isFirst,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 },
      contracts: this.contracts,
      bounds: {
        ...{ stability_window_ms: 3000, drain_timeout_ms: 2000, lost_ms: 200 },
        ...{ grace_period_s: this.grace, config_deadline_ms: 2000 },
        ...{ retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 56 },
        ...{ require_fence: false, lease_ms: 3000, thaw_ms: 300 },
        ...this.bounds,
      },
      platform: { address: view.address, form: 'table', row_bytes: 65536 },
    };
    writeFileSync(file, JSON.stringify(settings));
    const [command, ...args] = readCommand();
    const program = command === 'node' ? process.execPath : command;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: repository,
      env: { PATH, HOME, LANG, MEDLARLEVER_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    instance.child = child;
    instance.log = [];
    const keep = chunk => instance.log.push(String(chunk));
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      this.exits.push({ name, code, signal, atS: elapsedS() });
      instance.hasExited = true;
    });
    instance.hasExited = false;
  }

  /** Log lines of a process that hold the text. */
  findLines({ log }, text) {
    return log
      .join('')
      .split('\n')
      .filter(line => line.includes(text));
  }

  async isReady({ host, port }) {
    const url = `http://${host}:${port + 17}/api/readyz`;
    const answer = await fetch(url).catch(() => undefined);
    await answer?.arrayBuffer();
    return answer?.status === 200;
  }

  async waitUntilReady(instances = this.instances, timeoutMs = 30_000) {
    const untilMs = performance.now() + timeoutMs;
    for (const instance of instances) {
      while (!(await this.isReady(instance))) {
        if (performance.now() > untilMs || instance.hasExited)
          throw new Error(`${instance.name} did not get ready`);
        await sleep(100);
      }
    }
  }

  async stop(instance, signal = 'SIGKILL') {
    if (instance.hasExited) return;
    const ended = new Promise(resolve => instance.child.once('exit', resolve));
    instance.child.kill(signal);
    await ended;
  }
}

/** A TCP proxy of one link, which can refuse connections or reset those that there are. */
export class Proxy {
  sockets = new Set();
  isCut = false;

  async start(getTarget) {
    this.server = net.createServer(socket => {
      if (this.isCut) {
        socket.resetAndDestroy();
        return;
      }
      const [host, port] = getTarget().split(':');
      const other = net.connect(Number(port), host);
      for (const each of [socket, other]) {
        this.sockets.add(each);
        each.on('error', () => undefined);
        each.on('close', () => {
          this.sockets.delete(each);
          socket.destroy();
          other.destroy();
        });
      }
      socket.pipe(other);
      other.pipe(socket);
    });
    this.port = await listen(this.server, '127.0.0.1');
    this.address = `127.0.0.1:${this.port}`;
    return this;
  }

  cut() {
    this.isCut = true;
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  stop() {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

let attemptCount = 0;

/** A new id of a client attempt. */
export const createAttemptId = () => {
  attemptCount += 1;
  return attemptCount.toString(16).padStart(16, '0');
};

/**
 * Sends one request to an instance; resolves to the status, the headers and the body, or to
 * the error. `isComplete` is false if the answer broke off.
 */
export const send = (
  { host, port },
  { path, method = 'GET', headers = {}, body, agent, id, timeoutMs = 10_000 },
) =>
  new Promise(resolve => {
    const sentS = elapsedS();
    const chunks = [];
    let status;
    let seal;
    const finish = (isComplete, error) => {
      clearTimeout(timer);
      const text = Buffer.concat(chunks).toString('latin1');
      const endedS = elapsedS();
      resolve({ id, status, seal, text, isComplete, error, sentS, endedS });
    };
    const request = http.request(
      {
        ...{ host, port: port + 16, path, method, agent: agent ?? false },
        headers: {
          host: 'desk.example',
          'x-medlarlever-attempt-id': id,
          ...headers,
          ...(body !== undefined && { 'content-length': body.length }),
        },
      },
      response => {
        status = response.statusCode;
        seal = response.headers['x-medlarlever-server-seal'];
        response.on('data', chunk => chunks.push(chunk));
        response.on('end', () => {
          finish(response.complete);
        });
        response.on('error', error => {
          finish(false, error.code ?? error.message);
        });
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      finish(false, 'client gave up');
    }, timeoutMs);
    request.on('error', error => {
      finish(false, error.code ?? error.message);
    });
    request.end(body);
  });

/** Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export const runCase = async (folder, play) => {
  const recorder = new Recorder(folder);
  const limit = setTimeout(() => {
    recorder.write('the case took too long');
    process.exit(2);
  }, 115_000);
  try {
    const isBroken = await play(recorder);
    clearTimeout(limit);
    const verdict = isBroken ? 'the rule was broken' : 'the rule held';
    recorder.write(verdict);
    console.log(verdict);
    process.exit(isBroken ? 1 : 0);
  } catch (error) {
    recorder.write('the case could not run:', error.stack);
    console.error(error);
    process.exit(2);
  }
};

/** A route and a service as the operator writes them. */
export const createRoute = (prefix, kind, service, fields = {}) => ({
  ...{ name: `r-${prefix}`, host: 'desk.example', prefix, kind, service },
  ...{ timeout_ms: 3000, target_latency_ms: 193, priority: 1 },
  ...{ max_attempts: kind === 'non_idempotent' ? 1 : 2, anonymous: false },
  ...fields,
});

export const createConfiguration = (version, routes, services) => ({
  ...{ version, routes, services },
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
});

export const plainService = name => ({
  ...{ name, health_path: '/healthz', max_connections: 110 },
});

export const engineService = name => ({
  ...{ name, health_path: '/healthz', max_connections: 370 },
  engine: {
    ...{ slots: 64, kv_capacity: 430_067, token_kv_bytes: 18_432 },
    ...{ bandwidth_mbps: 370_000, handle_ttl_s: 5, switch_time_s: 3 },
    models: [{ name: 'm' }],
  },
});
