/** What the head stages know of one request: its head is read, its body isn't yet. */
import type { RelayContext } from '../relay-context.js';
import type { Route, RoutingTable } from '../request/routing-table.js';
import type { Tenant } from '../request/tenant.js';

/** The head of a request as it came. */
export interface RequestHead {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Names and values in turn. */
  readonly rawHeaders: readonly string[];
  /** A header's first value, by its name in lower case. */
  readonly header: (name: string) => string | undefined;
}

/** See the head of this file. Each stage fills in what it finds out, and relies on the stages before it. */
export interface IngressRequest {
  readonly context: RelayContext;
  readonly head: RequestHead;
  /** Configuration that the request is judged by. */
  table: RoutingTable | undefined;
  route: Route | undefined;
  id: string | undefined;
  /** Whose it is; undefined where no key was needed. */
  tenant: Tenant | undefined;
}

/** A door as a request comes. */
export function createIngressRequest(context: RelayContext, head: RequestHead): IngressRequest {
  return { context, head, table: undefined, route: undefined, id: undefined, tenant: undefined };
}
