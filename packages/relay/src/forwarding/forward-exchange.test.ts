import test from 'ava';
import type { Dispatcher } from 'undici';

import { ResponseSink } from '../relay/target-client.js';

import { ForwardExchange } from './forward-exchange.js';
import { answerResult, resultHeaderName } from './forwarded-request.js';
import type { ForwardOutcome } from './request-forwarder.js';

class DecliningSink extends ResponseSink {
  override onHead(): boolean {
    return false;
  }

  override onData(): boolean {
    return true;
  }

  override waitForDrain(): Promise<void> {
    return Promise.resolve();
  }
}

const createController = () => {
  let isAborted = false;
  const controller = {
    abort: () => {
      isAborted = true;
    },
  } as unknown as Dispatcher.DispatchController;
  return { controller, isAborted: () => isAborted };
};

// A faulty target's error was read until the deadline by way of another instance.
test('a declined answer of another instance that has no end is not read', t => {
  const outcomes: ForwardOutcome[] = [];
  const exchange = new ForwardExchange({
    sink: new DecliningSink(),
    signal: new AbortController().signal,
    onEnd: outcome => outcomes.push(outcome),
  });
  const { controller, isAborted } = createController();
  exchange.onRequestStart(controller);
  exchange.onResponseStart(controller, 500, {
    [resultHeaderName]: answerResult,
  });
  let readBytes = 0;
  while (!isAborted() && readBytes < 1024 * 1024) {
    exchange.onResponseData(controller, Buffer.alloc(16 * 1024));
    readBytes += 16 * 1024;
  }
  t.true(isAborted());
  t.deepEqual(outcomes, [{ kind: 'declined', status: 500 }]);
});
