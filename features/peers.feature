Feature: What gateways tell one another
  Scenario: A gateway learns the load of others and forgets those that fell silent
    Given two gateways that gossip, of which the first has 3 requests at runner "a"
    Then the second learns within 2000 milliseconds that others have 3 requests at runner "a"
    And they tell one another the newest revision they know
    And the second learns what the runner keeps
    And the second alone knows that a peer reaches the replicas
    When the first falls silent
    Then the second learns within 2000 milliseconds that others have 0 requests at runner "a"
    And no peer is known to reach the replicas

  Scenario: A third gateway is found through the one both know
    Given two gateways that gossip, of which the first has 3 requests at runner "a"
    When a third gateway joins that knows only the second
    Then the third learns within 2000 milliseconds that others have 3 requests at runner "a"

  Scenario: A gateway that starts while the store is out of reach asks its peers
    Given a gateway that knows item "configuration" at revision 7 and the members
    When another starts with it as a seed and needs what it knows urgently
    Then within 2000 milliseconds it knows item "configuration" at revision 7 and the members

  Scenario: Bytes that are no message change nothing
    Then any bytes are decoded to a load message or to nothing

  Scenario: Peers that tell of many topics that are not known here leave a message that can be told on
    Then whatever topics and rows peers tell, their sum fits in a section and has all topics that are known here
