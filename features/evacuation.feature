Feature: Evacuated zones
  While a zone is evacuated, no request is sent to a runner there, and requests that can't run elsewhere are refused.

  Scenario: An evacuation is in force once its item is applied, and is lifted once the item is removed
    Given a gateway in a deployment with the zones "z1 z2 z3"
    When the zone "z2" is evacuated in the store
    Then only runners of the zones "z1 z3" may get requests
    And the log reports the events "zone.evacuated"
    When the evacuation of "z2" is removed while entries of runners have a grace period
    Then only runners of the zones "z1 z2 z3" may get requests
    And the log reports the events "zone.evacuated zone.restored"

  Scenario Outline: An evacuation of a zone that does not exist is reported once and has no other effect
    Given a gateway in a deployment with the zones "z1 z2 z3"
    When the zone "<zone>" is evacuated in the store
    And the zone "<zone>" is evacuated in the store
    Then only runners of the zones "z1 z2 z3" may get requests
    And the log reports the events "item.refused"

    Examples:
      | zone |
      | z4   |
      |      |

  Scenario: Lists, snapshots and items that arrive late neither lift an evacuation nor reinstate one
    Then whatever a copy receives late, partly or twice, it never returns to an older state of an evacuation

  Scenario: Requests that wait for a connection to a runner go elsewhere once its zone is evacuated
    Given a gateway that may open 1 connection to the runner of each of two zones, one of them ready
    When 5 requests are sent, and then the first zone is evacuated while the runner of the other becomes ready
    Then all requests are answered, 1 by the runner of the first zone and 4 by the other
    And the gateway opened 1 connection to the runner of the first zone and marked it healthy

  Scenario: A request whose connection is established after the evacuation is not written
    Given a gateway that may open 1 connection to the runner of each of two zones, one of them ready
    When the first zone is evacuated after a request was placed there and before its connection is established
    Then all requests are answered, 0 by the runner of the first zone and 1 by the other
    And the gateway opened 1 connection to the runner of the first zone and marked it healthy

  Scenario Outline: Requests of a service with no runner left are refused at once as not run
    Given a gateway that may open 1 connection to the runner of each of two zones, one of them ready
    When the first zone is evacuated and a "<kind>" request is sent
    Then it is refused within 200 ms with 503, "NotRun" and a retry delay of 0.4 to 1 s
    And the gateway opened 0 connections to the runner of the first zone and marked it healthy

    Examples:
      | kind       |
      | single     |
      | repeatable |
      | stream     |

  Scenario: Only runners that may get requests count as capacity
    Given a gateway in a deployment with the zones "z1 z2 z3"
    And each zone has a runner with 6 slots
    When the zone "z2" is evacuated in the store
    Then the service has 2 runners with 12 slots

  Scenario: Cached prompts show during an evacuation that a program has run, and are forgotten after it
    Given a gateway in a deployment with the zones "z1 z2 z3"
    And each zone has a runner with 6 slots
    And the runner of "z2" has cached a prompt
    When the zone "z2" is evacuated in the store
    Then the prompt counts as cached by 1 runner
    When the evacuation of "z2" is removed while entries of runners have a grace period
    Then the prompt counts as cached by 0 runners

  Scenario: A stream in progress in an evacuated zone ends normally
    Given a gateway that may open 1 connection to the runner of each of two zones, one of them ready
    When the first zone is evacuated in the middle of a stream
    Then all requests are answered, 1 by the runner of the first zone and 0 by the other
