Feature: Callers and operators over real sockets
  Three daemons with emulated back ends and an emulated key-value service, on loopback.

  Scenario: An unchanged OpenAI client is served, whole and streamed
    Given a local cluster of three nodes
    When the openai client asks "price a sash" on node 2
    Then the whole and the streamed answer are the same

  Scenario: A conversation goes on when a node dies between two turns
    Given a local cluster of three nodes
    When program "quote-1" asks turn 1 on node 1
    And program "quote-1" asks turn 2 on node 1
    And node 1 is killed
    And program "quote-1" asks turn 3 on node 2
    Then the history of "quote-1" read on node 3 has 6 messages and its digest

  Scenario: Concurrent programs have separate histories
    Given a local cluster of three nodes
    When programs "alpha" and "beta" each ask 4 turns at the same time
    Then the histories of "alpha" and "beta" hold only their own turns

  Scenario: A tool call that may run at most once runs once, and its answer is stored
    Given a local cluster of three nodes
    When tool call '{"order":"two sashes"}' is sent 4 times with idempotency key "order-7"
    Then every answer is the same and the tool ran once
    When the call of the last answer is looked up on node 3

  Scenario: Requests that cannot be served get a problem document
    Given a local cluster of three nodes
    When a caller sends "POST /v1/chat/completions" with body "{"
    Then the answer has status 422, title "Malformed" and verdict "NotRun"
    When a caller sends "POST /v1/chat/completions" with body "{}"
    Then the answer has status 422, title "Malformed" and verdict "NotRun"
    When a caller sends "POST /v1/chat/completions" with body "OVERSIZED"
    Then the answer has status 413, title "TooLarge" and verdict "NotRun"
    When a caller sends "GET /v1/nothing" with body ""
    Then the answer has status 404, title "NotFound" and verdict "NotRun"
    When a caller sends "GET /v1/programs/unknown" with body ""
    Then the answer has status 404, title "NotFound" and verdict "NotRun"
    When a caller sends "POST /v1/services/unknown/calls" with body "{}"
    Then the answer has status 404, title "NotFound" and verdict "NotRun"
    When a caller sends "POST /v1/operator/statements" with body "{}"
    Then the answer has status 403, title "Forbidden" and verdict "NotRun"
    When a caller with key "" sends a chat call with header "" = ""
    Then the answer has status 401, title "Unauthorised" and verdict "NotRun"
    When a caller with key "not-a-known-key" sends a chat call with header "" = ""
    Then the answer has status 401, title "Unauthorised" and verdict "NotRun"
    When a caller with key "brandvold-local-key" sends a chat call with header "ivyloom-sequence" = "x"
    Then the answer has status 422, title "Malformed" and verdict "NotRun"
    When a caller with key "brandvold-local-key" sends a chat call with header "ivyloom-class" = "soon"
    Then the answer has status 422, title "Malformed" and verdict "NotRun"

  Scenario: Operators query and change the cluster
    Given a local cluster of three nodes
    When the operator runs "show nodes" on node 1
    Then the statement answers 3 rows
    When the operator runs "show engines where service = 'catalog-minds' order by engine" on node 2
    Then the statement answers 8 rows
    When the operator runs "show engines count(*) group by service" on node 3
    Then the statement answers 2 rows
    When the operator runs "set group brandvold share 3 budget 5M" on node 2
    Then the change is in force on 3 nodes
    When the operator runs "drain engine catalog-minds-7" on node 3
    Then the change is in force on 3 nodes
    When the operator runs "show engines where state = draining" on node 1
    Then the statement answers 1 rows
    When the operator runs "shwo engines" on node 1
    Then the answer has status 422, title "Malformed" and verdict "NotRun"
    When the operator runs "show engines where sate = up" on node 1
    Then the answer has status 422, title "Malformed" and verdict "NotRun"
    When the operator runs "set group nobody share 2" on node 1
    Then the answer has status 404, title "NotFound" and verdict "NotRun"
