Feature: A gateway that does not reach its replicas
  Scenario: Operations that need replicas fail at once while a majority of them is silent
    Given a gateway before replicas "a b c"
    Then a reservation is "granted" within 20 milliseconds
    When replicas "a b" fall silent
    And a reservation is tried
    And 400 milliseconds pass at the gateway
    Then the gateway does not reach its replicas
    And a reservation is "unavailable" within 1 milliseconds

  Scenario: Silent replicas are probed, and reachable again soon after they answer
    Given a gateway before replicas "a b c"
    When replicas "a b c" fall silent
    And a reservation is tried
    And 5000 milliseconds pass at the gateway
    Then the gateway does not reach its replicas
    When replicas "a c" answer again
    And 500 milliseconds pass at the gateway
    Then the gateway reaches its replicas
    And a reservation is "granted" within 20 milliseconds

  Scenario: A silent minority has no effect
    Given a gateway before replicas "a b c"
    When replicas "b" fall silent
    And a reservation is tried
    And 3000 milliseconds pass at the gateway
    Then the gateway reaches its replicas
    And a reservation is "granted" within 80 milliseconds
