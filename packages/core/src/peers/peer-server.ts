/** Dispatches the JSON-RPC calls of peers to the registered methods. */
import { JSONRPCServer } from 'json-rpc-2.0';
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0';

import type { PeerMethodHandler } from '../kernel/kernel.js';
import { toFailure } from '../shared/failure.js';
import type { Failure } from '../shared/failure.js';

/** The instance that sent the request. */
interface RpcCaller {
  readonly from: string;
}

/** Runs JSON-RPC requests; a method's failure becomes a JSON-RPC error. */
export class PeerServer {
  readonly #server = new JSONRPCServer<RpcCaller>();

  constructor(
    private readonly methods: ReadonlyMap<string, PeerMethodHandler>,
  ) {
    for (const [name, handler] of methods) {
      this.#server.addMethod(name, async (params: unknown, { from }) => {
        const result = await handler(params, from);
        return result.caseOf({
          Left: failure => {
            throw failure;
          },
          Right: value => value ?? null,
        });
      });
    }
  }

  /** Runs one request and returns its response; `null` for a notification. */
  async handleRequest(
    request: JSONRPCRequest,
    from: string,
  ): Promise<JSONRPCResponse | null> {
    return this.#server.receive(request, { from });
  }

  /**
   * Runs a notification and returns the failure of its method, if any. A notification of
   * an unknown method has no effect, as JSON-RPC states.
   */
  async runNotification(
    { method, params }: JSONRPCRequest,
    from: string,
  ): Promise<Failure | undefined> {
    try {
      const result = await this.methods.get(method)?.(params, from);
      return result?.swap().toMaybe().extract();
    } catch (error) {
      return toFailure(error);
    }
  }
}
