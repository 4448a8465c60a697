Feature: Gossip between gateways
  Scenario: A gateway learns the load of others and forgets silent ones
    Given two gateways that gossip, of which the first has 3 requests at runner "a"
    Then the second learns within 2000 milliseconds that others have 3 requests at runner "a"
    And the gateways exchange the newest revision they know
    And the second learns what the runner caches
    And the second alone knows that a peer reaches the replicas
    When the first falls silent
    Then the second learns within 2000 milliseconds that others have 0 requests at runner "a"
    And no peer is known to reach the replicas

  Scenario: A third gateway is found through the one both know
    Given two gateways that gossip, of which the first has 3 requests at runner "a"
    When a third gateway joins that knows only the second
    Then the third learns within 2000 milliseconds that others have 3 requests at runner "a"

  Scenario: A gateway that starts while the store is unreachable asks its peers
    Given a gateway that knows item "configuration" at revision 7 and the members
    When another gateway starts with it as a seed and urgently needs a snapshot
    Then within 2000 milliseconds it knows item "configuration" at revision 7 and the members

  Scenario: Malformed datagrams are ignored
    Then any bytes decode to a load message or are rejected

  Scenario: Aggregates of many unknown topics still fit a message
    Then for any topics and rows, the sum fits in a section and contains all known topics
