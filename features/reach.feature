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

  # Symptom if it fails: while a zone is away, each request waits 40 to 60 ms for members that do not reply.
  Scenario: Members known to be silent are asked last, and delay neither writes nor reads nor quotas
    Given a gateway in zone "a" before replicas "a1 a2 b1 b2 c1" that are spread over zones
    When replicas "a1 a2" fall silent
    And a reservation is tried
    And 400 milliseconds pass at the gateway
    Then the gateway reaches its replicas
    And 20 reservations, reads and quota requests each end within 10 milliseconds

  Scenario: Writes go to a majority and one more, in the gateway's own zone first
    Given a gateway in zone "b" before replicas "a1 a2 b1 b2 c1" that are spread over zones
    When 20 reservations are made
    Then each was sent to 4 replicas, among them "b1 b2"

  Scenario: Without homes, members are asked in random order, and each grants its own share
    Given a gateway that uses no homes before replicas "a1 b1 c1"
    When 60 quota requests are granted within 10 milliseconds each
    Then each replica was asked at least 10 times whether a request may run within its own share

  Scenario: Without a majority, requests that need one are refused at once, and gateways elsewhere do not matter
    Given a gateway in zone "c" before replicas "a1 a2 b1 b2 c1" that are spread over zones
    When replicas "a1 a2 b1 b2" fall silent
    And a reservation is tried
    And 400 milliseconds pass at the gateway
    Then a reservation is "unavailable" within 1 milliseconds
    And a quota request is out of reach within 10 milliseconds
