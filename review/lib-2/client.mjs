/** Stand-in of a client: one attempt on a new connection. */
import { randomBytes } from 'node:crypto';
import { request as sendRequest } from 'node:http';

export const createId = () => randomBytes(8).toString('hex');

/**
 * Sends one attempt and resolves with what came back; `whole` is false if the answer
 * broke off. `onData` gets each part and a function that closes the connection.
 */
export const attempt = (
  node,
  { method = 'GET', path, host, headers = {}, body, id, deadlineMs, onData },
) =>
  new Promise(resolve => {
    const startMs = performance.now();
    const answer = { id, status: 0, headers: {}, body: '', whole: false };
    const finish = () => {
      clearTimeout(timer);
      resolve({ ...answer, ms: Math.round(performance.now() - startMs) });
    };
    const request = sendRequest({
      host: node.ip,
      port: node.port,
      method,
      path,
      agent: false,
      setHost: false,
      headers: {
        Host: host,
        'X-Medlarlever-Attempt-Id': id,
        'X-Medlarlever-Deadline-Ms': String(deadlineMs),
        ...(body === undefined ? {} : { 'Content-Length': body.length }),
        ...headers,
      },
    });
    const timer = setTimeout(() => request.destroy(), deadlineMs + 200);
    request.on('response', response => {
      answer.status = response.statusCode;
      answer.headers = response.headers;
      response.on('data', chunk => {
        answer.body += chunk.toString();
        onData?.(answer, () => request.destroy());
      });
      response.on('end', () => {
        answer.whole = response.complete;
        finish();
      });
      response.on('error', finish);
      response.on('aborted', finish);
    });
    request.on('error', error => {
      answer.error = error.code ?? error.message;
      finish();
    });
    request.end(body);
  });
