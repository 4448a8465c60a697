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

  # Guards against an early removal that hides a later one: late changes reinstated an evacuation that a snapshot had shown as lifted.
  Scenario: A removal that is remembered from an earlier revision doesn't hide that a snapshot showed the key as gone later
    Given a copy of the store that was listed at revision 2 without the evacuation of "z1"
    When a snapshot of a peer at revision 8 shows no evacuation, and then changes up to 7 with one of revision 5 arrive
    Then the copy holds no evacuation
    When changes up to 10 with one of revision 9 arrive
    Then the copy holds the evacuation of "z1"

  Scenario: Requests that wait for a connection to a runner go elsewhere once its zone is evacuated
    Given a gateway that may open 1 connection to the runner of each of two zones, one of them ready
    When 5 requests are sent, and then the first zone is evacuated while the runner of the other becomes ready
    Then all requests are answered, 1 by the runner of the first zone and 4 by the other
    And the runner of the first zone is not marked unhealthy

  Scenario: Attempts that become excluded while they wait for a connection open none
    When 5 attempts share 1 connection to a runner that becomes excluded once it runs the first
    Then 1 of them is answered, 4 end as "Excluded" without having been sent, and the runner accepted 1 connection

  Scenario: A request whose connection is established after the evacuation is not written
    Given a gateway that may open 1 connection to the runner of each of two zones, one of them ready
    When the first zone is evacuated after a request was placed there and before its connection is established
    Then all requests are answered, 0 by the runner of the first zone and 1 by the other
    And the runner of the first zone is not marked unhealthy

  Scenario Outline: Requests of a service with no runner left are refused at once as not run
    Given a gateway that may open 1 connection to the runner of each of two zones, one of them ready
    When the first zone is evacuated and a "<kind>" request is sent
    Then it is refused with 503, "NotRun" and a retry delay of 0.4 to 1 s, long before its deadline
    And since the evacuation the gateway has opened no connection to the runner of the first zone

    Examples:
      | kind       |
      | single     |
      | repeatable |
      | stream     |

  Scenario: The first stage refuses a request without waiting, only if every zone of its service is evacuated
    Given a gateway in a deployment with the zones "z1 z2"
    And each zone has a runner with 6 slots
    When the zone "z1" is evacuated in the store
    Then the first stage lets a request continue
    When the zone "z2" is evacuated in the store
    Then the first stage refuses a request without waiting

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

  Scenario: A gateway that starts while the store does not answer learns evacuations from its peers
    Given 3 gateways in touch with a store in which the zone "z1" is evacuated
    When the store falls silent and gateway 3 restarts
    Then within 2000 ms gateway 3 has a configuration and sends no requests to the zone "z1"
    When the evacuation is lifted in the silent store
    Then after 20000 ms no gateway sends requests to the zone "z1"
    When the silent store answers again
    Then within 5000 ms every gateway sends requests to the zone "z1"
