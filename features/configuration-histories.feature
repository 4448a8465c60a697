Feature: Histories of configuration and runners under faults of the store and the network
  Scenario Outline: Acknowledged changes are in force at every gateway in touch and are never reverted
    When configuration histories run from seed <first> to <last> with <gateways> gateways
    Then no check finds a violation

    Examples:
      | first | last | gateways |
      | 1     | 30   | 1        |
      | 31    | 60   | 3        |
      | 61    | 64   | 12       |
      | 2     | 2    | 60       |

  @known-red
  Scenario: An evacuation is in force at 60 gateways of which some were frozen
    When configuration histories run from seed 29 to 29 with 60 gateways
    Then no check finds a violation

  Scenario Outline: The checks detect an injected fault
    When histories with the injected fault "<fault>" and 3 gateways run until one of 40 seeds fails
    Then one violates an invariant, also with a minimized list of faults

    Examples:
      | fault              |
      | watchBelieved      |
      | oldReads           |
      | boundIgnored       |
      | goesBack           |
      | evacuationsDelayed |
