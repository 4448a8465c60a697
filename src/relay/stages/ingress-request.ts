/** A request at ingress: its head has been read, its body has not. */
import type { RelayContext } from '../relay-context.js';
import type { Route, RoutingTable } from '../request/routing-table.js';
import type { Tenant } from '../request/tenant.js';

/** Head of a request, unchanged. */
export interface RequestHead {
  readonly method: string;
  /** Path with query string. */
  readonly path: string;
  /** Header names and values, alternating. */
  readonly rawHeaders: readonly string[];
  /** Returns the first value of a header, by its name in lower case. */
  readonly header: (name: string) => string | undefined;
}

/**
 * State that the ingress stages share. Each stage fills in its result and relies on the stages
 * before it.
 */
export interface IngressRequest {
  readonly context: RelayContext;
  readonly head: RequestHead;
  /** Configuration that applies to the request. */
  table: RoutingTable | undefined;
  route: Route | undefined;
  id: string | undefined;
  /** Tenant of the request; undefined if no key was required. */
  tenant: Tenant | undefined;
}

/** Creates the state of a request whose head has just been read. */
export function createIngressRequest(context: RelayContext, head: RequestHead): IngressRequest {
  return { context, head, table: undefined, route: undefined, id: undefined, tenant: undefined };
}
