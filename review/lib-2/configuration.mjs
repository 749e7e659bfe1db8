/** The operator's configuration, in the form of the pages. */

export const limits = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

export const plainService = name => ({
  name,
  health_path: '/healthz',
  max_connections: 110,
  protocol: 'h1',
  tls: false,
});

export const engineService = name => ({
  name,
  health_path: '/healthz',
  max_connections: 370,
  protocol: 'h1',
  tls: false,
  engine: {
    slots: 64,
    kv_capacity: 430067,
    token_kv_bytes: 18432,
    bandwidth_mbps: 370000,
    handle_ttl_s: 5,
    switch_time_s: 3,
    models: [{ name: 'm' }],
  },
});

export const plainRoute = (name, host, prefix, service, options = {}) => ({
  name,
  host,
  prefix,
  kind: 'idempotent',
  timeout_ms: 1000,
  target_latency_ms: 193,
  priority: 2,
  service,
  max_attempts: 2,
  session_affinity: false,
  resumable: false,
  ...options,
});

export const streamRoute = (name, host, prefix, service, options = {}) => ({
  name,
  host,
  prefix,
  kind: 'streaming',
  timeout_ms: 5000,
  target_latency_ms: 1200,
  target_gap_ms: 400,
  priority: 0,
  service,
  max_attempts: 2,
  session_affinity: true,
  resumable: true,
  ...options,
});
