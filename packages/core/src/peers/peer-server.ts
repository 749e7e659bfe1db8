/** Answers the JSON-RPC calls of peers with the kernel's methods. */
import { JSONRPCServer } from 'json-rpc-2.0';
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0';

import type { PeerMethodHandler } from '../kernel/kernel.js';

interface RpcCaller {
  readonly from: string;
}

export class PeerServer {
  readonly #server = new JSONRPCServer<RpcCaller>();

  constructor(methods: ReadonlyMap<string, PeerMethodHandler>) {
    for (const [name, handler] of methods) {
      this.#server.addMethod(name, async (params: unknown, { from }) => {
        const outcome = await handler(params, from);
        return outcome.caseOf({
          Left: failure => {
            throw failure;
          },
          Right: value => value ?? null,
        });
      });
    }
  }

  /** Runs one request; `null` for a notification. */
  async handleRequest(
    request: JSONRPCRequest,
    from: string,
  ): Promise<JSONRPCResponse | null> {
    return this.#server.receive(request, { from });
  }
}
